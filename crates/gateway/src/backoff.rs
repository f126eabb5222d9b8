//! When a server that turned a request away is likely to take one.
//!
//! Load that it answers: a server sheds when its queue is full, and a place is free again after the time that one of
//! its slots takes for a request; or it sheds at random although it has room, as a faulty one does, and would take the
//! next request at once. Both are met by one short pause. Only a server that goes on shedding is overloaded for
//! longer: each further shedding in a row doubles the pause, so that those who come back to a hot key spread out.

use std::time::Duration;

/// Least pause: a shorter one would come back before others that are under way have been taken.
const LEAST_PAUSE: Duration = Duration::from_millis(20);

/// Longest pause: a queue of ten requests of 160 ms at two slots has drained twice by then.
const LONGEST_PAUSE: Duration = Duration::from_millis(1_500);

/// Sheddings in a row after which the pause grows no more.
const LARGEST_EXPONENT: u32 = 6;

/// Sheddings of one server in a row, as one gateway saw them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ShedBackoff {
    in_a_row: u32,
}

impl ShedBackoff {
    /// The server turned a request away.
    pub fn shed(&mut self) {
        self.in_a_row = self.in_a_row.saturating_add(1);
    }

    /// The server ran a request.
    pub fn answered(&mut self) {
        self.in_a_row = 0;
    }

    /// Time after which the server is likely to take a request, where one of its slots takes `per_slot` until it has
    /// room for the next.
    pub fn delay(&self, per_slot: Duration) -> Duration {
        let doublings = self.in_a_row.saturating_sub(1).min(LARGEST_EXPONENT);
        exponential_delay(per_slot, doublings, LONGEST_PAUSE).max(LEAST_PAUSE)
    }
}

/// A pause that was exponential_delay so many times, and is no longer than `longest`.
pub(crate) fn exponential_delay(first: Duration, doublings: u32, longest: Duration) -> Duration {
    let pause = first * 2u32.saturating_pow(doublings);
    pause.min(longest)
}
