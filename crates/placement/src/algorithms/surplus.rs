//! Selection of the shards that servers release, shared by the algorithms that keep owners.

use super::Problem;
use crate::target_counts;

/// Shards to place, and the total size that each server keeps.
pub(super) struct Released {
    pub shards: Vec<usize>,
    pub kept: Vec<f64>,
}

/// Shards without an eligible owner, and those released by servers above their targets.
pub(super) fn release(problem: &Problem<'_>) -> Released {
    let mut held = vec![Vec::new(); problem.candidates.len()];
    let mut shards = Vec::new();
    for shard in 0..problem.owners.len() {
        match problem.eligible_owner(shard) {
            Some(server) => held[server].push(shard),
            None => shards.push(shard),
        }
    }
    if problem.keep_owners {
        // Only orphans are placed.
    } else if problem.loads.is_empty() {
        release_counts(problem, &mut held, &mut shards);
    } else {
        release_loads(problem, &mut held, &mut shards);
    }
    let size = |held: &Vec<usize>| held.iter().map(|&shard| problem.size(shard)).sum();
    Released {
        shards,
        kept: held.iter().map(size).collect(),
    }
}

fn release_counts(problem: &Problem<'_>, held: &mut [Vec<usize>], released: &mut Vec<usize>) {
    let counts: Vec<usize> = held.iter().map(Vec::len).collect();
    let targets = target_counts(problem.candidates, &counts, problem.owners.len());
    for (held, target) in held.iter_mut().zip(targets) {
        if held.len() > target {
            released.extend(held.drain(target..));
        }
    }
}

/// Releases shards of servers above the tolerated load: the heaviest ones that fit the excess, down to
/// half of the tolerated imbalance.
fn release_loads(problem: &Problem<'_>, held: &mut [Vec<usize>], released: &mut Vec<usize>) {
    let tolerated = f64::from(problem.imbalance_percent) / 100.0;
    for (held, share) in held.iter_mut().zip(problem.shares()) {
        held.sort_by(|&left, &right| problem.size(right).total_cmp(&problem.size(left)));
        let size: f64 = held.iter().map(|&shard| problem.size(shard)).sum();
        if size <= share * (1.0 + tolerated) {
            continue;
        }
        let mut excess = size - share * (1.0 + tolerated / 2.0);
        held.retain(|&shard| {
            let stays = problem.size(shard) > excess;
            if !stays {
                excess -= problem.size(shard);
                released.push(shard);
            }
            stays
        });
    }
}
