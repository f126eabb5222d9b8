//! The lease of one control group over the shards that the server holds for it.
//!
//! Invariant: a lease ends at the latest one lease duration after the nonce in its renewal was
//! issued, and the expiry of the lease ends the session.

use std::collections::VecDeque;
use std::time::Duration;

use grebepin_schema::{LeaseRenewal, Nonce, Session, Term};

use crate::config::MAX_LEASE;
use crate::guards::{Guard, Guards};

/// Nonces that a server keeps; a renewal with an older one has no effect.
const KEPT_NONCES: usize = 8;

/// Lease, session, term and nonces of one control group.
#[derive(Debug)]
pub(crate) struct GroupLease {
    term: Term,
    session: Session,
    expires_at: Option<Duration>,
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
            expires_at: None,
            nonces: VecDeque::with_capacity(KEPT_NONCES + 1),
            held: 0,
            checksum: 0,
        }
    }

    /// Stores the highest term seen; `false` if a message with a higher term was received before.
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

    /// End of the current lease; `None` without one.
    pub(crate) fn expires_at(&self) -> Option<Duration> {
        self.expires_at
    }

    /// Remaining time of the lease; zero without one.
    pub(crate) fn remaining(&self, now: Duration) -> Duration {
        self.expires_at
            .map_or(Duration::ZERO, |expires_at| expires_at.saturating_sub(now))
    }

    /// Ends session and lease if the lease has expired; returns the time at which it expired.
    pub(crate) fn expire(&mut self, now: Duration) -> Option<Duration> {
        let expires_at = self.expires_at.filter(|expires_at| *expires_at <= now)?;
        self.expires_at = None;
        self.session = Session(self.session.0.wrapping_add(1));
        self.nonces.clear();
        Some(expires_at)
    }

    pub(crate) fn remember_nonce(&mut self, nonce: Nonce, now: Duration) {
        self.nonces.push_back((nonce, now));
        if self.nonces.len() > KEPT_NONCES {
            self.nonces.pop_front();
        }
    }

    /// Extends the lease; `false` if the renewal has no effect.
    pub(crate) fn renew(&mut self, now: Duration, renewal: &LeaseRenewal, guards: Guards) -> bool {
        if guards.is_enabled(Guard::Session) && renewal.session != self.session {
            return false;
        }
        let Some(issued) = self.issued_at(now, renewal.nonce, guards) else {
            return false;
        };
        let duration = Duration::from_millis(renewal.duration_ms).min(MAX_LEASE);
        let expires_at = issued + duration;
        if expires_at <= now {
            return false;
        }
        self.expires_at = self.expires_at.max(Some(expires_at));
        true
    }

    fn issued_at(&self, now: Duration, nonce: Nonce, guards: Guards) -> Option<Duration> {
        if !guards.is_enabled(Guard::Nonce) {
            return Some(now);
        }
        let issued = self.nonces.iter().find(|(known, _)| *known == nonce);
        issued.map(|(_, at)| *at)
    }
}
