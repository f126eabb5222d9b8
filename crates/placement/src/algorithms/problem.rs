//! Input and result of a placement.

use crate::Candidate;

/// Input of a placement: servers, current owners and loads.
#[derive(Clone, Copy, Debug)]
pub struct Problem<'a> {
    /// Servers that shards can be placed on.
    pub candidates: &'a [Candidate],
    /// Side of each server, as for [`crate::rebalance_sides`].
    pub sides: &'a [usize],
    /// Index of each shard's owner in `candidates`.
    pub owners: &'a [Option<usize>],
    /// Load of each shard; empty when only counts matter.
    pub loads: &'a [f64],
    /// Whether only shards without an eligible owner are placed. Otherwise shards also move so that
    /// servers approach their shares.
    pub keep_owners: bool,
    /// Tolerated excess of a server's load over its share, in percent.
    pub imbalance_percent: u32,
}

/// Result of a placement.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Placement {
    /// Pairs of shard and new owner.
    pub changes: Vec<(usize, usize)>,
    /// Requests that shards without an owner sent to servers; responses aren't counted.
    pub messages: u64,
    /// Rounds of requests.
    pub rounds: u32,
}

impl Problem<'_> {
    /// Index of the shard's owner, if that server may own shards.
    pub fn eligible_owner(&self, shard: usize) -> Option<usize> {
        self.owners[shard].filter(|&server| self.candidates[server].eligible)
    }

    /// Size of a shard: its load, or 1 when only counts matter.
    pub(super) fn size(&self, shard: usize) -> f64 {
        self.loads.get(shard).copied().unwrap_or(1.0)
    }

    pub(super) fn total_size(&self) -> f64 {
        (0..self.owners.len()).map(|shard| self.size(shard)).sum()
    }

    pub(super) fn weights(&self) -> Vec<f64> {
        self.candidates
            .iter()
            .map(Candidate::effective_weight)
            .collect()
    }

    /// Total size that each server should hold.
    pub(super) fn shares(&self) -> Vec<f64> {
        let weights = self.weights();
        let sum: f64 = weights.iter().sum();
        let total = self.total_size();
        weights
            .into_iter()
            .map(|weight| if sum > 0.0 { total * weight / sum } else { 0.0 })
            .collect()
    }
}

/// Owners after a placement.
pub(super) fn apply(owners: &[Option<usize>], placement: &Placement) -> Vec<Option<usize>> {
    let mut owners = owners.to_vec();
    for &(shard, server) in &placement.changes {
        owners[shard] = Some(server);
    }
    owners
}

impl Placement {
    /// Owners after this placement.
    pub fn owners_after(&self, owners: &[Option<usize>]) -> Vec<Option<usize>> {
        apply(owners, self)
    }
}
