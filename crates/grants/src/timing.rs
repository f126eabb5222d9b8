//! Durations that all replicas of a group share.

use std::time::Duration;

/// Largest drift by which a server's clock may run slow, in percent.
const MAX_CLOCK_DRIFT_PERCENT: u32 = 2;

/// Allowance for drift of the leader's own clock and for rounding.
const LEASE_END_MARGIN: Duration = Duration::from_millis(20);

/// Longest time for which a response of an earlier leader can still reach a server and be accepted.
const RESPONSE_LIFETIME: Duration = Duration::from_millis(1_500);

/// Durations of leases and timeouts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Duration of a lease, counted by the server from the moment it sends a heartbeat. Must be equal in
    /// the whole group, so that a new leader can bound the leases granted by earlier ones.
    pub lease: Duration,
    /// Interval between heartbeats of one server.
    pub heartbeat_interval: Duration,
    /// Time over which a draining server's shards are moved away.
    pub drain_window: Duration,
    /// Time over which the shards of an evacuated zone's servers are moved away.
    pub evacuation_window: Duration,
    /// Silence after which a server without a lease is marked as gone.
    pub server_timeout: Duration,
}

impl Timing {
    /// Latest time at which a lease granted at `now` can end, by the leader's clock.
    pub fn lease_end(&self, now: Duration) -> Duration {
        now + self.lease * 100 / (100 - MAX_CLOCK_DRIFT_PERCENT) + LEASE_END_MARGIN
    }

    /// Time from a service's first heartbeat until its shards are first assigned, so that more servers
    /// can register before that.
    pub fn settling_time(&self) -> Duration {
        self.heartbeat_interval * 3 / 2
    }

    /// Time after a change of leader from which no response of an earlier leader is accepted any more.
    pub(crate) fn response_lifetime(&self) -> Duration {
        RESPONSE_LIFETIME
    }

    /// Silence after which another server that sends heartbeats with the same address replaces a server there. It exceeds
    /// the heartbeat interval, so that a live server keeps its address.
    pub(crate) fn takeover_silence(&self) -> Duration {
        self.heartbeat_interval * 3 / 2
    }

    /// Longest time since its last heartbeat for which a server may be assigned shards.
    pub(crate) fn max_silence(&self) -> Duration {
        self.heartbeat_interval * 5 / 2
    }
}
