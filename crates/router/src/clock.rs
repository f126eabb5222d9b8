//! The process's monotonic clock, as the pure crates want it.

use std::time::{Duration, Instant};

/// Turns instants into times since the start of the router and back.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Time since the start.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Time of an instant; zero for one before the start.
    pub fn time_of(&self, instant: Instant) -> Duration {
        instant.saturating_duration_since(self.start)
    }

    /// The instant of a time.
    pub fn instant(&self, time: Duration) -> Instant {
        self.start + time
    }
}
