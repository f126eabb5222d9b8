//! Calls in progress: where each came from, and those relayed to the leader.

use std::collections::HashMap;
use std::time::Duration;

use mio::Token;

use crate::node::CallId;

/// Time within which the leader must answer a relayed call.
pub(super) const RELAY_TIMEOUT: Duration = Duration::from_millis(800);

/// Where a call came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Origin {
    /// An HTTP connection.
    Http(Token),
    /// A connection of another replica, with its identifier for the call.
    Replica(Token, u64),
}

/// A call that waits for the leader's answer.
#[derive(Debug)]
struct Relayed {
    deadline: Duration,
    endpoint: String,
}

#[derive(Debug, Default)]
pub(super) struct Calls {
    next: u64,
    origins: HashMap<CallId, (Origin, Duration)>,
    relayed: HashMap<CallId, Relayed>,
}

impl Calls {
    /// Registers a call and assigns its identifier.
    pub(super) fn begin(&mut self, now: Duration, origin: Origin) -> CallId {
        self.next += 1;
        let id = CallId(self.next);
        self.origins.insert(id, (origin, now));
        id
    }

    /// Removes a call; returns where its reply goes and when the call began.
    pub(super) fn end(&mut self, id: CallId) -> Option<(Origin, Duration)> {
        self.relayed.remove(&id);
        self.origins.remove(&id)
    }

    /// Where a call came from.
    pub(super) fn origin(&self, id: CallId) -> Option<Origin> {
        self.origins.get(&id).map(|(origin, _)| *origin)
    }

    /// Records that a call was relayed to the leader; `endpoint` is the address at which the leader accepts
    /// calls.
    pub(super) fn record_relay(&mut self, id: CallId, now: Duration, endpoint: String) {
        let deadline = now + RELAY_TIMEOUT;
        self.relayed.insert(id, Relayed { deadline, endpoint });
    }

    /// Address at which the leader accepts calls, if this call was relayed to it.
    pub(super) fn take_endpoint(&mut self, id: CallId) -> Option<String> {
        self.relayed.remove(&id).map(|relayed| relayed.endpoint)
    }

    /// Relayed calls whose deadline has passed.
    pub(super) fn overdue(&self, now: Duration) -> Vec<CallId> {
        let relayed = self.relayed.iter();
        relayed
            .filter(|(_, relayed)| relayed.deadline <= now)
            .map(|(id, _)| *id)
            .collect()
    }
}
