//! Each safety rule is required: without it, an invariant is violated within a few seeds; with all of them,
//! none is.

mod support;

use std::time::Duration;

use grebepin_consensus::{Guard, Guards};
use grebepin_schema::ReplicaId;
use support::checks::Violation;
use support::cluster::Cluster;

/// Number of seeds within which a disabled rule must cause a violation.
const SEEDS: u64 = 10;
/// Number of seeds that must run without a violation while all rules are enabled.
const SEEDS_WITH_ALL_GUARDS: u64 = 60;

/// The leader is paused while the other replicas elect a new one.
fn frozen_leader(cluster: &mut Cluster, leader: u64) {
    cluster.pause(leader);
    cluster.run(Duration::from_secs(6));
    cluster.resume(leader);
    cluster.run(Duration::from_secs(1));
}

/// One replica is partitioned from the leader; all other links work.
fn follower_partitioned_from_leader(cluster: &mut Cluster, leader: u64) {
    let other = if leader == 1 { 2 } else { 1 };
    cluster.network.partition(&[leader], &[other]);
    cluster.run(Duration::from_secs(6));
}

/// The leader can reach only learners and continues to propose commands.
fn leader_reaches_only_learners(cluster: &mut Cluster, leader: u64) {
    let voters: Vec<u64> = (1..=3).filter(|id| *id != leader).collect();
    cluster.network.partition(&[leader], &voters);
    for _ in 0..10 {
        let _ = cluster.propose(leader, b"x");
        cluster.run(Duration::from_millis(50));
    }
}

/// The leader's clock runs at half speed, far beyond the drift bound, and the leader is partitioned.
fn slow_clock(cluster: &mut Cluster, leader: u64) {
    let at = cluster.at;
    let replica = cluster.replica_mut(ReplicaId(leader));
    replica.clock.change_rate(at, 0.5);
    let others: Vec<u64> = (1..=3).filter(|id| *id != leader).collect();
    cluster.network.partition(&[leader], &others);
    cluster.run(Duration::from_secs(6));
}

type Scenario = fn(&mut Cluster, u64);

fn violations(guards: Guards, scenario: Scenario, seeds: u64) -> Vec<Violation> {
    let runs = (0..seeds).flat_map(|seed| {
        let mut cluster = Cluster::new(seed, &[1, 2, 3], &[4, 5], guards);
        let leader = cluster.elect();
        cluster.run(Duration::from_secs(1));
        scenario(&mut cluster, leader);
        cluster.checks.violations
    });
    runs.collect()
}

#[test]
fn each_safety_rule_is_required() {
    type Expected = fn(&Violation) -> bool;
    let overlap: Expected = |violation| matches!(violation, Violation::LeaseOverlap { .. });
    let learners: Expected = |violation| matches!(violation, Violation::CommitWithoutQuorum { .. });
    let table: [(Guard, Scenario, Expected); 3] = [
        (Guard::LeaderLease, frozen_leader, overlap),
        (
            Guard::VotePromise,
            follower_partitioned_from_leader,
            overlap,
        ),
        (Guard::LearnerRule, leader_reaches_only_learners, learners),
    ];
    for (guard, scenario, expected) in table {
        let found = violations(Guards::without(guard), scenario, SEEDS);
        assert!(found.iter().any(expected), "without {guard:?}: {found:?}");
        let found = violations(Guards::all(), scenario, SEEDS_WITH_ALL_GUARDS);
        assert_eq!(found, [], "all rules enabled, scenario for {guard:?}");
    }
}

#[test]
fn the_invariant_checks_detect_a_clock_beyond_the_drift_bound() {
    let found = violations(Guards::all(), slow_clock, SEEDS);
    let overlaps = found
        .iter()
        .filter(|violation| matches!(violation, Violation::LeaseOverlap { .. }));
    assert!(overlaps.count() > 0, "{found:?}");
}
