//! Which replica is asked next, and what is known when none answers as leader.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use grebepin_schema::{ApiError, ApiErrorKind, Status};

use crate::error::{Attempt, ClientError};

/// Replicas asked in a row because the one before named them; two that name each other end there.
const MAXIMUM_HINTS: usize = 2;

/// Whether another replica, or the same one later, may answer.
pub(crate) fn is_worth_another(error: &ClientError) -> bool {
    match error {
        ClientError::Unreachable { .. } => true,
        ClientError::Refused { error, .. } => matches!(
            error.kind,
            ApiErrorKind::NotLeader | ApiErrorKind::NoLeader | ApiErrorKind::LostLeadership
        ),
        _ => false,
    }
}

/// The newest status seen, and how the others failed.
#[derive(Default)]
pub(crate) struct StatusSearch {
    newest: Option<Status>,
    attempts: BTreeMap<SocketAddr, Attempt>,
}

impl StatusSearch {
    /// The addresses given, and those of all members that a replica told of.
    pub(crate) fn addresses(&self, given: &[SocketAddr]) -> BTreeSet<SocketAddr> {
        let members = self.newest.iter().flat_map(|status| &status.members);
        let told = members.filter_map(|entry| entry.member.admin_address.parse().ok());
        given.iter().copied().chain(told).collect()
    }

    pub(crate) fn found(&mut self, status: Status) {
        let age = |status: &Status| (status.term, status.commit);
        if self
            .newest
            .as_ref()
            .is_none_or(|newest| age(&status) > age(newest))
        {
            self.newest = Some(status);
        }
    }

    pub(crate) fn failed(&mut self, address: SocketAddr, error: &ClientError) {
        let attempt = Attempt {
            address,
            reason: error.to_string(),
            outcome_is_unknown: false,
        };
        self.attempts.insert(address, attempt);
    }

    pub(crate) fn into_result(self) -> Result<Status, ClientError> {
        self.newest.ok_or(ClientError::NoLeader {
            attempts: self.attempts.into_values().collect(),
        })
    }
}

/// Which replica is asked next.
pub(crate) struct Search<'a> {
    addresses: &'a [SocketAddr],
    position: usize,
    named_leader: Option<SocketAddr>,
    hints_followed: usize,
    attempts: BTreeMap<SocketAddr, Attempt>,
}

impl<'a> Search<'a> {
    pub(crate) fn new(addresses: &'a [SocketAddr]) -> Self {
        Self {
            addresses,
            position: 0,
            named_leader: None,
            hints_followed: 0,
            attempts: BTreeMap::new(),
        }
    }

    pub(crate) fn next(&mut self) -> SocketAddr {
        if let Some(leader) = self.named_leader.take() {
            self.hints_followed += 1;
            return leader;
        }
        self.hints_followed = 0;
        let address = self.addresses[self.position % self.addresses.len()];
        self.position += 1;
        address
    }

    pub(crate) fn failed(&mut self, address: SocketAddr, error: &ClientError) {
        let before = self.attempts.get(&address);
        let was_unknown = before.is_some_and(|attempt| attempt.outcome_is_unknown);
        let attempt = Attempt {
            address,
            reason: error.to_string(),
            outcome_is_unknown: was_unknown || error.outcome_is_unknown(),
        };
        self.attempts.insert(address, attempt);
        if self.hints_followed >= MAXIMUM_HINTS {
            return;
        }
        if let ClientError::Refused { error, .. } = error {
            self.named_leader = named_leader(error).filter(|leader| *leader != address);
        }
    }

    pub(crate) fn round_is_over(&self) -> bool {
        self.named_leader.is_none() && self.position.is_multiple_of(self.addresses.len())
    }

    pub(crate) fn into_error(self) -> ClientError {
        ClientError::NoLeader {
            attempts: self.attempts.into_values().collect(),
        }
    }
}

fn named_leader(error: &ApiError) -> Option<SocketAddr> {
    error.leader_admin_address.as_ref()?.parse().ok()
}
