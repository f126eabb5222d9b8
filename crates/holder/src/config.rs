//! Bounds and durations of a holder.

use std::time::Duration;

use crate::Guards;

/// Longest lease duration; a longer one in a renewal is shortened to it.
pub const MAX_LEASE: Duration = Duration::from_secs(60);

/// Control groups of which one server keeps leases; heartbeats of further groups give no lease.
pub const MAX_GROUPS: usize = 64;

/// Bounds and durations of a [`Holder`](crate::Holder).
#[derive(Clone, Debug)]
pub struct HolderConfig {
    /// Number chosen at random at each start of the server.
    pub boot: u64,
    /// How long a non-repeatable request stays in the record. Callers resend a request no later
    /// than this after its first attempt.
    pub retention: Duration,
    /// How long a repeatable request stays in the record.
    pub repeatable_retention: Duration,
    /// Finished requests kept per shard. Above it the oldest are evicted, and the record counts as
    /// incomplete.
    pub entries_per_shard: usize,
    /// Finished non-repeatable requests kept for all shards together, at about 240 bytes each.
    /// Above it the shard whose record grows evicts its oldest ones, and its record counts as
    /// incomplete.
    pub entries: usize,
    /// Finished repeatable requests kept for all shards together.
    pub repeatable_entries: usize,
    /// How long a shard accepts no requests after the last release request for it. Afterwards it
    /// serves again, since the leader that requested the release gave it up or failed.
    pub release_timeout: Duration,
    /// How long a draining server still accepts requests for the shards that it holds.
    pub drain_grace: Duration,
    /// Least remaining lease time at which an effect is allowed.
    pub effect_margin: Duration,
    /// Least time to its deadline with which a request is begun.
    pub minimum_deadline: Duration,
    /// Whether [`take_changes`](crate::Holder::take_changes) reports acquired and forfeited shards.
    pub report_changes: bool,
    /// Enabled safety checks.
    pub guards: Guards,
}

impl HolderConfig {
    /// Default bounds, for the start of a server with the number `boot`.
    pub fn new(boot: u64) -> Self {
        Self {
            boot,
            retention: Duration::from_secs(900),
            repeatable_retention: Duration::from_secs(60),
            entries_per_shard: 20_000,
            entries: 350_000,
            repeatable_entries: 50_000,
            release_timeout: Duration::from_secs(2),
            drain_grace: Duration::from_millis(1500),
            effect_margin: Duration::from_millis(20),
            minimum_deadline: Duration::from_millis(1),
            report_changes: false,
            guards: Guards::all(),
        }
    }
}
