//! The clock that a daemon judges everything by: leases, time-outs, ages.

use std::time::Duration;

use rustix::time::{clock_gettime, ClockId, Timespec};

/// Time since a process's start. It never goes back, whatever happens to the time of day, and it counts the time for
/// which the machine was suspended: nobody who wakes may believe a lease that has ended meanwhile.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Duration,
}

impl Clock {
    /// A clock that begins now.
    pub fn start() -> Self {
        Self {
            started: since_boot(),
        }
    }

    /// Time since the start.
    pub fn now(&self) -> Duration {
        since_boot().saturating_sub(self.started)
    }
}

/// Time since the machine's start, suspensions included.
fn since_boot() -> Duration {
    let Timespec { tv_sec, tv_nsec } = clock_gettime(ClockId::Boottime);
    Duration::new(tv_sec.max(0) as u64, tv_nsec as u32)
}

/// Longest time between two looks at the clock for which an event loop has been held up only; after a longer one it stood
/// still, as a frozen process or a suspended machine does.
const HELD_UP_LIMIT: Duration = Duration::from_secs(1);

/// Notices that an event loop stood still.
#[derive(Debug, Default)]
pub struct StandstillWatch {
    last: Option<Duration>,
}

impl StandstillWatch {
    /// Looks once in each turn of the loop, whose sleeps are shorter than a second: how long it stood still.
    pub fn look(&mut self, now: Duration) -> Option<Duration> {
        let last = self.last.replace(now)?;
        let passed = now.saturating_sub(last);
        (passed > HELD_UP_LIMIT).then_some(passed)
    }
}
