//! Timing of a control group and the relations that must hold between its values.

use std::time::Duration;

use grebepin_schema as schema;

use crate::problems::Problems;

/// Minimum number of leader heartbeats per election timeout, so that one lost message does not start an
/// election.
const HEARTBEATS_PER_ELECTION_TIMEOUT: u64 = 3;

/// Minimum number of heartbeats per server lease, so that no lease ends because two heartbeats are lost.
const HEARTBEATS_PER_LEASE: u64 = 3;

/// Minimum number of election timeouts per server lease, so that no lease ends during a change of leader.
const ELECTION_TIMEOUTS_PER_LEASE: u64 = 2;

/// Timing of a control group; must be equal on all its replicas.
#[derive(Clone, Debug, PartialEq)]
pub struct ControlTiming {
    /// Resolution of all timers.
    pub tick: Duration,
    /// Interval between the heartbeats of a leader to its followers.
    pub replica_heartbeat: Duration,
    /// Minimum time without a message from the leader before a pre-vote; extended at random by up to half. Also
    /// the duration of the leader lease.
    pub election_timeout: Duration,
    /// Interval between heartbeats to a server.
    pub server_heartbeat: Duration,
    /// Duration of the lease of a server.
    pub server_lease: Duration,
    /// Maximum difference between the rates of two clocks in percent.
    pub drift_percent: u32,
    /// Number of log entries between two snapshots.
    pub snapshot_every_entries: u64,
    /// Interval between reads of the platform's list of machines.
    pub platform_poll: Duration,
}

impl Default for ControlTiming {
    fn default() -> Self {
        to_timing(&schema::ControlTiming::default())
    }
}

/// Checks the limit of each value and the relations between them.
pub(super) fn check(raw: schema::ControlTiming, problems: &mut Problems) -> ControlTiming {
    check_limits(&raw, problems);
    check_relations(&raw, problems);
    to_timing(&raw)
}

fn check_limits(raw: &schema::ControlTiming, problems: &mut Problems) {
    let limits = [
        ("timing.tick_ms", raw.tick_ms.get(), 1, 1000),
        (
            "timing.replica_heartbeat_ms",
            raw.replica_heartbeat_ms,
            5,
            10_000,
        ),
        (
            "timing.election_timeout_ms",
            raw.election_timeout_ms,
            20,
            60_000,
        ),
        (
            "timing.server_heartbeat_ms",
            raw.server_heartbeat_ms,
            10,
            60_000,
        ),
        ("timing.server_lease_ms", raw.server_lease_ms, 50, 600_000),
        ("timing.drift_percent", raw.drift_percent, 0, 50),
        (
            "timing.snapshot_every_entries",
            raw.snapshot_every_entries,
            10,
            10_000_000,
        ),
        (
            "timing.platform_poll_ms",
            raw.platform_poll_ms,
            100,
            600_000,
        ),
    ];
    for (field, value, minimum, maximum) in limits {
        problems.check_range(field, value, minimum, maximum);
    }
}

fn check_relations(raw: &schema::ControlTiming, problems: &mut Problems) {
    let tick = ("tick_ms", raw.tick_ms.get());
    let replica_heartbeat = ("replica_heartbeat_ms", raw.replica_heartbeat_ms);
    let election_timeout = ("election_timeout_ms", raw.election_timeout_ms);
    let server_heartbeat = ("server_heartbeat_ms", raw.server_heartbeat_ms);
    let lease = ("timing.server_lease_ms", raw.server_lease_ms);
    problems.check_at_least(
        ("timing.replica_heartbeat_ms", replica_heartbeat.1),
        1,
        tick,
    );
    problems.check_at_least(("timing.server_heartbeat_ms", server_heartbeat.1), 1, tick);
    let field = ("timing.election_timeout_ms", election_timeout.1);
    problems.check_at_least(field, HEARTBEATS_PER_ELECTION_TIMEOUT, replica_heartbeat);
    problems.check_at_least(lease, HEARTBEATS_PER_LEASE, server_heartbeat);
    problems.check_at_least(lease, ELECTION_TIMEOUTS_PER_LEASE, election_timeout);
}

fn to_timing(raw: &schema::ControlTiming) -> ControlTiming {
    ControlTiming {
        tick: Duration::from_millis(raw.tick_ms.get()),
        replica_heartbeat: Duration::from_millis(raw.replica_heartbeat_ms),
        election_timeout: Duration::from_millis(raw.election_timeout_ms),
        server_heartbeat: Duration::from_millis(raw.server_heartbeat_ms),
        server_lease: Duration::from_millis(raw.server_lease_ms),
        drift_percent: u32::try_from(raw.drift_percent).unwrap_or(u32::MAX),
        snapshot_every_entries: raw.snapshot_every_entries,
        platform_poll: Duration::from_millis(raw.platform_poll_ms),
    }
}
