//! Fleet sizes, and loads of shards drawn from a seed.

use grebepin_placement::Candidate;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Size of a fleet.
pub struct Size {
    pub name: &'static str,
    pub servers: usize,
    pub shards: usize,
    pub zones: usize,
    /// Limit on the number of seeds for rendezvous hashing.
    pub rendezvous_seeds: u64,
}

pub const SIZES: [Size; 4] = [
    Size {
        name: "least",
        servers: 6,
        shards: 1024,
        zones: 3,
        rendezvous_seeds: u64::MAX,
    },
    Size {
        name: "small",
        servers: 20,
        shards: 1024,
        zones: 3,
        rendezvous_seeds: u64::MAX,
    },
    Size {
        name: "middle",
        servers: 1_000,
        shards: 100_000,
        zones: 10,
        rendezvous_seeds: u64::MAX,
    },
    Size {
        name: "large",
        servers: 15_000,
        shards: 1_400_000,
        zones: 10,
        rendezvous_seeds: 1,
    },
];

pub fn equal_servers(count: usize) -> Vec<Candidate> {
    let server = Candidate {
        weight: 1.0,
        eligible: true,
    };
    vec![server; count]
}

/// Loads between 0.5 and 1.5, and one shard with `hot_load`.
pub fn loads(size: &Size, seed: u64, hot_load: f64) -> Vec<f64> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut loads: Vec<f64> = (0..size.shards)
        .map(|_| random.random_range(0.5..1.5))
        .collect();
    loads[random.random_range(0..size.shards)] = hot_load;
    loads
}
