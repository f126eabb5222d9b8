//! How one service's load should be divided, as of a moment.
//!
//! Working it out touches every shard and every server, so it is kept for a while.

use std::time::Duration;

use grebepin_catalog::{InstanceId, ShardOwnership, SHARDS};

use crate::load::LoadBook;
use crate::placement::{Demand, MAXIMUM_ROWS};
use crate::shares::Shares;
use crate::transfer::{soonest, Receiver};

/// How long a division is kept.
const LIFETIME: Duration = Duration::from_millis(700);

/// The division of a service's load.
#[derive(Debug)]
pub(crate) struct Division {
    at: Duration,
    pub shares: Shares,
    eligible: Vec<InstanceId>,
}

impl Division {
    /// Divides the load of a service among the servers that can take shards.
    pub(crate) fn new(
        now: Duration,
        load: &LoadBook,
        service: &str,
        eligible: Vec<&InstanceId>,
    ) -> Self {
        Self {
            at: now,
            shares: Shares::new(now, load, service, &eligible),
            eligible: eligible.into_iter().cloned().collect(),
        }
    }

    /// Whether it is recent enough to go by.
    pub(crate) fn is_fresh(&self, now: Duration) -> bool {
        now < self.at + LIFETIME
    }

    /// Servers that send a heartbeat next, with what each may take, the first to come first.
    /// `expected_beat` tells when that of a server is expected.
    pub(crate) fn receivers(
        &self,
        now: Duration,
        ownership: &ShardOwnership,
        giver: &InstanceId,
        expected_beat: impl Fn(&InstanceId) -> Option<Duration>,
    ) -> Vec<Receiver> {
        let others = self.eligible.iter().filter(|id| *id != giver);
        let expected = others.filter_map(|id| Some((id, expected_beat(id)?)));
        let receivers = soonest(now, expected).into_iter();
        let receivers = receivers.map(|(id, expected)| Receiver {
            id: id.clone(),
            expected,
            room: self.shares.room(ownership, id),
            capacity: self.shares.capacity(id),
            rows_left: MAXIMUM_ROWS.saturating_sub(rows_of(ownership, id)),
        });
        receivers.collect()
    }

    /// What a server that asks for shards has and may still take.
    pub(crate) fn demand(
        &self,
        ownership: &ShardOwnership,
        id: &InstanceId,
        room: f64,
        overdue: bool,
    ) -> Demand {
        let is_empty = |id: &&InstanceId| ownership.count_of(id) == 0;
        let owned = ownership.count_of(id);
        Demand {
            total: SHARDS,
            owned,
            rows: rows_of(ownership, id),
            room,
            eligible: self.eligible.len(),
            empty: match owned {
                0 => self.eligible.iter().filter(is_empty).count(),
                _ => 0,
            },
            overdue,
        }
    }
}

/// Rows that list a server's shards.
fn rows_of(ownership: &ShardOwnership, id: &InstanceId) -> usize {
    ownership.rows(ownership.owned_by(id)).len()
}
