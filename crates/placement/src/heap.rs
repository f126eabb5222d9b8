//! Selection of the server with the least load relative to its weight, in logarithmic time.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// A server, and its shards per weight after receiving one more.
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

/// Servers ordered by their number of shards relative to their weights; ties go to the first server.
#[derive(Clone, Debug)]
pub struct LeastLoaded {
    weights: Vec<f64>,
    counts: Vec<usize>,
    heap: BinaryHeap<Reverse<Loaded>>,
}

impl LeastLoaded {
    /// Starts with `counts[server]` shards on each server. Servers with weight 0 are never chosen.
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

    /// Like [`Self::new`], but a server whose part of all load is larger than its part of all shards
    /// counts with the corresponding number of shards. Otherwise a server from which shards moved away
    /// because of a hot one would be assigned others in their place. Without any load the result is the
    /// same as with [`Self::new`].
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

    /// Assigns one shard to the least loaded server; `None` when no server has a weight above 0.
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
