//! Random streams of a run.
//!
//! Invariant: each use has a stream of its own, so that more draws in one leave the others as they were.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// What a stream is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stream {
    /// When and where faults strike.
    Faults,
    /// Delays and losses of messages.
    Network,
    /// Rates of the processes' clocks.
    Clocks,
    /// Seeds handed to processes at each start.
    Starts,
    /// Callers' requests.
    Callers,
    /// Service times of servers.
    Servers,
    /// Operators and the platform.
    Operators,
}

/// Random numbers of one use.
#[derive(Clone, Debug)]
pub struct Random(SmallRng);

impl Random {
    /// The stream of a run's seed for one use.
    pub fn new(seed: u64, stream: Stream) -> Self {
        let mixed = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ ((stream as u64 + 1) << 56);
        Self(SmallRng::seed_from_u64(mixed))
    }

    /// A number in `low..=high`.
    pub fn between(&mut self, low: u64, high: u64) -> u64 {
        self.0.random_range(low..=high.max(low))
    }

    /// A position in a list of `length` entries, which is at least 1.
    pub fn pick(&mut self, length: usize) -> usize {
        self.0.random_range(0..length.max(1))
    }

    /// True in `percent` of a hundred draws.
    pub fn chance(&mut self, percent: u64) -> bool {
        self.0.random_range(0..100) < percent
    }

    /// Any number.
    pub fn number(&mut self) -> u64 {
        self.0.random()
    }

    /// A number in `low..=high`, drawn even where nothing is to choose.
    pub fn range(&mut self, range: [u64; 2]) -> u64 {
        self.between(range[0], range[1])
    }
}
