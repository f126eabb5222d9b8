//! A simulated network that delays, drops and duplicates requests to servers, determined by a seed.

use std::time::Duration;

use super::ms;

/// Probabilities of faults for each request.
#[derive(Clone, Debug)]
pub struct Network {
    seed: u64,
    /// Longest one-way delay without a fault.
    pub delay: Duration,
    /// Number of requests in 1000 that are lost.
    pub lost: u64,
    /// Number of requests in 1000 that arrive up to three seconds late.
    pub late: u64,
    /// Number of requests in 1000 that arrive a second time, up to four seconds late.
    pub duplicated: u64,
}

impl Network {
    /// A network without faults.
    pub fn reliable() -> Self {
        Self {
            seed: 1,
            delay: ms(2),
            lost: 0,
            late: 0,
            duplicated: 0,
        }
    }

    /// A network with all kinds of faults.
    pub fn faulty(seed: u64) -> Self {
        Self {
            seed: seed | 1,
            delay: ms(30),
            lost: 50,
            late: 50,
            duplicated: 50,
        }
    }

    /// Delays after which copies of a request arrive; empty if it is lost.
    pub fn arrivals(&mut self) -> Vec<Duration> {
        let mut arrivals = Vec::new();
        if self.chance(self.late) {
            arrivals.push(ms(self.below(3_000)));
        } else if !self.chance(self.lost) {
            arrivals.push(self.one_way());
        }
        if self.chance(self.duplicated) {
            arrivals.push(ms(self.below(4_000)));
        }
        arrivals
    }

    pub fn one_way(&mut self) -> Duration {
        Duration::from_micros(100 + self.below(self.delay.as_micros() as u64))
    }

    pub fn chance(&mut self, of_1000: u64) -> bool {
        self.below(1_000) < of_1000
    }

    /// A random number below `limit`, which is above 0, from a xorshift generator.
    pub fn below(&mut self, limit: u64) -> u64 {
        self.seed ^= self.seed << 13;
        self.seed ^= self.seed >> 7;
        self.seed ^= self.seed << 17;
        self.seed % limit
    }
}
