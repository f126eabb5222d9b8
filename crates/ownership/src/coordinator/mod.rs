//! The leader's coordinator: leases, grants, planned moves and losses.
//!
//! Invariant: nothing is granted before its assignment is committed, and no shard is assigned away from
//! a server before the server released it or any lease it may hold has ended.

mod types;

use std::time::Duration;

use grebepin_schema::{ServerStatus, Term};

use crate::state::OwnershipState;

pub use types::{CoordinatorConfig, CoordinatorInput, CoordinatorOutput};

/// Decides for one term of leadership; built anew at each.
#[derive(Debug)]
pub struct Coordinator {
    config: CoordinatorConfig,
    term: Term,
    leader_since: Duration,
}

impl Coordinator {
    /// Starts a term. Call it only once every entry of earlier terms is applied, that is once the
    /// leader's first entry of its own term is; `now` is the time since which the replica leads.
    pub fn new(config: CoordinatorConfig, term: Term, now: Duration) -> Self {
        Self {
            config,
            term,
            leader_since: now,
        }
    }

    /// Takes one input. Renewals, grants and releases are sent only while `leader_lease_until > now`.
    pub fn handle(
        &mut self,
        _now: Duration,
        _state: &OwnershipState,
        _leader_lease_until: Duration,
        _input: CoordinatorInput<'_>,
    ) -> Vec<CoordinatorOutput> {
        Vec::new()
    }

    /// When [`CoordinatorInput::Tick`] is due.
    pub fn next_wake(&self) -> Duration {
        self.leader_since + self.config.heartbeat
    }

    /// Term of this leadership.
    pub fn term(&self) -> Term {
        self.term
    }

    /// What is known of each server.
    pub fn server_status(&self, _now: Duration, _state: &OwnershipState) -> Vec<ServerStatus> {
        Vec::new()
    }

    /// Shards on their way from one server to another.
    pub fn moving(&self) -> u32 {
        0
    }

    /// Shards that no server owns.
    pub fn unowned(&self, state: &OwnershipState) -> u32 {
        state.unowned_shards() as u32
    }
}
