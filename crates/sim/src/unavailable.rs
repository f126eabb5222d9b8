//! How long shards were out of service after the loss of their owner, and the group without a leader.

use std::collections::BTreeMap;

use grebepin_schema::{HistoryEvent, HistoryRecord, ServiceName, ShardId};
use serde::Serialize;

use crate::clock::Instant;

type Shard = (ServiceName, ShardId);

/// Unavailable times of one run in microseconds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Unavailable {
    /// For each loss of a server that held shards: from the loss until the last of them was held by a
    /// server that is well.
    pub owner_loss_us: Vec<Instant>,
    /// Longest time in which no replica was allowed to act as the leader.
    pub without_leader_us: Instant,
}

#[derive(Default)]
struct Progress {
    owners: BTreeMap<Shard, String>,
    out: BTreeMap<String, u32>,
    /// Shards whose owner was lost, and when.
    lost: BTreeMap<Shard, (Instant, u64)>,
    losses: BTreeMap<u64, (Instant, Instant)>,
    next_loss: u64,
}

/// Takes the unavailable times of a run's records.
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
                if !self.out.contains_key(&server) {
                    self.mended(at, &shard);
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
            | HistoryEvent::CutOff(name) => self.struck(at, name),
            HistoryEvent::Returned(name) => self.returned(at, name),
            _ => {}
        }
    }

    fn struck(&mut self, at: Instant, name: &str) {
        self.out.insert(name.to_string(), 1);
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

    /// A server that came back and still holds its shards serves them again.
    fn returned(&mut self, at: Instant, name: &str) {
        self.out.remove(name);
        let owned = self.owners.iter().filter(|(_, owner)| *owner == name);
        let owned: Vec<Shard> = owned.map(|(shard, _)| shard.clone()).collect();
        for shard in owned {
            self.mended(at, &shard);
        }
    }

    fn mended(&mut self, at: Instant, shard: &Shard) {
        if let Some((begun, loss)) = self.lost.remove(shard) {
            let entry = self.losses.entry(loss).or_insert((begun, at));
            entry.1 = entry.1.max(at);
        }
    }
}

/// Median, 99th percentile and worst of some times.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Percentiles {
    /// Count of times.
    pub count: usize,
    /// Median.
    pub median_us: Instant,
    /// 99th percentile.
    pub p99_us: Instant,
    /// Largest.
    pub worst_us: Instant,
}

impl Percentiles {
    /// Of these times, by nearest rank.
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
