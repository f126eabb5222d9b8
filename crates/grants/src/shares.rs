//! Share of a service's load that each server should own, by capacity.

use std::collections::BTreeMap;
use std::time::Duration;

use grebepin_catalog::{InstanceId, ShardOwnership};

use crate::load::LoadTracker;
use crate::rate::RATE_TIME_CONSTANT;
use crate::transfer::Receiver;

/// Fraction of its capacity below which no load is moved away from a server.
const BUSY_FRACTION: f64 = 0.45;

/// Excess over its share, as a fraction, that a busy server may keep.
const TOLERATED_EXCESS: f64 = 0.2;

/// Fraction of a server's capacity above which a single shard counts as heavy for it.
const HEAVY_FRACTION: f64 = 0.5;

/// Factor by which a receiver must be faster to take over a heavy shard.
const MIN_SPEEDUP: f64 = 1.3;

/// Standard deviations of a request count that an excess must be above.
const MIN_EXCESS_DEVIATIONS: f64 = 2.0;

/// Fraction of an excess that is moved at once.
const MOVED_FRACTION: f64 = 0.8;

/// Fraction of its load that is moved away from a server that accepts no requests for a time; the rest
/// is spread over many shards with hardly any requests.
const REQUESTED_FRACTION: f64 = 0.95;

/// Limit on the runs of neighbouring shards that are moved away from a busy server at once.
const MAX_RUNS_AT_ONCE: usize = 20;

/// Shares of one service's load at one time.
#[derive(Debug)]
pub(crate) struct Shares {
    weights: Vec<f64>,
    /// Load that each server that can take shards should own, in the unit of the weights.
    shares: BTreeMap<InstanceId, f64>,
    capacities: BTreeMap<InstanceId, f64>,
    /// Share of a server that has registered since.
    mean_share: f64,
}

impl Shares {
    /// Distributes the load of a service among servers in proportion to their capacities. A server whose
    /// capacity is unknown is assumed to have the mean capacity of the others.
    pub(crate) fn new(
        now: Duration,
        load: &LoadTracker,
        service: &str,
        servers: &[&InstanceId],
    ) -> Self {
        let weights = load.weights(now, service);
        let known: Vec<f64> = servers
            .iter()
            .filter_map(|id| load.capacity(now, id))
            .filter(|capacity| *capacity > 0.0)
            .collect();
        let mean = match known.is_empty() {
            true => 1.0,
            false => known.iter().sum::<f64>() / known.len() as f64,
        };
        let capacity = |id: &InstanceId| load.capacity(now, id).unwrap_or(mean);
        let capacities: BTreeMap<InstanceId, f64> = servers
            .iter()
            .map(|id| ((*id).clone(), capacity(id)))
            .collect();
        let all: f64 = capacities.values().sum();
        let total: f64 = weights.iter().sum();
        let shares: BTreeMap<InstanceId, f64> = capacities
            .iter()
            .map(|(id, capacity)| (id.clone(), total * capacity / all.max(f64::MIN_POSITIVE)))
            .collect();
        Self {
            weights,
            mean_share: shares.values().sum::<f64>() / shares.len().max(1) as f64,
            shares,
            capacities,
        }
    }

    /// Load of a shard.
    pub(crate) fn weight(&self, shard: usize) -> f64 {
        self.weights.get(shard).copied().unwrap_or_default()
    }

    /// Load of all shards that a server owns.
    pub(crate) fn owned(&self, ownership: &ShardOwnership, id: &InstanceId) -> f64 {
        ownership.owned_by(id).map(|shard| self.weight(shard)).sum()
    }

    /// Load that a server can still take over; negative when it owns more than its share.
    pub(crate) fn headroom(&self, ownership: &ShardOwnership, id: &InstanceId) -> f64 {
        let share = self.shares.get(id).copied().unwrap_or(self.mean_share);
        share - self.owned(ownership, id)
    }

    /// Runs of shards to move away from a server that owns more load than its share. The busiest runs
    /// that fit the excess go first, so that few moves carry much load. When the capacity is a stated
    /// rate (`is_stated`), requests above it are refused, so the whole excess is moved at once. When it
    /// is an estimate, a part is moved and the next estimate corrects the rest.
    pub(crate) fn excess(
        &self,
        ownership: &ShardOwnership,
        id: &InstanceId,
        is_stated: bool,
    ) -> Vec<Vec<usize>> {
        let (Some(share), Some(capacity)) = (self.shares.get(id), self.capacities.get(id)) else {
            return Vec::new();
        };
        let owned = self.owned(ownership, id);
        if owned < capacity * BUSY_FRACTION || owned < share * (1.0 + TOLERATED_EXCESS) {
            return Vec::new();
        }
        // Ignores an excess within random variation: the standard deviation of a request count is its
        // square root.
        let time_constant = RATE_TIME_CONSTANT.as_secs_f64();
        if (owned - share) * time_constant < MIN_EXCESS_DEVIATIONS * (share * time_constant).sqrt()
        {
            return Vec::new();
        }
        let (part, most) = match is_stated {
            true => (1.0, usize::MAX),
            false => (MOVED_FRACTION, MAX_RUNS_AT_ONCE),
        };
        let left = (owned - share) * part;
        let runs = self.busiest_within(left, runs_of(ownership.owned_by(id)), most);
        if !runs.is_empty() {
            return runs;
        }
        // Every run is too busy as a whole, so single shards are moved, at the cost of more rows.
        let single = ownership.owned_by(id).map(|shard| vec![shard]).collect();
        self.busiest_within(left, single, MAX_RUNS_AT_ONCE)
    }

    /// Shards to move away from a server that accepts no requests for a time: all but those with hardly
    /// any requests.
    pub(crate) fn busy_runs(&self, ownership: &ShardOwnership, id: &InstanceId) -> Vec<Vec<usize>> {
        let asked = self.owned(ownership, id) * REQUESTED_FRACTION;
        self.busiest_within(asked, runs_of(ownership.owned_by(id)), usize::MAX)
    }

    /// Answers a second that a server can give.
    pub(crate) fn capacity(&self, id: &InstanceId) -> f64 {
        self.capacities.get(id).copied().unwrap_or_default()
    }

    /// Shard that alone uses much of a server's capacity and should move to a faster server, if there is
    /// one.
    pub(crate) fn overloading_shard(
        &self,
        ownership: &ShardOwnership,
        id: &InstanceId,
    ) -> Option<usize> {
        let heaviest = ownership
            .owned_by(id)
            .max_by(|one, other| self.weight(*one).total_cmp(&self.weight(*other)))?;
        let is_heavy = self.weight(heaviest) > self.capacity(id) * HEAVY_FRACTION;
        is_heavy.then_some(heaviest)
    }

    /// Index of the fastest receiver that is clearly faster than the owner of a heavy shard and owns no
    /// heavy shard itself.
    pub(crate) fn faster_receiver(
        &self,
        shard: usize,
        ownership: &ShardOwnership,
        owner: &InstanceId,
        receivers: &[Receiver],
    ) -> Option<usize> {
        let least = self.capacity(owner) * MIN_SPEEDUP;
        let weight = self.weight(shard);
        let candidates = receivers.iter().enumerate();
        let faster = candidates
            .filter(|(_, one)| one.rows_left > 0 && one.capacity >= least)
            .filter(|(_, one)| self.heaviest(ownership, &one.id) < weight / 2.0);
        let fastest = faster.max_by(|(_, one), (_, other)| one.capacity.total_cmp(&other.capacity));
        fastest.map(|(number, _)| number)
    }

    /// Load of a server's heaviest shard.
    fn heaviest(&self, ownership: &ShardOwnership, id: &InstanceId) -> f64 {
        let weights = ownership.owned_by(id).map(|shard| self.weight(shard));
        weights.fold(0.0, f64::max)
    }

    /// Load of some shards.
    pub(crate) fn weight_of(&self, run: &[usize]) -> f64 {
        run.iter().map(|shard| self.weight(*shard)).sum()
    }

    /// The busiest runs whose total load is at most `left`, and at most `most` of them.
    fn busiest_within(
        &self,
        mut left: f64,
        mut runs: Vec<Vec<usize>>,
        most: usize,
    ) -> Vec<Vec<usize>> {
        runs.sort_by(|one, other| self.weight_of(other).total_cmp(&self.weight_of(one)));
        let mut selected = Vec::new();
        for run in runs {
            if selected.len() >= most {
                break;
            }
            let weight = self.weight_of(&run);
            if weight <= left {
                left -= weight;
                selected.push(run);
            }
        }
        selected
    }
}

/// Groups shards, which must be in ascending order, into runs of neighbours. A response lists each run
/// as one row, so moving a whole run leaves the previous owner with fewer rows.
pub(crate) fn runs_of(shards: impl Iterator<Item = usize>) -> Vec<Vec<usize>> {
    let mut runs: Vec<Vec<usize>> = Vec::new();
    for shard in shards {
        match runs.last_mut() {
            Some(run) if run.last() == Some(&(shard - 1)) => run.push(shard),
            _ => runs.push(vec![shard]),
        }
    }
    runs
}
