//! When which request starts: decided by the seed alone.
//!
//! Invariant: the same flags give the same plan.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::{Args, Arrivals, CallerError};

/// One request of the plan.
#[derive(Clone, Debug, PartialEq)]
pub struct Intended {
    /// When it should start, from the start of the run.
    pub at: Duration,
    /// Position of its class in the flags.
    pub class: usize,
    /// Number of its key, from 0; with a skew low numbers are asked most.
    pub key: usize,
    /// Number of the request, from 0.
    pub number: u64,
}

/// The requests of a run, in order.
#[derive(Debug)]
pub struct Plan {
    random: SmallRng,
    rate: f64,
    arrivals: Arrivals,
    end: Option<Duration>,
    class_sums: Vec<f64>,
    key_sums: Vec<f64>,
    at: Duration,
    number: u64,
}

impl Plan {
    /// The plan of the flags.
    ///
    /// # Errors
    /// No class, no key or no rate.
    pub fn new(arguments: &Args) -> Result<Self, CallerError> {
        let rate = arguments.rate;
        if !(rate.is_finite() && rate > 0.0) {
            return Err(CallerError::Rate);
        }
        if arguments.keys == 0 {
            return Err(CallerError::Keys);
        }
        let weights = arguments.classes.iter().map(|class| class.weight.max(0.0));
        let class_sums = running_sums(weights);
        if class_sums.last().copied().unwrap_or(0.0) <= 0.0 {
            return Err(CallerError::NoClass);
        }
        let skew = arguments.skew;
        let weights = (1..=arguments.keys).map(|rank| (rank as f64).powf(-skew));
        let seconds = Duration::try_from_secs_f64(arguments.seconds).unwrap_or_default();
        Ok(Self {
            random: SmallRng::seed_from_u64(arguments.seed),
            rate,
            arrivals: arguments.arrivals,
            end: (!seconds.is_zero()).then_some(seconds),
            class_sums,
            key_sums: running_sums(weights),
            at: Duration::ZERO,
            number: 0,
        })
    }

    fn gap(&mut self) -> Duration {
        let mean = 1.0 / self.rate;
        let seconds = match self.arrivals {
            Arrivals::Uniform => mean,
            Arrivals::Poisson => mean * -(1.0 - self.random.random::<f64>()).ln(),
        };
        Duration::from_secs_f64(seconds)
    }
}

impl Iterator for Plan {
    type Item = Intended;

    fn next(&mut self) -> Option<Intended> {
        let gap = self.gap();
        self.at += gap;
        if self.end.is_some_and(|end| self.at >= end) {
            return None;
        }
        let intended = Intended {
            at: self.at,
            class: draw(&mut self.random, &self.class_sums),
            key: draw(&mut self.random, &self.key_sums),
            number: self.number,
        };
        self.number += 1;
        Some(intended)
    }
}

fn running_sums(weights: impl Iterator<Item = f64>) -> Vec<f64> {
    let sums = weights.scan(0.0, |sum, weight| {
        *sum += weight;
        Some(*sum)
    });
    sums.collect()
}

/// Position drawn in proportion to the weights behind `sums`, which isn't empty.
fn draw(random: &mut SmallRng, sums: &[f64]) -> usize {
    let last = sums.len() - 1;
    let point = random.random::<f64>() * sums[last];
    sums.partition_point(|sum| *sum <= point).min(last)
}
