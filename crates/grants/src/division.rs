//! How one service's load should be divided, as of a moment.
//!
//! Working it out touches every shard and every server, so it is kept for a while.

use std::time::Duration;

use grebepin_catalog::{InstanceId, ShardOwnership, SHARDS};

use crate::load::LoadBook;
use crate::placement::{Demand, MAXIMUM_ROWS};
use crate::shares::Shares;
use crate::transfer::Receiver;

/// How long a division is kept.
const LIFETIME: Duration = Duration::from_millis(400);

/// The division of a service's load.
#[derive(Debug)]
pub(crate) struct Division {
    at: Duration,
    pub shares: Shares,
    /// Servers that can take shards.
    eligible: usize,
}

impl Division {
    /// Divides the load of a service among the servers that can take shards.
    pub(crate) fn new(
        now: Duration,
        load: &LoadBook,
        service: &str,
        eligible: &[&InstanceId],
    ) -> Self {
        Self {
            at: now,
            shares: Shares::new(now, load, service, eligible),
            eligible: eligible.len(),
        }
    }

    /// Whether it is recent enough to go by.
    pub(crate) fn is_fresh(&self, now: Duration) -> bool {
        now < self.at + LIFETIME
    }

    /// What a server may take whose next heartbeat is expected at a time.
    pub(crate) fn receiver(
        &self,
        ownership: &ShardOwnership,
        id: &InstanceId,
        expected: Duration,
    ) -> Receiver {
        Receiver {
            id: id.clone(),
            expected,
            room: self.shares.room(ownership, id),
            capacity: self.shares.capacity(id),
            rows_left: MAXIMUM_ROWS.saturating_sub(rows_of(ownership, id)),
        }
    }

    /// What a server that asks for shards has and may still take.
    pub(crate) fn demand(
        &self,
        ownership: &ShardOwnership,
        id: &InstanceId,
        room: f64,
        overdue: bool,
    ) -> Demand {
        let owned = ownership.owned_count(id);
        Demand {
            total: SHARDS,
            owned,
            rows: rows_of(ownership, id),
            room,
            eligible: self.eligible,
            empty: self.eligible.saturating_sub(ownership.owner_count()),
            overdue,
        }
    }
}

/// Rows that list a server's shards.
fn rows_of(ownership: &ShardOwnership, id: &InstanceId) -> usize {
    ownership.key_ranges(ownership.owned_by(id)).len()
}
