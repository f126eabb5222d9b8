//! Planned moves: first towards the wanted counts, then away from servers with too much load.
//!
//! Invariant: the result never has more moves than the budget, and no shard moves twice.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;

use crate::targets::{exact_shares, target_counts};
use crate::Candidate;

mod counts;
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
    /// above it, moves go on until it is at half of it. Counts of servers of one side may differ from
    /// their shares by as much.
    pub imbalance_percent: u32,
    /// Whether shards also move away from servers with too much load. Moves towards counts heed loads
    /// either way.
    pub relieves_load: bool,
}

/// Shards beyond its share, rounded either way, that a side may always keep or lack.
const COUNT_SLACK: usize = 1;

/// State of a plan while it is made.
struct Plan<'a> {
    loads: &'a [f64],
    owners: Vec<Option<usize>>,
    moved: Vec<bool>,
    moves: Vec<Move>,
    budget: usize,
    /// Part of a server's share that it may be off by.
    allowed: f64,
    counts: Vec<usize>,
    targets: Vec<usize>,
    /// Counts within which a server is left alone.
    bounds: Vec<RangeInclusive<usize>>,
    /// Load of each server.
    present: Vec<f64>,
    /// Load each server should have; 0 with weight 0.
    wanted: Vec<f64>,
    sides: Sides,
}

/// Counts of sides, which are kept more closely than those of their servers.
struct Sides {
    /// Side of each server.
    of_server: Vec<usize>,
    counts: Vec<usize>,
    targets: Vec<usize>,
    bounds: Vec<RangeInclusive<usize>>,
}

/// Plans moves between servers that are both up, with each server's count kept to its weight.
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
    let each_its_own: Vec<usize> = (0..candidates.len()).collect();
    rebalance_sides(candidates, &each_its_own, owners, loads, policy)
}

/// Like [`rebalance`], but keeps only the counts of sides to their weights; servers of one side may
/// differ by the policy's percentage, and one with too much load may have fewer shards.
///
/// `sides[server]` is any number that stands for its side; servers past the end of `sides` are of side 0.
pub fn rebalance_sides(
    candidates: &[Candidate],
    sides: &[usize],
    owners: &[Option<usize>],
    loads: &[f64],
    policy: &RebalancePolicy,
) -> Vec<Move> {
    let mut plan = Plan::new(candidates, sides, owners, loads, policy);
    plan.move_towards_counts();
    if policy.relieves_load {
        load::move_away_from_load(&mut plan);
    }
    plan.moves
}

impl<'a> Plan<'a> {
    fn new(
        candidates: &[Candidate],
        sides: &[usize],
        owners: &[Option<usize>],
        loads: &'a [f64],
        policy: &RebalancePolicy,
    ) -> Self {
        let eligible = |&server: &usize| candidates.get(server).is_some_and(|one| one.eligible);
        let owners: Vec<Option<usize>> =
            owners.iter().map(|owner| owner.filter(eligible)).collect();
        let mut counts = vec![0; candidates.len()];
        let mut present = vec![0.0; candidates.len()];
        for (shard, owner) in owners.iter().enumerate() {
            if let Some(server) = owner {
                counts[*server] += 1;
                present[*server] += load_of(loads, shard);
            }
        }
        let owned = owners.iter().flatten().count();
        let shares = exact_shares(candidates, owned);
        let allowed = f64::from(policy.imbalance_percent) / 100.0;
        let load_of_shard = present.iter().sum::<f64>() / owned.max(1) as f64;
        let slack = |share: f64| COUNT_SLACK.max((share * allowed) as usize);
        Self {
            loads,
            moved: vec![false; owners.len()],
            owners,
            moves: Vec::new(),
            budget: policy.budget,
            allowed,
            targets: target_counts(candidates, &counts, owned),
            bounds: shares
                .iter()
                .map(|&share| bounds_of(share, slack(share)))
                .collect(),
            wanted: shares.iter().map(|share| share * load_of_shard).collect(),
            sides: Sides::new(candidates, sides, &counts, owned),
            counts,
            present,
        }
    }

    fn load_of(&self, shard: usize) -> f64 {
        load_of(self.loads, shard)
    }

    fn budget_left(&self) -> usize {
        self.budget - self.moves.len()
    }

    /// Load of a server relative to what it should have; 0 when it should have none.
    fn load_ratio(&self, server: usize) -> f64 {
        if self.wanted[server] > 0.0 {
            self.present[server] / self.wanted[server]
        } else {
            0.0
        }
    }

    fn move_shard(&mut self, shard: usize, from: usize, to: usize) {
        let load = self.load_of(shard);
        self.owners[shard] = Some(to);
        self.counts[from] -= 1;
        self.counts[to] += 1;
        self.present[from] -= load;
        self.present[to] += load;
        self.sides.counts[self.sides.of_server[from]] -= 1;
        self.sides.counts[self.sides.of_server[to]] += 1;
        self.moved[shard] = true;
        self.moves.push(Move { shard, from, to });
    }

    /// Shards of each server, the lightest first.
    fn held_by_load(&self) -> Vec<Vec<usize>> {
        let mut shards = vec![Vec::new(); self.counts.len()];
        for (shard, owner) in self.owners.iter().enumerate() {
            if let Some(server) = owner {
                shards[*server].push(shard);
            }
        }
        for held in &mut shards {
            held.sort_by(|&left, &right| self.load_of(left).total_cmp(&self.load_of(right)));
        }
        shards
    }
}

impl Sides {
    fn new(candidates: &[Candidate], sides: &[usize], counts: &[usize], owned: usize) -> Self {
        let named = |server| sides.get(server).copied().unwrap_or(0);
        let mut numbers = BTreeMap::new();
        let mut number_of = |server| {
            let next = numbers.len();
            *numbers.entry(named(server)).or_insert(next)
        };
        let of_server: Vec<usize> = (0..candidates.len()).map(&mut number_of).collect();
        let sides = numbers.len();
        let mut side_counts = vec![0; sides];
        let no_weight = Candidate {
            weight: 0.0,
            eligible: true,
        };
        let mut together = vec![no_weight; sides];
        for (server, &side) in of_server.iter().enumerate() {
            side_counts[side] += counts[server];
            together[side].weight += candidates[server].effective_weight();
        }
        let shares = exact_shares(&together, owned);
        Self {
            of_server,
            targets: target_counts(&together, &side_counts, owned),
            counts: side_counts,
            bounds: shares
                .into_iter()
                .map(|share| bounds_of(share, COUNT_SLACK))
                .collect(),
        }
    }
}

fn load_of(loads: &[f64], shard: usize) -> f64 {
    match loads.get(shard) {
        Some(&load) if load.is_finite() => load.max(0.0),
        _ => 0.0,
    }
}

/// Counts round a share within which nothing moves; none but 0 with a share of 0.
fn bounds_of(share: f64, slack: usize) -> RangeInclusive<usize> {
    if share <= 0.0 {
        return 0..=0;
    }
    let lowest = (share.floor() as usize).saturating_sub(slack);
    lowest..=(share.ceil() as usize).saturating_add(slack)
}
