//! The placement algorithms of the comparison.

mod common;

use common::{candidates, counts, round_robin};
use grebepin_placement::algorithms::{
    Algorithm, Greedy, Problem, Rendezvous, ThresholdRounds, TwoChoices,
};

const ALGORITHMS: [&dyn Algorithm; 4] = [&Greedy, &Rendezvous, &TwoChoices, &ThresholdRounds];

fn place(
    algorithm: &dyn Algorithm,
    weights: &[f64],
    owners: &[Option<usize>],
) -> Vec<Option<usize>> {
    place_all(algorithm, weights, owners, true)
}

fn place_all(
    algorithm: &dyn Algorithm,
    weights: &[f64],
    owners: &[Option<usize>],
    keep_owners: bool,
) -> Vec<Option<usize>> {
    let candidates = candidates(weights);
    let problem = Problem {
        candidates: &candidates,
        sides: &[0, 0, 1, 1],
        owners,
        loads: &[],
        keep_owners,
        imbalance_percent: 10,
    };
    algorithm.place(&problem, 5).owners_after(owners)
}

#[test]
fn each_places_every_shard_deterministically() {
    for algorithm in ALGORITHMS {
        let owners = vec![None; 1024];
        let placed = place(algorithm, &[1.0; 20], &owners);
        assert!(placed.iter().all(Option::is_some), "{}", algorithm.name());
        assert!(placed == place(algorithm, &[1.0; 20], &owners));
        assert!(placed == place(algorithm, &[1.0; 20], &placed));
    }
}

#[test]
fn each_moves_only_orphans_after_a_loss() {
    for algorithm in ALGORITHMS {
        let before = place(algorithm, &[1.0; 20], &vec![None; 1024]);
        let mut weights = [1.0; 20];
        weights[3] = 0.0;
        let orphaned: Vec<Option<usize>> = before
            .iter()
            .map(|owner| owner.filter(|&server| server != 3))
            .collect();
        let after = place(algorithm, &weights, &orphaned);
        let moved = before.iter().zip(&after).filter(|(old, new)| old != new);
        let orphans = orphaned.iter().filter(|owner| owner.is_none()).count();
        assert_eq!(moved.count(), orphans, "{}", algorithm.name());
        assert!(!after.contains(&Some(3)));
    }
}

#[test]
fn algorithms_that_keep_owners_follow_weights_exactly() {
    let owners = round_robin(4, 400);
    for algorithm in [&Greedy as &dyn Algorithm, &ThresholdRounds] {
        let after = place_all(algorithm, &[3.0, 3.0, 1.0, 1.0], &owners, false);
        assert_eq!(
            counts(4, &after),
            [150, 150, 50, 50],
            "{}",
            algorithm.name()
        );
    }
}

#[test]
fn without_servers_nothing_is_placed() {
    for algorithm in ALGORITHMS {
        for weights in [&[][..], &[0.0, 0.0]] {
            let placed = place(algorithm, weights, &[None; 8]);
            assert_eq!(placed, [None; 8], "{}", algorithm.name());
        }
    }
}
