//! Bounds and durations of a holder.

use std::time::Duration;

use crate::Guards;

/// Longest lease in force; a longer one is shortened to it.
pub const MAXIMUM_LEASE: Duration = Duration::from_secs(60);

/// Control groups that one server keeps leases of; heartbeats of further groups give no lease.
pub const MAXIMUM_GROUPS: usize = 64;

/// Bounds and durations of a [`Holder`](crate::Holder).
#[derive(Clone, Debug)]
pub struct HolderConfig {
    /// Number chosen at random at each start of the server.
    pub boot: u64,
    /// How long a request that may not be repeated stays in the record. Callers resend a request
    /// no later than this after its first attempt.
    pub retention: Duration,
    /// How long a repeatable request stays in the record.
    pub repeatable_retention: Duration,
    /// Finished requests kept for one shard; beyond it the oldest go and the record isn't whole.
    pub entries_per_shard: usize,
    /// Finished requests that may not be repeated, kept for all shards together, at some 240 bytes
    /// each; beyond it the shard whose record grows loses its oldest, and isn't whole.
    pub entries: usize,
    /// Finished repeatable requests kept for all shards together.
    pub repeatable_entries: usize,
    /// How long a shard that is being released takes no requests after the last time the release
    /// was asked; then it serves again, since the leader that asked has given up or is gone.
    pub release_patience: Duration,
    /// How long a leaving server still takes requests for shards it holds.
    pub drain_grace: Duration,
    /// Lease time that must be left when an effect is made.
    pub effect_margin: Duration,
    /// Least time to a request's deadline at which the request is begun.
    pub least_deadline: Duration,
    /// Whether [`take_changes`](crate::Holder::take_changes) reports acquired and forfeited shards.
    pub report_changes: bool,
    /// Checks that are on.
    pub guards: Guards,
}

impl HolderConfig {
    /// The usual bounds, for one start of a server.
    pub fn new(boot: u64) -> Self {
        Self {
            boot,
            retention: Duration::from_secs(900),
            repeatable_retention: Duration::from_secs(60),
            entries_per_shard: 20_000,
            entries: 350_000,
            repeatable_entries: 50_000,
            release_patience: Duration::from_secs(2),
            drain_grace: Duration::from_millis(1500),
            effect_margin: Duration::from_millis(20),
            least_deadline: Duration::from_millis(1),
            report_changes: false,
            guards: Guards::all(),
        }
    }
}
