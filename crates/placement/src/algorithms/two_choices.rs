//! Power of two choices: one shard after another asks two random servers and goes to the one that is
//! less full relative to its weight.

use super::surplus::release;
use super::{mix, Algorithm, Placement, Problem};

const CHOICES: u64 = 2;

/// Placement in which shards ask two servers each, in sequence.
#[derive(Clone, Copy, Debug, Default)]
pub struct TwoChoices;

impl Algorithm for TwoChoices {
    fn name(&self) -> &'static str {
        "two choices"
    }

    fn place(&self, problem: &Problem<'_>, seed: u64) -> Placement {
        let mut released = release(problem);
        let weights = problem.weights();
        let picker = WeightedPicker::new(&weights);
        let mut placement = Placement::default();
        for &shard in &released.shards {
            let size = problem.size(shard);
            let fullness = |server: &usize| (released.kept[*server] + size) / weights[*server];
            let choices = (0..CHOICES)
                .filter_map(|try_number| picker.pick(mix(seed ^ try_number, shard as u64 + 1, 0)));
            let best = choices.min_by(|left, right| fullness(left).total_cmp(&fullness(right)));
            let Some(server) = best else { break };
            released.kept[server] += size;
            placement.messages += CHOICES;
            placement.rounds += 1;
            placement.changes.push((shard, server));
        }
        placement
    }
}

/// Picks random servers with probabilities in proportion to their weights.
pub(super) struct WeightedPicker {
    cumulative: Vec<f64>,
}

impl WeightedPicker {
    pub(super) fn new(weights: &[f64]) -> Self {
        let mut sum = 0.0;
        let add = |weight: &f64| {
            sum += weight;
            sum
        };
        Self {
            cumulative: weights.iter().map(add).collect(),
        }
    }

    /// Server for a random number; `None` when all weights are 0.
    pub(super) fn pick(&self, bits: u64) -> Option<usize> {
        let sum = *self.cumulative.last()?;
        if sum <= 0.0 {
            return None;
        }
        let point = bits as f64 / u64::MAX as f64 * sum;
        let last = self.cumulative.partition_point(|&edge| edge < sum);
        let server = self.cumulative.partition_point(|&edge| edge <= point);
        Some(server.min(last))
    }
}
