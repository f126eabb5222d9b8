//! Random number streams of a run.
//!
//! Invariant: each purpose has a separate stream, so that additional draws in one do not change the others.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Purpose of a stream. The position of a variant is part of the seed of its stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stream {
    /// Times and targets of faults.
    Faults,
    /// Delays and losses of messages.
    Network,
    /// Rates of the processes' local clocks.
    Clocks,
    /// Seeds passed to processes at each start.
    Starts,
    /// Callers' requests.
    Callers,
    /// Service times of servers.
    Servers,
    /// Operators and the platform.
    Operators,
}

/// Random number generator of one stream.
#[derive(Clone, Debug)]
pub struct Random(SmallRng);

impl Random {
    /// The generator of one stream, seeded from the run's seed.
    pub fn new(seed: u64, stream: Stream) -> Self {
        let mixed = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ ((stream as u64 + 1) << 56);
        Self(SmallRng::seed_from_u64(mixed))
    }

    /// A number in `low..=high`.
    pub fn between(&mut self, low: u64, high: u64) -> u64 {
        self.0.random_range(low..=high.max(low))
    }

    /// An index into a list of `length` entries; 0 for an empty list.
    pub fn pick(&mut self, length: usize) -> usize {
        self.0.random_range(0..length.max(1))
    }

    /// True with a probability of `percent` in a hundred.
    pub fn chance(&mut self, percent: u64) -> bool {
        self.0.random_range(0..100) < percent
    }

    /// A number from the whole range of `u64`.
    pub fn number(&mut self) -> u64 {
        self.0.random()
    }

    /// A number in `range[0]..=range[1]`, both ends included.
    pub fn range(&mut self, range: [u64; 2]) -> u64 {
        self.between(range[0], range[1])
    }
}
