//! Calls under way: where each came from, and those that the leader answers in our place.

use std::collections::HashMap;
use std::time::Duration;

use mio::Token;

use crate::node::CallId;

/// How long the leader may take over a relayed call.
const RELAY_LIMIT: Duration = Duration::from_millis(800);

/// Where a call came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Origin {
    /// An HTTP connection.
    Http(Token),
    /// Another replica, with the name that it gave the call.
    Replica(Token, u64),
}

/// A call that waits for the leader.
#[derive(Debug)]
struct Relayed {
    due: Duration,
    endpoint: String,
}

/// Calls under way.
#[derive(Debug, Default)]
pub(super) struct Calls {
    next: u64,
    origins: HashMap<CallId, (Origin, Duration)>,
    relayed: HashMap<CallId, Relayed>,
}

impl Calls {
    /// Takes in a call.
    pub(super) fn begin(&mut self, now: Duration, origin: Origin) -> CallId {
        self.next += 1;
        let id = CallId(self.next);
        self.origins.insert(id, (origin, now));
        id
    }

    /// Ends a call; where its reply goes, and when it began.
    pub(super) fn end(&mut self, id: CallId) -> Option<(Origin, Duration)> {
        self.relayed.remove(&id);
        self.origins.remove(&id)
    }

    /// Where a call came from.
    pub(super) fn origin(&self, id: CallId) -> Option<Origin> {
        self.origins.get(&id).map(|(origin, _)| *origin)
    }

    /// Notes that the leader was asked.
    pub(super) fn note_relayed(&mut self, id: CallId, now: Duration, endpoint: String) {
        let due = now + RELAY_LIMIT;
        self.relayed.insert(id, Relayed { due, endpoint });
    }

    /// The leader's own address for calls, for a call that it was asked to answer.
    pub(super) fn take_endpoint(&mut self, id: CallId) -> Option<String> {
        self.relayed.remove(&id).map(|relayed| relayed.endpoint)
    }

    /// Relayed calls whose time is up.
    pub(super) fn overdue(&self, now: Duration) -> Vec<CallId> {
        let relayed = self.relayed.iter();
        relayed
            .filter(|(_, relayed)| relayed.due <= now)
            .map(|(id, _)| *id)
            .collect()
    }
}
