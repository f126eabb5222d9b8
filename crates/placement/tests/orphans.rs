//! New owners for shards without one.

mod common;

use common::{any_fleet, can_own, candidates, counts, fixed_cases, round_robin};
use grebepin_placement::{assign_orphans, owners_after_loss, Candidate, LeastLoaded};
use proptest::prelude::*;

/// Reference implementation: each orphan goes to the server with the fewest shards for its weight, the
/// first one on ties.
fn reference(candidates: &[Candidate], owners: &[Option<usize>]) -> Vec<(usize, usize)> {
    let kept = |owner: &Option<usize>| {
        owner.filter(|&server| candidates.get(server).is_some_and(|one| one.eligible))
    };
    let kept: Vec<Option<usize>> = owners.iter().map(kept).collect();
    let mut counts = counts(candidates.len(), &kept);
    let mut placed = Vec::new();
    for shard in (0..owners.len()).filter(|&shard| kept[shard].is_none()) {
        let load = |server: &usize| (counts[*server] + 1) as f64 / candidates[*server].weight;
        let servers = (0..candidates.len()).filter(|&server| can_own(candidates, server));
        let Some(server) = servers.min_by(|left, right| load(left).total_cmp(&load(right))) else {
            return placed;
        };
        counts[server] += 1;
        placed.push((shard, server));
    }
    placed
}

proptest! {
    #![proptest_config(fixed_cases(512))]

    #[test]
    fn orphans_go_to_the_least_loaded((candidates, owners) in any_fleet()) {
        prop_assert_eq!(assign_orphans(&candidates, &owners), reference(&candidates, &owners));
    }
}

#[test]
fn a_loss_leaves_counts_even_and_moves_only_orphans() {
    for servers in [2, 6, 15, 20] {
        let owners = round_robin(servers, 1024);
        let candidates = candidates(&vec![1.0; servers]);
        let changes = owners_after_loss(&candidates, &owners, 1);
        let mut after = owners.clone();
        for (shard, server) in changes {
            assert_eq!(owners[shard], Some(1));
            after[shard] = Some(server);
        }
        let mut counts = counts(servers, &after);
        assert_eq!(counts.remove(1), 0);
        let (least, most) = (counts.iter().min(), counts.iter().max());
        assert!(most
            .zip(least)
            .is_some_and(|(most, least)| most - least <= 1));
    }
}

#[test]
fn losing_an_unknown_server_changes_nothing() {
    let owners = round_robin(3, 9);
    assert_eq!(
        owners_after_loss(&candidates(&[1.0; 3]), &owners, 7),
        vec![]
    );
}

#[test]
fn load_above_the_mean_counts_as_shards() {
    let cases: [(&[f64], [usize; 3]); 4] = [
        (&[], [37, 7, 6]),
        (&[0.0, 0.0, 0.0], [37, 7, 6]),
        // The first server has few shards, but a load of 105 shards of mean load.
        (&[50.0, 25.0, 25.0], [0, 25, 25]),
        (&[f64::NAN, -1.0, f64::INFINITY], [37, 7, 6]),
    ];
    for (loads, expected) in cases {
        let mut servers = LeastLoaded::with_loads(vec![1.0; 3], vec![50, 80, 80], loads);
        let mut taken = [0; 3];
        for _ in 0..50 {
            taken[servers.take().expect("a server")] += 1;
        }
        assert_eq!(taken, expected, "{loads:?}");
    }
}
