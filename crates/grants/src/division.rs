//! Target distribution of one service's load among its servers.
//!
//! Computing it visits every shard and every server, so the result is cached for a short time.

use std::time::Duration;

use grebepin_catalog::{InstanceId, ShardOwnership, SHARDS};

use crate::load::LoadTracker;
use crate::placement::{AssignmentRequest, MAX_ROWS};
use crate::shares::Shares;
use crate::transfer::Receiver;

/// How long a distribution is used before it is computed again.
const DIVISION_LIFETIME: Duration = Duration::from_millis(400);

/// Target distribution of a service's load at one time.
#[derive(Debug)]
pub(crate) struct Division {
    computed_at: Duration,
    pub shares: Shares,
    /// Number of servers that can take shards.
    eligible: usize,
}

impl Division {
    /// Distributes the load of a service among the servers that can take shards.
    pub(crate) fn new(
        now: Duration,
        load: &LoadTracker,
        service: &str,
        eligible: &[&InstanceId],
    ) -> Self {
        Self {
            computed_at: now,
            shares: Shares::new(now, load, service, eligible),
            eligible: eligible.len(),
        }
    }

    /// Whether it is recent enough to be used.
    pub(crate) fn is_fresh(&self, now: Duration) -> bool {
        now < self.computed_at + DIVISION_LIFETIME
    }

    /// A server whose next heartbeat is due at `expected`, with the load that it can take over.
    pub(crate) fn receiver(
        &self,
        ownership: &ShardOwnership,
        id: &InstanceId,
        expected: Duration,
    ) -> Receiver {
        Receiver {
            id: id.clone(),
            expected,
            headroom: self.shares.headroom(ownership, id),
            capacity: self.shares.capacity(id),
            rows_left: MAX_ROWS.saturating_sub(rows_of(ownership, id)),
        }
    }

    /// Input for choosing the shards that a server takes.
    pub(crate) fn assignment_request(
        &self,
        ownership: &ShardOwnership,
        id: &InstanceId,
        headroom: f64,
        overdue: bool,
    ) -> AssignmentRequest {
        let owned = ownership.owned_count(id);
        AssignmentRequest {
            total: SHARDS,
            owned,
            rows: rows_of(ownership, id),
            headroom,
            eligible_servers: self.eligible,
            empty_servers: self.eligible.saturating_sub(ownership.owner_count()),
            overdue,
        }
    }
}

/// Number of rows that list a server's shards.
fn rows_of(ownership: &ShardOwnership, id: &InstanceId) -> usize {
    ownership.key_ranges(ownership.owned_by(id)).len()
}
