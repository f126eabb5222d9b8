//! What was known before the events of a poll can have occurred.

/// Snapshots of a state, one before each poll.
///
/// An event that a poll returns occurred after the poll before it began, provided that one returned everything that was
/// ready. This holds however long the process stood still, and needs no clock.
#[derive(Clone, Copy, Debug)]
pub struct PollHistory<S> {
    before_events: S,
    at_last_poll: S,
    was_complete: bool,
}

impl<S: Copy> PollHistory<S> {
    /// Starts with the state before the first poll.
    pub fn new(initial: S) -> Self {
        Self {
            before_events: initial,
            at_last_poll: initial,
            was_complete: true,
        }
    }

    /// Records the state right before a poll.
    pub fn begin_poll(&mut self, state: S) {
        if self.was_complete {
            self.before_events = self.at_last_poll;
        }
        self.at_last_poll = state;
    }

    /// Records whether the poll returned everything that was ready.
    pub fn end_poll(&mut self, is_complete: bool) {
        self.was_complete = is_complete;
    }

    /// The state at a time before which none of the events of the last poll can have occurred.
    pub fn before_events(&self) -> S {
        self.before_events
    }
}
