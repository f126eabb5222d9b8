//! The server with the least load for its weight, found in logarithmic time.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// A server and the load it would have for its weight after taking one more shard.
#[derive(Clone, Copy, Debug)]
struct Loaded {
    load_after: f64,
    server: usize,
}

impl Ord for Loaded {
    fn cmp(&self, other: &Self) -> Ordering {
        self.load_after
            .total_cmp(&other.load_after)
            .then(self.server.cmp(&other.server))
    }
}

impl PartialOrd for Loaded {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Loaded {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Loaded {}

/// Servers ordered by count of shards for their weight; ties go to the first.
#[derive(Clone, Debug)]
pub struct LeastLoaded {
    weights: Vec<f64>,
    counts: Vec<usize>,
    heap: BinaryHeap<Reverse<Loaded>>,
}

impl LeastLoaded {
    /// Starts from `counts[server]` shards on each server. Servers with weight 0 are never chosen.
    pub fn new(weights: Vec<f64>, counts: Vec<usize>) -> Self {
        let mut heap = BinaryHeap::with_capacity(weights.len());
        for (server, (&weight, &count)) in weights.iter().zip(&counts).enumerate() {
            if weight > 0.0 {
                heap.push(Reverse(loaded(server, weight, count)));
            }
        }
        Self {
            weights,
            counts,
            heap,
        }
    }

    /// Like [`Self::new`], but a server whose load is a larger part of all load than its count is of all
    /// shards counts as if it had that many; so a server that gave shards away since some are hot isn't
    /// given others in their place. Without any load the same as [`Self::new`].
    pub fn with_loads(weights: Vec<f64>, mut counts: Vec<usize>, loads: &[f64]) -> Self {
        let load = |server: usize| match loads.get(server) {
            Some(&load) if load.is_finite() && weights[server] > 0.0 => load.max(0.0),
            _ => 0.0,
        };
        let receiving = || (0..counts.len()).filter(|&server| weights[server] > 0.0);
        let total: f64 = receiving().map(load).sum();
        let shards: usize = receiving().map(|server| counts[server]).sum();
        if total > 0.0 {
            for (server, count) in counts.iter_mut().enumerate() {
                let by_load = (load(server) / total * shards as f64) as usize;
                *count = by_load.max(*count);
            }
        }
        Self::new(weights, counts)
    }

    /// Gives one shard to the least loaded server; `None` when there is no server.
    pub fn take(&mut self) -> Option<usize> {
        let mut top = self.heap.peek_mut()?;
        let server = top.0.server;
        self.counts[server] += 1;
        *top = Reverse(loaded(server, self.weights[server], self.counts[server]));
        Some(server)
    }
}

fn loaded(server: usize, weight: f64, count: usize) -> Loaded {
    Loaded {
        load_after: (count + 1) as f64 / weight,
        server,
    }
}
