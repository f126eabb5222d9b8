//! How much load each server of a service should own, by what it can take.

use std::collections::BTreeMap;
use std::time::Duration;

use grebepin_catalog::{InstanceId, ShardOwnership};

use crate::load::LoadBook;
use crate::rate::RATE_MEMORY;
use crate::transfer::Receiver;

/// Part of a capacity below which a server has no reason to give shards away.
const BUSY_PART: f64 = 0.45;

/// Excess over its share, as a part, that a busy server may keep.
const TOLERATED_EXCESS: f64 = 0.2;

/// Part of a server's capacity above which one shard alone counts as heavy for it.
const HEAVY_PART: f64 = 0.5;

/// How much faster a server must be to take over a heavy shard.
const FASTER_FACTOR: f64 = 1.3;

/// Standard deviations of a count of requests that an excess must be above.
const CHANCE_DEVIATIONS: f64 = 2.0;

/// Part of an excess that is given away at once.
const GIVEN_PART: f64 = 0.8;

/// Part of a server's load that moves when it takes no requests: the rest is spread over many shards that nobody asks for
/// meanwhile.
const ASKED_PART: f64 = 0.95;

/// Most runs of neighbouring shards that a busy server gives away at once.
const GIVEN_AT_ONCE: usize = 20;

/// The division of one service's load at a moment.
#[derive(Debug)]
pub(crate) struct Shares {
    weights: Vec<f64>,
    /// What each server that can take shards should own, in the weights' unit.
    shares: BTreeMap<InstanceId, f64>,
    capacities: BTreeMap<InstanceId, f64>,
    /// What a server that came since should own.
    mean_share: f64,
}

impl Shares {
    /// Divides the load of a service among servers in proportion to their capacities. One of which
    /// nothing is known counts as the mean of the others.
    pub(crate) fn new(
        now: Duration,
        book: &LoadBook,
        service: &str,
        servers: &[&InstanceId],
    ) -> Self {
        let weights = book.weights(now, service);
        let known: Vec<f64> = servers
            .iter()
            .filter_map(|id| book.capacity(now, id))
            .filter(|capacity| *capacity > 0.0)
            .collect();
        let mean = match known.is_empty() {
            true => 1.0,
            false => known.iter().sum::<f64>() / known.len() as f64,
        };
        let capacity = |id: &InstanceId| book.capacity(now, id).unwrap_or(mean);
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

    /// Load of a server's shards.
    pub(crate) fn owned(&self, ownership: &ShardOwnership, id: &InstanceId) -> f64 {
        ownership.owned_by(id).map(|shard| self.weight(shard)).sum()
    }

    /// What a server may still take.
    pub(crate) fn room(&self, ownership: &ShardOwnership, id: &InstanceId) -> f64 {
        let share = self.shares.get(id).copied().unwrap_or(self.mean_share);
        share - self.owned(ownership, id)
    }

    /// Shards that a busy server should give away, so that others with room take them. The busiest
    /// runs that fit its excess go first: few moves carry much load. One whose capacity `is_stated` turns the rest away, so
    /// all of its excess goes at once; where the capacity is an estimate, a part goes and the next look corrects it.
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
        if owned < capacity * BUSY_PART || owned < share * (1.0 + TOLERATED_EXCESS) {
            return Vec::new();
        }
        // Requests that came by chance are no reason to move: their number varies with its root.
        let memory = RATE_MEMORY.as_secs_f64();
        if (owned - share) * memory < CHANCE_DEVIATIONS * (share * memory).sqrt() {
            return Vec::new();
        }
        let (part, most) = match is_stated {
            true => (1.0, usize::MAX),
            false => (GIVEN_PART, GIVEN_AT_ONCE),
        };
        let left = (owned - share) * part;
        let runs = self.fitting(left, runs_of(ownership.owned_by(id)), most);
        if !runs.is_empty() {
            return runs;
        }
        // Every run is too busy as a whole: its quieter shards go one by one, at the price of more rows.
        let single = ownership.owned_by(id).map(|shard| vec![shard]).collect();
        self.fitting(left, single, GIVEN_AT_ONCE)
    }

    /// Shards that a server which takes no requests for a time should give away: all but those that are hardly asked for.
    pub(crate) fn busy_runs(&self, ownership: &ShardOwnership, id: &InstanceId) -> Vec<Vec<usize>> {
        let asked = self.owned(ownership, id) * ASKED_PART;
        self.fitting(asked, runs_of(ownership.owned_by(id)), usize::MAX)
    }

    /// Answers a second that a server can give.
    pub(crate) fn capacity(&self, id: &InstanceId) -> f64 {
        self.capacities.get(id).copied().unwrap_or_default()
    }

    /// The shard that alone keeps a server busy, so that it belongs to a faster one if there is any.
    pub(crate) fn misplaced(&self, ownership: &ShardOwnership, id: &InstanceId) -> Option<usize> {
        let heaviest = ownership
            .owned_by(id)
            .max_by(|one, other| self.weight(*one).total_cmp(&self.weight(*other)))?;
        let is_heavy = self.weight(heaviest) > self.capacity(id) * HEAVY_PART;
        is_heavy.then_some(heaviest)
    }

    /// The fastest of some receivers, if it is clearly faster than a heavy shard's owner and owns no
    /// heavy one itself; its place in the list.
    pub(crate) fn better_for(
        &self,
        shard: usize,
        ownership: &ShardOwnership,
        owner: &InstanceId,
        receivers: &[Receiver],
    ) -> Option<usize> {
        let least = self.capacity(owner) * FASTER_FACTOR;
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

    /// The busiest runs whose load together is at most `left`, and no more than `most`.
    fn fitting(&self, mut left: f64, mut runs: Vec<Vec<usize>>, most: usize) -> Vec<Vec<usize>> {
        runs.sort_by(|one, other| self.weight_of(other).total_cmp(&self.weight_of(one)));
        let mut given = Vec::new();
        for run in runs {
            if given.len() >= most {
                break;
            }
            let weight = self.weight_of(&run);
            if weight <= left {
                left -= weight;
                given.push(run);
            }
        }
        given
    }
}

/// Groups shards that stand in order into runs of neighbours: an answer lists each run as a row, and
/// moving a whole one leaves the giver with fewer.
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
