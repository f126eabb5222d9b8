//! Planned moves: first towards the wanted counts, then away from servers with too much load.
//!
//! Invariant: the result never has more moves than the budget, and no shard moves twice.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::ops::RangeInclusive;

use crate::targets::{exact_shares, target_counts};
use crate::Candidate;

mod load;

/// A planned move of one shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Move {
    /// Shard.
    pub shard: usize,
    /// Position of its present owner.
    pub from: usize,
    /// Position of its next owner.
    pub to: usize,
}

/// Bounds on planned moves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RebalancePolicy {
    /// Most moves to start now.
    pub budget: usize,
    /// Load above a server's share, in percent, below which no shard moves for load. Once a server is
    /// above it, moves go on until it is at half of it.
    pub imbalance_percent: u32,
}

/// Shards beyond its share, rounded either way, that a server may keep or lack, so that a move for load
/// can stand.
const COUNT_SLACK: usize = 1;

/// State of a plan while it is made.
struct Plan<'a> {
    candidates: &'a [Candidate],
    loads: &'a [f64],
    owners: Vec<Option<usize>>,
    counts: Vec<usize>,
    targets: Vec<usize>,
    /// Counts within which a server is left alone.
    bounds: Vec<RangeInclusive<usize>>,
    moved: Vec<bool>,
    moves: Vec<Move>,
    budget: usize,
}

/// Plans moves of shards between servers that are both up.
///
/// `owners[shard]` is a position in `candidates`; `loads[shard]` is that shard's load in any unit, and
/// missing loads count as 0. Shards without an eligible owner are left to [`crate::assign_orphans`]. A
/// server with weight 0 that is eligible gives all of its shards away.
pub fn rebalance(
    candidates: &[Candidate],
    owners: &[Option<usize>],
    loads: &[f64],
    policy: &RebalancePolicy,
) -> Vec<Move> {
    let mut plan = Plan::new(candidates, owners, loads, policy.budget);
    plan.move_towards_counts();
    load::move_away_from_load(&mut plan, policy.imbalance_percent);
    plan.moves
}

impl<'a> Plan<'a> {
    fn new(
        candidates: &'a [Candidate],
        owners: &[Option<usize>],
        loads: &'a [f64],
        budget: usize,
    ) -> Self {
        let is_eligible = |&server: &usize| {
            candidates
                .get(server)
                .is_some_and(|candidate| candidate.eligible)
        };
        let owners: Vec<Option<usize>> = owners
            .iter()
            .map(|owner| owner.filter(is_eligible))
            .collect();
        let mut counts = vec![0; candidates.len()];
        for &server in owners.iter().flatten() {
            counts[server] += 1;
        }
        let owned = owners.iter().flatten().count();
        let targets = target_counts(candidates, &counts, owned);
        let shares = exact_shares(candidates, owned);
        Self {
            candidates,
            loads,
            moved: vec![false; owners.len()],
            owners,
            counts,
            targets,
            bounds: shares.into_iter().map(bounds_of).collect(),
            moves: Vec::new(),
            budget,
        }
    }

    fn load_of(&self, shard: usize) -> f64 {
        let load = self.loads.get(shard).copied().unwrap_or(0.0);
        if load.is_finite() {
            load.max(0.0)
        } else {
            0.0
        }
    }

    fn budget_left(&self) -> usize {
        self.budget - self.moves.len()
    }

    fn move_shard(&mut self, shard: usize, from: usize, to: usize) {
        self.owners[shard] = Some(to);
        self.counts[from] -= 1;
        self.counts[to] += 1;
        self.moved[shard] = true;
        self.moves.push(Move { shard, from, to });
    }

    /// Moves from the server with the most surplus to the one with the most room, lightest shards first.
    fn move_towards_counts(&mut self) {
        let servers = 0..self.counts.len();
        let is_left_alone = |server: usize| self.bounds[server].contains(&self.counts[server]);
        if servers.clone().all(is_left_alone) {
            return;
        }
        let surplus = |server: usize| self.counts[server].saturating_sub(self.targets[server]);
        let room = |server: usize| self.targets[server].saturating_sub(self.counts[server]);
        let mut givers = Queue::new(servers.clone().map(surplus));
        let mut takers = Queue::new(servers.map(room));
        let mut held = self.lightest_last();
        while self.budget_left() > 0 {
            let (Some(from), Some(to)) = (givers.take(), takers.take()) else {
                return;
            };
            let Some(shard) = held[from].pop() else {
                return;
            };
            self.move_shard(shard, from, to);
        }
    }

    /// Shards of each server that has any, the lightest at the end.
    fn lightest_last(&self) -> Vec<Vec<usize>> {
        let mut shards = vec![Vec::new(); self.counts.len()];
        for (shard, owner) in self.owners.iter().enumerate() {
            if let Some(server) = owner {
                shards[*server].push(shard);
            }
        }
        for held in &mut shards {
            held.sort_by(|&left, &right| self.load_of(right).total_cmp(&self.load_of(left)));
        }
        shards
    }
}

/// Counts within which a server with this share is left alone; none but 0 with a share of 0.
fn bounds_of(share: f64) -> RangeInclusive<usize> {
    if share <= 0.0 {
        return 0..=0;
    }
    let lowest = (share.floor() as usize).saturating_sub(COUNT_SLACK);
    lowest..=share.ceil() as usize + COUNT_SLACK
}

/// Servers by how many shards they still give or take, the most first; ties go to the first server.
struct Queue(BinaryHeap<(usize, Reverse<usize>)>);

impl Queue {
    fn new(amounts: impl Iterator<Item = usize>) -> Self {
        let with_server = amounts
            .enumerate()
            .map(|(server, amount)| (amount, Reverse(server)));
        Self(with_server.filter(|(amount, _)| *amount > 0).collect())
    }

    fn take(&mut self) -> Option<usize> {
        let (amount, server) = self.0.pop()?;
        if amount > 1 {
            self.0.push((amount - 1, server));
        }
        Some(server.0)
    }
}
