//! Planned moves: first towards the target counts, then away from overloaded servers.
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
    /// Shard that moves.
    pub shard: usize,
    /// Index of its current owner.
    pub from: usize,
    /// Index of its next owner.
    pub to: usize,
}

/// Bounds on planned moves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RebalancePolicy {
    /// Largest number of moves to start now.
    pub budget: usize,
    /// Excess of a server's load over its share, in percent, below which no shard moves for load. Once a
    /// server exceeds it, shards move until the excess is half of that. The counts of servers within one
    /// side may differ from their shares by the same percentage.
    pub imbalance_percent: u32,
    /// Whether shards also move away from overloaded servers. Moves towards target counts take loads
    /// into account in any case.
    pub relieves_load: bool,
}

/// Shards by which the count of a side may always differ from its share, rounded up or down.
const COUNT_SLACK: usize = 1;

/// A plan under construction.
struct Plan<'a> {
    loads: &'a [f64],
    owners: Vec<Option<usize>>,
    moved: Vec<bool>,
    moves: Vec<Move>,
    budget: usize,
    /// Fraction by which a server may differ from its share.
    tolerance: f64,
    counts: Vec<usize>,
    targets: Vec<usize>,
    /// Range of counts within which a server's count causes no moves.
    bounds: Vec<RangeInclusive<usize>>,
    /// Load of each server with the moves planned so far.
    current_loads: Vec<f64>,
    /// Load that each server should have; 0 with weight 0.
    target_loads: Vec<f64>,
    sides: Sides,
}

/// Counts of sides, which are kept closer to their targets than those of single servers.
struct Sides {
    /// Index of each server's side.
    of_server: Vec<usize>,
    counts: Vec<usize>,
    targets: Vec<usize>,
    bounds: Vec<RangeInclusive<usize>>,
}

/// Plans moves between available servers so that each server's count follows its weight.
///
/// `owners[shard]` is an index into `candidates`; `loads[shard]` is that shard's load in any unit, and
/// missing loads count as 0. Shards without an eligible owner are left to [`crate::assign_orphans`]. All
/// shards of an eligible server with weight 0 move to other servers.
pub fn rebalance(
    candidates: &[Candidate],
    owners: &[Option<usize>],
    loads: &[f64],
    policy: &RebalancePolicy,
) -> Vec<Move> {
    let separate_sides: Vec<usize> = (0..candidates.len()).collect();
    rebalance_sides(candidates, &separate_sides, owners, loads, policy)
}

/// Like [`rebalance`], but only the counts of sides follow their weights. Servers within a side may
/// differ by the policy's percentage, and an overloaded one may have fewer shards.
///
/// `sides[server]` is any number that identifies its side; servers past the end of `sides` belong to
/// side 0.
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
        let mut current_loads = vec![0.0; candidates.len()];
        for (shard, owner) in owners.iter().enumerate() {
            if let Some(server) = owner {
                counts[*server] += 1;
                current_loads[*server] += load_of(loads, shard);
            }
        }
        let owned = owners.iter().flatten().count();
        let shares = exact_shares(candidates, owned);
        let tolerance = f64::from(policy.imbalance_percent) / 100.0;
        let load_of_shard = current_loads.iter().sum::<f64>() / owned.max(1) as f64;
        let slack = |share: f64| COUNT_SLACK.max((share * tolerance) as usize);
        Self {
            loads,
            moved: vec![false; owners.len()],
            owners,
            moves: Vec::new(),
            budget: policy.budget,
            tolerance,
            targets: target_counts(candidates, &counts, owned),
            bounds: shares
                .iter()
                .map(|&share| bounds_of(share, slack(share)))
                .collect(),
            target_loads: shares.iter().map(|share| share * load_of_shard).collect(),
            sides: Sides::new(candidates, sides, &counts, owned),
            counts,
            current_loads,
        }
    }

    fn load_of(&self, shard: usize) -> f64 {
        load_of(self.loads, shard)
    }

    fn budget_left(&self) -> usize {
        self.budget - self.moves.len()
    }

    /// Load of a server relative to its target; 0 when the target is 0.
    fn load_ratio(&self, server: usize) -> f64 {
        if self.target_loads[server] > 0.0 {
            self.current_loads[server] / self.target_loads[server]
        } else {
            0.0
        }
    }

    fn move_shard(&mut self, shard: usize, from: usize, to: usize) {
        let load = self.load_of(shard);
        self.owners[shard] = Some(to);
        self.counts[from] -= 1;
        self.counts[to] += 1;
        self.current_loads[from] -= load;
        self.current_loads[to] += load;
        self.sides.counts[self.sides.of_server[from]] -= 1;
        self.sides.counts[self.sides.of_server[to]] += 1;
        self.moved[shard] = true;
        self.moves.push(Move { shard, from, to });
    }

    /// Shards of each server in ascending order of load.
    fn shards_by_load(&self) -> Vec<Vec<usize>> {
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

/// Range of counts around a share within which nothing moves; only 0 for a share of 0.
fn bounds_of(share: f64, slack: usize) -> RangeInclusive<usize> {
    if share <= 0.0 {
        return 0..=0;
    }
    let lowest = (share.floor() as usize).saturating_sub(slack);
    lowest..=(share.ceil() as usize).saturating_add(slack)
}
