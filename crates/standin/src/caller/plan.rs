//! Schedule of the requests of a run.
//!
//! Invariant: the plan is a function of the flags, including the seed.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::{Args, Arrivals, CallerError};

/// One planned request.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedRequest {
    /// Start time, relative to the start of the run.
    pub at: Duration,
    /// Index of its class in the flags.
    pub class: usize,
    /// Number of its key, from 0. With a skew, low numbers are the most frequent.
    pub key: usize,
    /// Sequence number of the request, from 0.
    pub number: u64,
}

/// Iterator over the requests of a run, in the order of their start times.
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
    /// Creates the plan that the flags describe.
    ///
    /// # Errors
    /// Fails if there is no class or no key, or if the rate is not above 0.
    pub fn new(arguments: &Args) -> Result<Self, CallerError> {
        let rate = arguments.rate;
        if !(rate.is_finite() && rate > 0.0) {
            return Err(CallerError::Rate);
        }
        if arguments.keys == 0 {
            return Err(CallerError::Keys);
        }
        let weights = arguments.classes.iter().map(|class| class.weight.max(0.0));
        let class_sums = cumulative_sums(weights);
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
            key_sums: cumulative_sums(weights),
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
    type Item = PlannedRequest;

    fn next(&mut self) -> Option<PlannedRequest> {
        let gap = self.gap();
        self.at += gap;
        if self.end.is_some_and(|end| self.at >= end) {
            return None;
        }
        let intended = PlannedRequest {
            at: self.at,
            class: draw(&mut self.random, &self.class_sums),
            key: draw(&mut self.random, &self.key_sums),
            number: self.number,
        };
        self.number += 1;
        Some(intended)
    }
}

fn cumulative_sums(weights: impl Iterator<Item = f64>) -> Vec<f64> {
    let sums = weights.scan(0.0, |sum, weight| {
        *sum += weight;
        Some(*sum)
    });
    sums.collect()
}

/// Draws an index in proportion to the weights whose cumulative sums are `sums`, which must not be
/// empty.
fn draw(random: &mut SmallRng, sums: &[f64]) -> usize {
    let last = sums.len() - 1;
    let point = random.random::<f64>() * sums[last];
    sums.partition_point(|sum| *sum <= point).min(last)
}
