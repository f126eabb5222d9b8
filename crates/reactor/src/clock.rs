//! The monotonic clock of a daemon, used for leases, timeouts and ages, and the detection of stalled event
//! loops.

use std::time::Duration;

use rustix::time::{clock_gettime, ClockId, Timespec};

/// Time since the process started. It is monotonic, unaffected by changes of the wall clock, and includes
/// time for which the machine was suspended, so that no lease is believed valid after it ended during a
/// suspension.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Duration,
}

impl Clock {
    /// Starts a clock at zero.
    pub fn start() -> Self {
        Self {
            started: since_boot(),
        }
    }

    /// Time since the clock was started.
    pub fn now(&self) -> Duration {
        since_boot().saturating_sub(self.started)
    }
}

/// Time since the machine booted, including suspensions.
fn since_boot() -> Duration {
    let Timespec { tv_sec, tv_nsec } = clock_gettime(ClockId::Boottime);
    Duration::new(tv_sec.max(0) as u64, tv_nsec as u32)
}

/// Longest time between two iterations of an event loop that counts as a mere delay. After a longer one the
/// process was frozen or the machine suspended.
const STALL_THRESHOLD: Duration = Duration::from_secs(1);

/// Detects that an event loop was stalled.
#[derive(Debug, Default)]
pub struct StallDetector {
    last: Option<Duration>,
}

impl StallDetector {
    /// Called once in each iteration of the loop, whose sleeps must be shorter than one second; returns for
    /// how long the loop was stalled, if it was.
    pub fn check(&mut self, now: Duration) -> Option<Duration> {
        let last = self.last.replace(now)?;
        let passed = now.saturating_sub(last);
        (passed > STALL_THRESHOLD).then_some(passed)
    }
}
