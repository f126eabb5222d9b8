//! Durations that a group agrees on.

use std::time::Duration;

/// Most by which a server's clock runs slow, in percent of true time.
const SLOW_CLOCK_PERCENT: u32 = 2;

/// Allowance for the leader's own clock and rounding.
const MARGIN: Duration = Duration::from_millis(20);

/// Longest time in which an answer that an earlier leader sent can still be taken by a server.
const ANSWER_LIFETIME: Duration = Duration::from_millis(1_500);

/// Durations of the leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Length of a lease, counted by the server from sending its heartbeat. The same in the whole
    /// group, so that a new leader can bound the leases that others gave.
    pub lease: Duration,
    /// Time between two heartbeats of one server.
    pub heartbeat_interval: Duration,
    /// Time over which a draining server gives its shards back.
    pub drain_window: Duration,
    /// Time over which the servers of an evacuated zone give their shards back.
    pub evacuation_window: Duration,
    /// Silence after which a server without a lease counts as ended.
    pub server_timeout: Duration,
}

impl Timing {
    /// When a lease that was given at `now` has certainly ended.
    pub fn lease_end(&self, now: Duration) -> Duration {
        now + self.lease * 100 / (100 - SLOW_CLOCK_PERCENT) + MARGIN
    }

    /// Time that servers get to show up before a service's first shards are divided.
    pub fn settling_time(&self) -> Duration {
        self.heartbeat_interval * 3 / 2
    }

    /// Time after which no answer of an earlier leader is taken any more.
    pub(crate) fn answer_lifetime(&self) -> Duration {
        ANSWER_LIFETIME
    }

    /// Silence within which a server counts as able to take shards.
    pub(crate) fn recent(&self) -> Duration {
        self.heartbeat_interval * 5 / 2
    }
}
