//! Elections, check-quorum, leases and linearizable reads under faults.

mod support;

use std::time::Duration;

use grebepin_consensus::{Guards, ProposeError, Role};
use grebepin_schema::ReplicaId;
use support::cluster::Cluster;
use support::members::{DRIFT_PERCENT, ELECTION_TIMEOUT};

const MAX_WAIT: Duration = Duration::from_secs(20);

fn elected(seed: u64, voters: &[u64]) -> (Cluster, u64) {
    let mut cluster = Cluster::new(seed, voters, &[], Guards::all());
    let leader = cluster.elect();
    cluster.run(Duration::from_secs(1));
    (cluster, leader)
}

fn others(cluster: &Cluster, leader: u64) -> Vec<u64> {
    let ids = cluster.replicas.keys().map(|id| id.0);
    ids.filter(|id| *id != leader).collect()
}

#[test]
fn no_replica_votes_or_leads_within_an_election_timeout_of_its_start() {
    for seed in 0..20 {
        let mut cluster = Cluster::new(seed, &[1, 2, 3], &[], Guards::all());
        let slowest = ELECTION_TIMEOUT * (100 - DRIFT_PERCENT) / 100;
        cluster.run(slowest);
        assert_eq!(cluster.leader(), None, "seed {seed}");
        assert!(cluster
            .replicas
            .values()
            .all(|replica| replica.disk.hard_state().vote.is_none()));
    }
}

#[test]
fn a_replica_that_was_partitioned_does_not_disrupt_the_leader() {
    for one_way in [false, true] {
        let (mut cluster, leader) = elected(5, &[1, 2, 3, 4, 5]);
        let term = cluster.core(leader).term();
        let isolated = others(&cluster, leader)[0];
        let rest: Vec<u64> = others(&cluster, isolated);
        if one_way {
            let rest = rest.iter().map(|id| (ReplicaId(*id), ReplicaId(isolated)));
            cluster.network.blocked.extend(rest);
        } else {
            cluster.network.partition(&[isolated], &rest);
        }
        cluster.run(MAX_WAIT);
        assert_ne!(cluster.core(isolated).role(), Role::Follower);
        cluster.network.heal();
        cluster.run(MAX_WAIT);
        assert_eq!(cluster.leader(), Some(leader), "one way: {one_way}");
        assert_eq!(cluster.core(leader).term(), term);
        assert_eq!(cluster.core(isolated).leader(), Some(ReplicaId(leader)));
    }
}

#[test]
fn a_leader_without_a_majority_steps_down_and_reports_it() {
    let (mut cluster, leader) = elected(6, &[1, 2, 3]);
    let rest = others(&cluster, leader);
    cluster.network.partition(&[leader], &rest);
    let until = cluster.core(leader).leader_lease_until().unwrap();
    cluster.run(ELECTION_TIMEOUT * 11 / 10);
    assert_ne!(cluster.core(leader).role(), Role::Leader);
    assert!(cluster.replica(leader).clock.read(cluster.at) > until);
    assert!(cluster.lost_leadership.contains(&ReplicaId(leader)));
    let refused = cluster.propose(leader, b"x");
    assert_eq!(refused, Err(ProposeError::NotLeader { leader: None }));
    assert!(cluster.run_until(MAX_WAIT, |cluster| cluster.leader().is_some()));
    assert_eq!(cluster.violations(), []);
}

#[test]
fn a_crashed_leader_is_replaced_in_groups_of_any_size() {
    for voters in [&[1, 2, 3][..], &[1, 2, 3, 4, 5], &[1, 2, 3, 4, 5, 6, 7]] {
        for seed in 0..10 {
            let (mut cluster, leader) = elected(seed, voters);
            cluster.crash(leader);
            let next = cluster.elect();
            assert_ne!(next, leader);
            cluster.restart(leader);
            let last = cluster.propose(next, b"after").unwrap();
            assert!(cluster.settle(last, MAX_WAIT));
            assert_eq!(cluster.violations(), []);
        }
    }
}

#[test]
fn reads_are_answered_only_by_a_leader_that_a_majority_confirms() {
    let (mut cluster, leader) = elected(8, &[1, 2, 3]);
    let rest = others(&cluster, leader);
    let refused = cluster.request_read(rest[0]);
    let known = Some(ReplicaId(leader));
    assert_eq!(refused, Err(ProposeError::NotLeader { leader: known }));
    cluster.request_read(leader).unwrap();
    cluster.run(Duration::from_millis(50));
    assert_eq!(cluster.reads_answered, 1);

    cluster.network.partition(&[leader], &rest);
    cluster.request_read(leader).unwrap();
    assert!(cluster.run_until(MAX_WAIT, |cluster| cluster
        .leader()
        .is_some_and(|id| id != leader)));
    let next = cluster.elect();
    cluster.propose(next, b"newer").unwrap();
    cluster.run(Duration::from_millis(50));
    cluster.network.heal();
    cluster.run(MAX_WAIT);
    assert_eq!(cluster.reads_answered, 1, "the old leader's read is void");
    assert_eq!(cluster.violations(), []);
}

#[test]
fn a_lease_is_counted_from_the_send_time_of_an_answered_round() {
    let (mut cluster, leader) = elected(9, &[1, 2, 3]);
    let lag = Duration::from_millis(300);
    for id in others(&cluster, leader) {
        cluster.network.lag.insert(ReplicaId(id), lag);
    }
    cluster.run(MAX_WAIT);
    let now = cluster.replica(leader).clock.read(cluster.at);
    let until = cluster.core(leader).leader_lease_until().unwrap();
    let longest = cluster.replica(leader).config.leader_lease();
    let oldest_lag = lag.mul_f64(1.0 - f64::from(DRIFT_PERCENT) / 100.0);
    assert!(until <= now + longest - oldest_lag);
    assert!(until > now, "the lease is kept on a slow network");
}
