//! What is to be placed, and the result.

use crate::Candidate;

/// Servers, owners and loads.
#[derive(Clone, Copy, Debug)]
pub struct Problem<'a> {
    /// Servers.
    pub candidates: &'a [Candidate],
    /// Side of each server, as in [`crate::rebalance_sides`].
    pub sides: &'a [usize],
    /// Position of each shard's owner in `candidates`.
    pub owners: &'a [Option<usize>],
    /// Load of each shard; empty when only counts matter.
    pub loads: &'a [f64],
    /// Whether only shards without an eligible owner are placed; else shards move towards the servers'
    /// shares as well.
    pub keep_owners: bool,
    /// Load above a server's share, in percent, that is borne.
    pub imbalance_percent: u32,
}

/// Changes that an algorithm makes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Placement {
    /// Pairs of shard and new owner.
    pub changes: Vec<(usize, usize)>,
    /// Questions that shards without an owner asked servers; answers are not counted.
    pub messages: u64,
    /// Rounds of questions.
    pub rounds: u32,
}

impl Problem<'_> {
    /// Position of the shard's owner if that may own shards.
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

    /// Size that each server should hold.
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

/// The owners after a placement.
pub(super) fn apply(owners: &[Option<usize>], placement: &Placement) -> Vec<Option<usize>> {
    let mut owners = owners.to_vec();
    for &(shard, server) in &placement.changes {
        owners[shard] = Some(server);
    }
    owners
}

impl Placement {
    /// The owners after this placement.
    pub fn owners_after(&self, owners: &[Option<usize>]) -> Vec<Option<usize>> {
        apply(owners, self)
    }
}
