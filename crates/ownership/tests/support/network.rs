//! A network that delays, loses and repeats requests to servers, from a seed.

use std::time::Duration;

use super::ms;

/// What may happen to one request.
#[derive(Clone, Debug)]
pub struct Network {
    seed: u64,
    /// Longest usual one-way delay.
    pub delay: Duration,
    /// Of 1000 requests, how many are lost.
    pub lost: u64,
    /// Of 1000 requests, how many arrive up to three seconds late.
    pub stuck: u64,
    /// Of 1000 requests, how many arrive a second time, later.
    pub repeated: u64,
}

impl Network {
    /// A network that does no harm.
    pub fn calm() -> Self {
        Self {
            seed: 1,
            delay: ms(2),
            lost: 0,
            stuck: 0,
            repeated: 0,
        }
    }

    /// A network that does all of it.
    pub fn hostile(seed: u64) -> Self {
        Self {
            seed: seed | 1,
            delay: ms(30),
            lost: 50,
            stuck: 50,
            repeated: 50,
        }
    }

    /// Times from now at which copies of a request arrive; none when it is lost.
    pub fn arrivals(&mut self) -> Vec<Duration> {
        let mut arrivals = Vec::new();
        if self.chance(self.stuck) {
            arrivals.push(ms(self.below(3_000)));
        } else if !self.chance(self.lost) {
            arrivals.push(self.one_way());
        }
        if self.chance(self.repeated) {
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

    /// A number below `limit`, which is above 0; xorshift.
    pub fn below(&mut self, limit: u64) -> u64 {
        self.seed ^= self.seed << 13;
        self.seed ^= self.seed >> 7;
        self.seed ^= self.seed << 17;
        self.seed % limit
    }
}
