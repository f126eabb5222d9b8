//! Threshold protocol in rounds: each shard without an owner asks one random server. A server accepts
//! what fits below its threshold and rejects the rest, which ask again in the next round.
//!
//! Based on the parallel threshold protocol of Adler, Chakrabarti, Mitzenmacher and Rasmussen, "Parallel
//! randomized load balancing" (STOC 1995), with the server's share as the threshold.

use super::surplus::release;
use super::two_choices::WeightedPicker;
use super::{mix, Algorithm, Placement, Problem};

/// Rounds after which the threshold is raised by one shard per round.
const ROUNDS_BEFORE_RISE: u32 = 16;
/// Limit on the rounds; shards left over remain without an owner.
const MAX_ROUNDS: u32 = 10_000;

/// Placement in which all shards ask servers in parallel rounds.
#[derive(Clone, Copy, Debug, Default)]
pub struct ThresholdRounds;

impl Algorithm for ThresholdRounds {
    fn name(&self) -> &'static str {
        "threshold rounds"
    }

    fn place(&self, problem: &Problem<'_>, seed: u64) -> Placement {
        let released = release(problem);
        let mut kept = released.kept;
        let mut waiting = released.shards;
        let picker = WeightedPicker::new(&problem.weights());
        let thresholds = thresholds(problem);
        let mean_size = problem.total_size() / problem.owners.len().max(1) as f64;
        let mut placement = Placement::default();
        while !waiting.is_empty() && placement.rounds < MAX_ROUNDS {
            let rises = placement.rounds.saturating_sub(ROUNDS_BEFORE_RISE);
            let rise = f64::from(rises) * mean_size;
            let mut refused = Vec::new();
            for shard in waiting {
                let bits = mix(seed, shard as u64 + 1, u64::from(placement.rounds) + 1);
                let Some(server) = picker.pick(bits) else {
                    return placement;
                };
                placement.messages += 1;
                let size = problem.size(shard);
                if kept[server] + size <= thresholds[server] + rise {
                    kept[server] += size;
                    placement.changes.push((shard, server));
                } else {
                    refused.push(shard);
                }
            }
            waiting = refused;
            placement.rounds += 1;
        }
        placement
    }
}

/// Size that each server accepts in the first rounds.
fn thresholds(problem: &Problem<'_>) -> Vec<f64> {
    let allowed = 1.0 + f64::from(problem.imbalance_percent) / 100.0;
    let threshold = |share: f64| {
        if problem.loads.is_empty() {
            share.ceil()
        } else {
            share * allowed
        }
    };
    problem.shares().into_iter().map(threshold).collect()
}
