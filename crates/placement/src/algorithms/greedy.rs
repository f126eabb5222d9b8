//! The algorithms in use: each orphan goes to the least loaded server, then shards move as planned.

use super::{Algorithm, Placement, Problem};
use crate::{assign_orphans, rebalance_sides, RebalancePolicy};

/// Central placement by one leader that knows all counts.
#[derive(Clone, Copy, Debug, Default)]
pub struct Greedy;

impl Algorithm for Greedy {
    fn name(&self) -> &'static str {
        "greedy"
    }

    fn place(&self, problem: &Problem<'_>, _seed: u64) -> Placement {
        let mut placement = Placement {
            changes: assign_orphans(problem.candidates, problem.owners),
            ..Placement::default()
        };
        if problem.keep_owners {
            return placement;
        }
        let owners = placement.owners_after(problem.owners);
        let policy = RebalancePolicy {
            budget: usize::MAX,
            imbalance_percent: problem.imbalance_percent,
            relieves_load: true,
        };
        let moves = rebalance_sides(
            problem.candidates,
            problem.sides,
            &owners,
            problem.loads,
            &policy,
        );
        let changes = moves.iter().map(|planned| (planned.shard, planned.to));
        placement.changes.extend(changes);
        placement
    }
}
