//! Moves towards the target counts.
//!
//! Invariant: nothing moves while every server and every side is within its bounds. Otherwise a server
//! within its bounds changes only as far as the count of its side requires.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use super::Plan;

impl Plan<'_> {
    /// Moves shards from the server with the largest surplus to the one with the largest shortage,
    /// lightest shards first.
    pub(super) fn move_towards_counts(&mut self) {
        let servers = 0..self.counts.len();
        let sides = &self.sides;
        let side_within_bounds = |side: usize| sides.bounds[side].contains(&sides.counts[side]);
        let within_bounds = (0..sides.counts.len()).all(side_within_bounds);
        if within_bounds
            && servers
                .clone()
                .all(|server| self.count_is_acceptable(server))
        {
            return;
        }
        let planned = self.planned_counts();
        let surplus = |server: usize| self.counts[server].saturating_sub(planned[server]);
        let shortage = |server: usize| planned[server].saturating_sub(self.counts[server]);
        let mut sources = MoveQueue::new(servers.clone().map(surplus));
        let mut destinations = MoveQueue::new(servers.map(shortage));
        let held = self.shards_by_load().into_iter();
        let mut held: Vec<_> = held.map(Vec::into_iter).collect();
        while self.budget_left() > 0 {
            let (Some(from), Some(to)) = (sources.take(), destinations.take()) else {
                return;
            };
            let Some(shard) = held[from].next() else {
                return;
            };
            self.move_shard(shard, from, to);
        }
    }

    /// Whether the server's count causes no moves: it is within bounds, or it is low while the load of
    /// its shards is high enough.
    fn count_is_acceptable(&self, server: usize) -> bool {
        let bounds = &self.bounds[server];
        let count = self.counts[server];
        bounds.contains(&count) || (count < *bounds.start() && !self.has_load_headroom(server))
    }

    /// Whether the server's load is far enough below its target for more shards.
    fn has_load_headroom(&self, server: usize) -> bool {
        self.load_ratio(server) < 1.0 - self.tolerance
    }

    /// Counts that keep every server whose count is acceptable and bring each side to its target.
    fn planned_counts(&self) -> Vec<usize> {
        let servers = 0..self.counts.len();
        let start = |server: usize| {
            if self.count_is_acceptable(server) {
                self.counts[server]
            } else if self.counts[server] < self.targets[server] {
                self.targets[server].min(self.counts[server] + self.shards_that_fit(server))
            } else {
                self.targets[server]
            }
        };
        let mut planned: Vec<usize> = servers.map(start).collect();
        for side in 0..self.sides.counts.len() {
            self.adjust_side_to_target(side, &mut planned);
        }
        planned
    }

    /// Difference between a count and the server's target. A load above that of the server's shards at mean
    /// load is added to the count, in shards of mean load.
    fn above_target(&self, server: usize, count: usize) -> i64 {
        let by_load = match self.mean_shard_load() {
            load if load > 0.0 => (self.current_loads[server] / load) as usize,
            _ => 0,
        };
        let heavier = by_load.saturating_sub(self.counts[server]);
        (count + heavier) as i64 - self.targets[server] as i64
    }

    /// Mean load of a shard.
    fn mean_shard_load(&self) -> f64 {
        let owned: usize = self.counts.iter().sum();
        self.current_loads.iter().sum::<f64>() / owned.max(1) as f64
    }

    /// Number of shards of mean load that fit below the server's target load.
    fn shards_that_fit(&self, server: usize) -> usize {
        let mean = self.mean_shard_load();
        if mean <= 0.0 {
            return usize::MAX / 2;
        }
        ((self.target_loads[server] - self.current_loads[server]).max(0.0) / mean) as usize
    }

    /// Removes shards from the servers furthest above their targets, or adds them to those furthest
    /// below.
    fn adjust_side_to_target(&self, side: usize, planned: &mut [usize]) {
        let of_side = |server: &usize| self.sides.of_server[*server] == side;
        let servers: Vec<usize> = (0..planned.len()).filter(of_side).collect();
        let sum: usize = servers.iter().map(|&server| planned[server]).sum();
        let target = self.sides.targets[side];
        let removes = sum > target;
        let urgency = |server: usize| {
            let above = self.above_target(server, planned[server]);
            if removes {
                above
            } else {
                -above
            }
        };
        let can_change = |server: &usize| removes || self.targets[*server] > 0;
        let changing = servers.into_iter().filter(can_change);
        let queue = changing.map(|server| (urgency(server), Reverse(server)));
        let mut queue: BinaryHeap<_> = queue.collect();
        let mut missing = sum.abs_diff(target);
        while missing > 0 {
            let Some((urgency, Reverse(server))) = queue.pop() else {
                return;
            };
            if removes && planned[server] == 0 {
                continue;
            }
            planned[server] = if removes {
                planned[server] - 1
            } else {
                planned[server] + 1
            };
            missing -= 1;
            queue.push((urgency - 1, Reverse(server)));
        }
    }
}

/// Servers by the number of shards that they still have to lose or receive, largest first; ties go to
/// the first server.
struct MoveQueue(BinaryHeap<(usize, Reverse<usize>)>);

impl MoveQueue {
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
