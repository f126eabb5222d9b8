//! One call of the coordinator: the time, the state it sees, and what it puts out.

use std::time::Duration;

use grebepin_schema::Command;

use super::types::CoordinatorOutput;
use crate::state::OwnershipState;

/// Inputs that every part of one call shares, and its outputs.
pub(super) struct Step<'a> {
    pub now: Duration,
    pub state: &'a OwnershipState,
    lease_until: Duration,
    pub out: Vec<CoordinatorOutput>,
}

impl<'a> Step<'a> {
    pub fn new(now: Duration, state: &'a OwnershipState, lease_until: Duration) -> Self {
        Self {
            now,
            state,
            lease_until,
            out: Vec::new(),
        }
    }

    /// Whether the replica surely still leads, so that it may renew, grant and release.
    pub fn leads(&self) -> bool {
        self.now < self.lease_until
    }

    pub fn propose(&mut self, command: Command) {
        self.out.push(CoordinatorOutput::Propose(command));
    }
}
