//! What was known before the events of a poll can have occurred.

use std::collections::VecDeque;

/// Snapshots of a state, one before each poll.
///
/// An event that a poll returns occurred after the poll before it began, provided that one returned everything that was
/// ready. If it did not, what it left over is returned first by the next ones, so that some polls later all of it has been
/// returned. This holds however long the process stood still, and needs no clock.
#[derive(Clone, Debug)]
pub struct PollHistory<S> {
    /// The oldest one was taken before any event of the last poll can have occurred.
    snapshots: VecDeque<S>,
    was_complete: bool,
    /// Largest number of events that a poll returns.
    events_per_poll: usize,
}

impl<S: Copy> PollHistory<S> {
    /// Starts with the state before the first poll.
    pub fn new(initial: S, events_per_poll: usize) -> Self {
        Self {
            snapshots: VecDeque::from([initial]),
            was_complete: true,
            events_per_poll,
        }
    }

    /// Records the state right before a poll of about this many sockets.
    pub fn begin_poll(&mut self, state: S, sockets: usize) {
        let kept = match self.was_complete {
            true => 1,
            // One more for listeners and the few sockets that are not counted.
            false => sockets / self.events_per_poll + 2,
        };
        while self.snapshots.len() > kept {
            self.snapshots.pop_front();
        }
        self.snapshots.push_back(state);
    }

    /// Records how many events the poll returned; `None` if it was interrupted.
    pub fn end_poll(&mut self, events: Option<usize>) {
        self.was_complete = events.is_some_and(|events| events < self.events_per_poll);
    }

    /// The state at a time before which none of the events of the last poll can have occurred.
    pub fn before_events(&self) -> S {
        self.snapshots[0]
    }
}
