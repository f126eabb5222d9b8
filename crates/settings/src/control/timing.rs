//! Times of a control group and the relations that must hold among them.

use std::time::Duration;

use grebepin_schema as schema;

use crate::problems::Problems;

/// Rounds of a leader that fit into the least election timeout, so that one lost message elects
/// nobody.
const ROUNDS_PER_ELECTION_TIMEOUT: u64 = 3;

/// Heartbeats that fit into a server's lease, so that two lost ones cost no lease.
const HEARTBEATS_PER_LEASE: u64 = 3;

/// Election timeouts that fit into a server's lease, so that a change of leader costs no lease.
const ELECTION_TIMEOUTS_PER_LEASE: u64 = 2;

/// Times of a control group; equal on all its replicas.
#[derive(Clone, Debug, PartialEq)]
pub struct ControlTiming {
    /// Step of all timers.
    pub tick: Duration,
    /// Between a leader's rounds.
    pub replica_heartbeat: Duration,
    /// Least silence before a pre-vote; up to half as much again at random. Also the leader lease.
    pub election_timeout: Duration,
    /// Between heartbeats to a server.
    pub server_heartbeat: Duration,
    /// Lease of a server.
    pub server_lease: Duration,
    /// Most by which two clocks' rates differ, in percent.
    pub drift_percent: u32,
    /// Entries between two snapshots.
    pub snapshot_every_entries: u64,
    /// Between two looks at the platform's list.
    pub platform_poll: Duration,
}

impl Default for ControlTiming {
    fn default() -> Self {
        typed(&schema::ControlTiming::default())
    }
}

/// Checks limits and relations.
pub(super) fn check(raw: schema::ControlTiming, problems: &mut Problems) -> ControlTiming {
    check_limits(&raw, problems);
    check_relations(&raw, problems);
    typed(&raw)
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
        problems.range(field, value, minimum, maximum);
    }
}

fn check_relations(raw: &schema::ControlTiming, problems: &mut Problems) {
    let tick = ("tick_ms", raw.tick_ms.get());
    let round = ("replica_heartbeat_ms", raw.replica_heartbeat_ms);
    let election_timeout = ("election_timeout_ms", raw.election_timeout_ms);
    let heartbeat = ("server_heartbeat_ms", raw.server_heartbeat_ms);
    let lease = ("timing.server_lease_ms", raw.server_lease_ms);
    problems.at_least(("timing.replica_heartbeat_ms", round.1), 1, tick);
    problems.at_least(("timing.server_heartbeat_ms", heartbeat.1), 1, tick);
    let field = ("timing.election_timeout_ms", election_timeout.1);
    problems.at_least(field, ROUNDS_PER_ELECTION_TIMEOUT, round);
    problems.at_least(lease, HEARTBEATS_PER_LEASE, heartbeat);
    problems.at_least(lease, ELECTION_TIMEOUTS_PER_LEASE, election_timeout);
}

fn typed(raw: &schema::ControlTiming) -> ControlTiming {
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
