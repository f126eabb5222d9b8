//! Chooses the replica to try next, and collects the failures for when none answers as leader.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use grebepin_schema::{ApiError, ApiErrorKind, Status};

use crate::error::{Attempt, ClientError};

/// Longest chain of leader hints that is followed. It ends the loop between two replicas that name each
/// other as leader.
const MAX_HINTS: usize = 2;

/// Whether another replica, or the same one later, may answer the request.
pub(crate) fn is_retryable(error: &ClientError) -> bool {
    match error {
        ClientError::Unreachable { .. } => true,
        ClientError::Refused { error, .. } => matches!(
            error.kind,
            ApiErrorKind::NotLeader | ApiErrorKind::NoLeader | ApiErrorKind::LostLeadership
        ),
        _ => false,
    }
}

/// The newest status received so far, and the failures of the other replicas.
#[derive(Default)]
pub(crate) struct StatusSearch {
    newest: Option<Status>,
    attempts: BTreeMap<SocketAddr, Attempt>,
}

impl StatusSearch {
    /// The given addresses and the admin addresses of all members in the newest status.
    pub(crate) fn addresses(&self, given: &[SocketAddr]) -> BTreeSet<SocketAddr> {
        let members = self.newest.iter().flat_map(|status| &status.members);
        let advertised = members.filter_map(|entry| entry.member.admin_address.parse().ok());
        given.iter().copied().chain(advertised).collect()
    }

    pub(crate) fn record_status(&mut self, status: Status) {
        let version = |status: &Status| (status.term, status.commit);
        if self
            .newest
            .as_ref()
            .is_none_or(|newest| version(&status) > version(newest))
        {
            self.newest = Some(status);
        }
    }

    pub(crate) fn record_failure(&mut self, address: SocketAddr, error: &ClientError) {
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

/// Order in which replicas are tried: round robin, except that a leader hint is followed first.
pub(crate) struct LeaderSearch<'a> {
    addresses: &'a [SocketAddr],
    position: usize,
    named_leader: Option<SocketAddr>,
    hints_followed: usize,
    attempts: BTreeMap<SocketAddr, Attempt>,
}

impl<'a> LeaderSearch<'a> {
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

    pub(crate) fn record_failure(&mut self, address: SocketAddr, error: &ClientError) {
        let previous = self.attempts.get(&address);
        let was_unknown = previous.is_some_and(|attempt| attempt.outcome_is_unknown);
        let attempt = Attempt {
            address,
            reason: error.to_string(),
            outcome_is_unknown: was_unknown || error.outcome_is_unknown(),
        };
        self.attempts.insert(address, attempt);
        if self.hints_followed >= MAX_HINTS {
            return;
        }
        if let ClientError::Refused { error, .. } = error {
            self.named_leader = named_leader(error).filter(|leader| *leader != address);
        }
    }

    pub(crate) fn pass_is_over(&self) -> bool {
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
