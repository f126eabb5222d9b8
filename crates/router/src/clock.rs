//! Monotonic clock of the process, as the time since its start that the crates without I/O use.

use std::time::{Duration, Instant};

/// Converts between instants and times since the start of the router.
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

    /// Time since the start of the clock.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Time since the start at an instant; zero for an earlier instant.
    pub fn time_of(&self, instant: Instant) -> Duration {
        instant.saturating_duration_since(self.start)
    }

    /// Instant at a time since the start.
    pub fn instant(&self, time: Duration) -> Instant {
        self.start + time
    }
}
