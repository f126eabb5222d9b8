//! The way from a request to stop to the end.
//!
//! Invariant: the gateway says at once that it wants no clients, and serves on those that come all
//! the same until nobody can be sent here any more.

use std::time::Duration;

/// Time in which everybody has learnt that no clients are wanted.
const NOTICE_TIME: Duration = Duration::from_millis(2_600);

/// Part of the time before the kill that is left unused.
const RESERVE: Duration = Duration::from_millis(400);

/// A gateway that was asked to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stopping {
    began: Duration,
    grace: Duration,
}

impl Stopping {
    /// Asked at `began`, to be killed after `grace`.
    pub fn new(began: Duration, grace: Duration) -> Self {
        Self { began, grace }
    }

    /// Whether connections without a request are closed by now.
    pub fn closes_idle(&self, now: Duration) -> bool {
        now >= self.began + NOTICE_TIME.min(self.grace / 2)
    }

    /// Whether a request that may take until `expires` is over before the end. One that may not be is
    /// refused at once, since it would be cut off.
    pub fn can_finish(&self, expires: Duration) -> bool {
        expires < self.last()
    }

    /// When the process ends at the latest.
    fn last(&self) -> Duration {
        self.began + self.grace.saturating_sub(RESERVE)
    }

    /// Whether the process ends now, with so many requests under way.
    pub fn is_over(&self, now: Duration, flights: usize, clients: usize) -> bool {
        now >= self.last() || (self.closes_idle(now) && flights == 0 && clients == 0)
    }
}
