//! The lease of one control group over the shards that the server holds for it.
//!
//! Invariant: a lease never ends later than its duration after the issue of the nonce that its
//! renewal returned, and a lapse ends the session.

use std::collections::VecDeque;
use std::time::Duration;

use grebepin_schema::{LeaseRenewal, Nonce, Session, Term};

use crate::config::MAXIMUM_LEASE;
use crate::guards::{Guard, Guards};

/// Nonces a server remembers; older ones renew nothing.
const KEPT_NONCES: usize = 8;

/// Lease, session, term and nonces of one control group.
#[derive(Debug)]
pub(crate) struct GroupLease {
    term: Term,
    session: Session,
    until: Option<Duration>,
    nonces: VecDeque<(Nonce, Duration)>,
    /// Shards held for the group.
    pub(crate) held: u32,
    /// Sum of the held shards' hashes.
    pub(crate) checksum: u64,
}

impl GroupLease {
    pub(crate) fn new(first_session: Session) -> Self {
        Self {
            term: Term(0),
            session: first_session,
            until: None,
            nonces: VecDeque::with_capacity(KEPT_NONCES + 1),
            held: 0,
            checksum: 0,
        }
    }

    /// Remembers the highest term; `false` when a newer leader was heard before.
    pub(crate) fn accept_term(&mut self, term: Term) -> bool {
        if term < self.term {
            return false;
        }
        self.term = term;
        true
    }

    pub(crate) fn session(&self) -> Session {
        self.session
    }

    /// End of the lease, if there is one.
    pub(crate) fn until(&self) -> Option<Duration> {
        self.until
    }

    /// Lease time left.
    pub(crate) fn remaining(&self, now: Duration) -> Duration {
        self.until
            .map_or(Duration::ZERO, |until| until.saturating_sub(now))
    }

    /// Ends session and lease when the lease has run out; returns the moment it ended.
    pub(crate) fn lapse(&mut self, now: Duration) -> Option<Duration> {
        let until = self.until.filter(|until| *until <= now)?;
        self.until = None;
        self.session = Session(self.session.0.wrapping_add(1));
        self.nonces.clear();
        Some(until)
    }

    pub(crate) fn remember_nonce(&mut self, nonce: Nonce, now: Duration) {
        self.nonces.push_back((nonce, now));
        if self.nonces.len() > KEPT_NONCES {
            self.nonces.pop_front();
        }
    }

    /// Extends the lease; `false` when the renewal takes no effect.
    pub(crate) fn renew(&mut self, now: Duration, renewal: &LeaseRenewal, guards: Guards) -> bool {
        if guards.has(Guard::Session) && renewal.session != self.session {
            return false;
        }
        let Some(issued) = self.issued_at(now, renewal.nonce, guards) else {
            return false;
        };
        let duration = Duration::from_millis(renewal.duration_ms).min(MAXIMUM_LEASE);
        let until = issued + duration;
        if until <= now {
            return false;
        }
        self.until = self.until.max(Some(until));
        true
    }

    fn issued_at(&self, now: Duration, nonce: Nonce, guards: Guards) -> Option<Duration> {
        if !guards.has(Guard::Nonce) {
            return Some(now);
        }
        let issued = self.nonces.iter().find(|(known, _)| *known == nonce);
        issued.map(|(_, at)| *at)
    }
}
