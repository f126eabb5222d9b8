//! Backoff for servers that shed requests.
//!
//! A server sheds either because its queue is full, in which case there is capacity again after about the
//! time that one slot takes for a request, or at random although it has capacity, as a faulty server does, in
//! which case it would accept the next request at once. One short delay fits both cases. Only a server that
//! keeps shedding is overloaded for longer: each consecutive shed request doubles the delay, so that retries
//! for a hot key are spread out.

use std::time::Duration;

/// Shortest delay. With a shorter one, the retry would arrive before the requests already in flight are
/// accepted.
const MINIMUM_DELAY: Duration = Duration::from_millis(20);

/// Longest delay. In this time a queue of ten requests of 160 ms each on two slots drains twice.
const MAX_DELAY: Duration = Duration::from_millis(1_500);

/// Number of doublings after which the delay no longer grows.
const MAX_EXPONENT: u32 = 6;

/// Consecutive requests of this gateway that one server has shed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ShedBackoff {
    consecutive: u32,
}

impl ShedBackoff {
    /// Records that the server shed a request.
    pub fn shed(&mut self) {
        self.consecutive = self.consecutive.saturating_add(1);
    }

    /// Records that the server ran a request, which resets the delay.
    pub fn answered(&mut self) {
        self.consecutive = 0;
    }

    /// Time after which the server is likely to accept a request. `per_slot` is the mean time until the
    /// server finishes a request and has capacity for the next.
    pub fn delay(&self, per_slot: Duration) -> Duration {
        let doublings = self.consecutive.saturating_sub(1).min(MAX_EXPONENT);
        exponential_delay(per_slot, doublings, MAX_DELAY).max(MINIMUM_DELAY)
    }
}

/// `first` doubled `doublings` times, at most `longest`.
pub(crate) fn exponential_delay(first: Duration, doublings: u32, longest: Duration) -> Duration {
    let delay = first * 2u32.saturating_pow(doublings);
    delay.min(longest)
}
