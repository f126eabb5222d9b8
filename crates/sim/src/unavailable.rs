//! Measures how long shards had no working owner after its loss, and the group no leader.

use std::collections::BTreeMap;

use grebepin_schema::{HistoryEvent, HistoryRecord, ServiceName, ShardId};
use serde::Serialize;

use crate::clock::Instant;

type Shard = (ServiceName, ShardId);

/// Unavailable times of one run in microseconds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Unavailable {
    /// For each loss of a server that held shards: time from the loss until the last of these shards was
    /// held by a working server.
    pub owner_loss_us: Vec<Instant>,
    /// Longest time during which no replica held a leader lease.
    pub without_leader_us: Instant,
}

#[derive(Default)]
struct Progress {
    owners: BTreeMap<Shard, String>,
    unavailable_servers: BTreeMap<String, u32>,
    /// Shards without a working owner: time and number of the loss.
    lost: BTreeMap<Shard, (Instant, u64)>,
    losses: BTreeMap<u64, (Instant, Instant)>,
    next_loss: u64,
}

/// Derives the unavailable times from a run's records.
pub(crate) fn measure(records: &[HistoryRecord], without_leader_us: Instant) -> Unavailable {
    let mut progress = Progress::default();
    for record in records {
        progress.observe(record.at_us, &record.event);
    }
    let losses = progress.losses.values();
    Unavailable {
        owner_loss_us: losses.map(|(begun, ended)| ended - begun).collect(),
        without_leader_us,
    }
}

impl Progress {
    fn observe(&mut self, at: Instant, event: &HistoryEvent) {
        match event {
            HistoryEvent::Acquired(holding) => {
                let shard = (holding.service.clone(), holding.shard);
                let server = holding.server.to_string();
                if !self.unavailable_servers.contains_key(&server) {
                    self.owner_restored(at, &shard);
                }
                self.owners.insert(shard, server);
            }
            HistoryEvent::Forfeited(holding) => {
                let shard = (holding.service.clone(), holding.shard);
                if self.owners.get(&shard).map(String::as_str) == Some(holding.server.as_str()) {
                    self.owners.remove(&shard);
                }
            }
            HistoryEvent::Killed(name)
            | HistoryEvent::Frozen(name)
            | HistoryEvent::CutOff(name) => self.server_lost(at, name),
            HistoryEvent::Returned(name) => self.server_returned(at, name),
            _ => {}
        }
    }

    fn server_lost(&mut self, at: Instant, name: &str) {
        self.unavailable_servers.insert(name.to_string(), 1);
        let owned = self.owners.iter().filter(|(_, owner)| *owner == name);
        let owned: Vec<Shard> = owned.map(|(shard, _)| shard.clone()).collect();
        if owned.is_empty() {
            return;
        }
        self.next_loss += 1;
        for shard in owned {
            self.lost.entry(shard).or_insert((at, self.next_loss));
        }
    }

    /// A returned server that still holds its shards serves them again.
    fn server_returned(&mut self, at: Instant, name: &str) {
        self.unavailable_servers.remove(name);
        let owned = self.owners.iter().filter(|(_, owner)| *owner == name);
        let owned: Vec<Shard> = owned.map(|(shard, _)| shard.clone()).collect();
        for shard in owned {
            self.owner_restored(at, &shard);
        }
    }

    fn owner_restored(&mut self, at: Instant, shard: &Shard) {
        if let Some((begun, loss)) = self.lost.remove(shard) {
            let entry = self.losses.entry(loss).or_insert((begun, at));
            entry.1 = entry.1.max(at);
        }
    }
}

/// Median, 99th percentile and maximum of a set of times, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Percentiles {
    /// Number of times.
    pub count: usize,
    /// The median.
    pub median_us: Instant,
    /// The 99th percentile.
    pub p99_us: Instant,
    /// The maximum.
    pub worst_us: Instant,
}

impl Percentiles {
    /// Percentiles of `times` by the nearest-rank method; all zero for an empty list.
    pub fn of(mut times: Vec<Instant>) -> Self {
        times.sort_unstable();
        let rank = |percent: usize| {
            let place = (times.len() * percent).div_ceil(100).saturating_sub(1);
            times.get(place).copied().unwrap_or(0)
        };
        Self {
            count: times.len(),
            median_us: rank(50),
            p99_us: rank(99),
            worst_us: rank(100),
        }
    }
}
