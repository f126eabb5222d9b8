//! Context of one call of the coordinator: the time, the replicated state and the outputs.

use std::time::Duration;

use grebepin_schema::Command;

use super::types::CoordinatorOutput;
use crate::state::OwnershipState;

/// Time, state and leader lease of one call, and the outputs collected during it.
pub(super) struct Step<'a> {
    pub now: Duration,
    pub state: &'a OwnershipState,
    lease_until: Duration,
    pub outputs: Vec<CoordinatorOutput>,
}

impl<'a> Step<'a> {
    pub fn new(now: Duration, state: &'a OwnershipState, lease_until: Duration) -> Self {
        Self {
            now,
            state,
            lease_until,
            outputs: Vec::new(),
        }
    }

    /// Whether the leader lease is valid, so that renewals, grants and releases may be sent.
    pub fn leads(&self) -> bool {
        self.now < self.lease_until
    }

    pub fn propose(&mut self, command: Command) {
        self.outputs.push(CoordinatorOutput::Propose(command));
    }
}
