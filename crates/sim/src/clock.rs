//! The virtual clock of a run and the local clocks of its processes.
//!
//! Invariant: a process's clock never goes backwards, and a run never reads the clock of the machine
//! that executes it.

use std::time::Duration;

/// Time of a run in microseconds since its start.
pub type Instant = u64;

/// Microseconds in a millisecond.
pub const MILLISECOND: u64 = 1_000;

/// Microseconds in a second.
pub const SECOND: u64 = 1_000_000;

const MILLION: u128 = 1_000_000;

/// Local clock of one process, with its own start and rate.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    started: Instant,
    rate_ppm: u64,
}

impl ProcessClock {
    /// A clock that reads zero at `started` and advances at `rate_ppm` millionths of the virtual clock's rate.
    pub fn new(started: Instant, rate_ppm: u64) -> Self {
        Self { started, rate_ppm }
    }

    /// Local time at `now`.
    pub fn local(&self, now: Instant) -> Duration {
        let elapsed = u128::from(now.saturating_sub(self.started));
        Duration::from_nanos((elapsed * 1_000 * u128::from(self.rate_ppm) / MILLION) as u64)
    }

    /// The first instant at which the local time is `local` or later.
    pub fn instant_at(&self, local: Duration) -> Instant {
        let nanoseconds = local.as_nanos() * MILLION;
        let elapsed = nanoseconds.div_ceil(1_000 * u128::from(self.rate_ppm));
        self.started
            .saturating_add(u64::try_from(elapsed).unwrap_or(u64::MAX))
    }
}
