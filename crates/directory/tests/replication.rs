//! A group of replicas over simulated disks and a simulated network: acknowledged changes survive every
//! fault, and a read never returns a state older than an acknowledged change.

#[allow(dead_code, reason = "each test file uses a part of the harness")]
mod cluster;

use std::time::Duration;

use cluster::{Cluster, Fault};
use grebepin_catalog::InstanceId;
use grebepin_directory::call::Call;
use grebepin_grants::Heartbeat;

const SEEDS: std::ops::Range<u64> = 0..40;

fn seconds(number: f64) -> Duration {
    Duration::from_secs_f64(number)
}

#[test]
fn three_seeds_found_one_group_and_commit_a_change() {
    for seed in SEEDS {
        let mut cluster = Cluster::new(seed, 3);
        cluster.run(seconds(3.0));
        cluster.change(1);
        cluster.run(seconds(2.0));
        assert_eq!(cluster.acknowledged, vec![1], "seed {seed}");
        assert_eq!(cluster.voters(), 3, "seed {seed}");
    }
}

#[test]
fn a_fourth_replica_becomes_a_learner() {
    let mut cluster = Cluster::new(7, 4);
    cluster.run(seconds(6.0));
    cluster.change(1);
    cluster.run(seconds(2.0));
    assert_eq!(cluster.voters(), 3);
    assert!(
        cluster.has_applied(3, 1),
        "the learner holds the change as well"
    );
}

#[test]
fn acknowledged_changes_survive_every_fault() {
    let faults = [
        Fault::KillAll,
        Fault::PowerOffAll,
        Fault::WipeOneWhileOthersLosePower,
        Fault::WipeLeader,
        Fault::PartitionLeader,
        Fault::StallLeader,
        Fault::ReplaceOne,
    ];
    for fault in faults {
        for seed in SEEDS {
            let mut cluster = Cluster::new(seed, 3);
            cluster.run(seconds(3.0));
            cluster.change_until_acknowledged(1);
            cluster.inject(fault);
            cluster.run(seconds(9.0));
            cluster.change_until_acknowledged(2);
            cluster.read();
            cluster.run(seconds(3.0));
            let newest = cluster.reads.last().copied();
            assert_eq!(newest, Some(2), "{fault:?}, seed {seed}");
            assert_eq!(cluster.stale_reads, 0, "{fault:?}, seed {seed}");
            assert_eq!(cluster.voters(), 3, "{fault:?}, seed {seed}");
        }
    }
}

/// When all replicas restart, waiting for a leader makes up the longest part of the outage.
#[test]
fn a_group_whose_replicas_all_restart_has_a_leader_within_half_a_second() {
    for fault in [Fault::KillAll, Fault::PowerOffAll] {
        let mut waits = Vec::new();
        for seed in SEEDS {
            let mut cluster = Cluster::new(seed, 3);
            cluster.run(seconds(3.0));
            cluster.change_until_acknowledged(1);
            cluster.inject(fault);
            waits.push(cluster.wait_for_leader_after_restart());
        }
        let late = waits.iter().filter(|wait| **wait > seconds(0.5)).count();
        assert!(late <= waits.len() / 20, "{fault:?}: {waits:?}");
    }
}

#[test]
fn two_disks_may_be_lost_one_after_the_other() {
    for seed in SEEDS {
        let mut cluster = Cluster::new(seed, 3);
        cluster.run(seconds(3.0));
        cluster.change_until_acknowledged(1);
        cluster.inject(Fault::WipeLeader);
        cluster.run(seconds(6.0));
        cluster.inject(Fault::WipeLeader);
        cluster.run(seconds(6.0));
        cluster.inject(Fault::PowerOffAll);
        cluster.run(seconds(6.0));
        cluster.read();
        cluster.run(seconds(2.0));
        assert_eq!(cluster.reads.last(), Some(&1), "seed {seed}");
    }
}

#[test]
fn a_partitioned_leader_answers_no_read() {
    for seed in SEEDS {
        let mut cluster = Cluster::new(seed, 3);
        cluster.run(seconds(3.0));
        cluster.change_until_acknowledged(1);
        let old = cluster.leader().expect("a leader");
        cluster.inject(Fault::PartitionLeader);
        cluster.read_at(old);
        cluster.run(seconds(2.0));
        cluster.change_until_acknowledged(2);
        cluster.read_at(old);
        cluster.run(seconds(0.4));
        assert_eq!(cluster.stale_reads, 0, "seed {seed}");
    }
}

#[test]
fn a_full_disk_stops_a_replica_and_not_the_group() {
    for seed in SEEDS {
        let mut cluster = Cluster::new(seed, 3);
        cluster.run(seconds(3.0));
        cluster.change_until_acknowledged(1);
        cluster.inject(Fault::FillLeaderDisk);
        cluster.run(seconds(3.0));
        cluster.change_until_acknowledged(2);
        assert_eq!(cluster.acknowledged, vec![1, 2], "seed {seed}");
    }
}

/// Gateways follow any replica whose state is fresh. A replica that has no contact with a leader, or has not
/// applied what the leader committed, must report that within a second.
#[test]
fn only_an_up_to_date_replica_feeds_gateways() {
    for seed in SEEDS {
        let mut cluster = Cluster::new(seed, 4);
        cluster.run(seconds(4.0));
        cluster.change_until_acknowledged(1);
        cluster.run(seconds(0.5));
        assert!((0..4).all(|one| cluster.is_fed(one)), "seed {seed}");
        let old = cluster.leader().expect("a leader");
        cluster.inject(Fault::PartitionLeader);
        cluster.run(seconds(1.0));
        assert!(!cluster.is_fed(old), "cut off, seed {seed}");
        cluster.change_until_acknowledged(2);
        let others = (0..4).filter(|one| *one != old);
        for other in others {
            assert!(cluster.is_fed(other), "replica {other}, seed {seed}");
            assert!(
                cluster.has_applied(other, 2),
                "replica {other}, seed {seed}"
            );
        }
        cluster.run(seconds(6.0));
        assert!(cluster.is_fed(old), "healed, seed {seed}");
        assert!(cluster.has_applied(old, 2), "healed, seed {seed}");
    }
}

/// In a large group with a learner on most machines, a leader that commits hundreds of entries per second
/// would spend its time on messages to members that do not count towards the majority.
#[test]
fn a_busy_leader_sends_learners_few_messages_and_they_lag_little() {
    let mut cluster = Cluster::new(5, 6);
    cluster.run(seconds(5.0));
    cluster.change_until_acknowledged(1);
    let leader = cluster.leader().expect("a leader");
    cluster.count_messages();
    for version in 2..202 {
        cluster.change(version);
        cluster.run(Duration::from_millis(5));
    }
    let (mut to_voters, mut to_learners) = (0, 0);
    for number in (0..6).filter(|number| *number != leader) {
        let sent = cluster.messages_between(leader, number);
        match cluster.is_voter(number) {
            true => to_voters += sent,
            false => to_learners += sent,
        }
    }
    // Two voters and three learners besides the leader; at most one heartbeat every 60 ms and new entries
    // every 25 ms.
    assert!(to_voters / 2 > 200, "{to_voters}");
    assert!(to_learners / 3 < 90, "{to_learners}");
    cluster.run(Duration::from_millis(200));
    assert!((0..6).all(|number| cluster.has_applied(number, 201)));
}

/// A configuration of a thousand routes that is sent to all learners at once delays the leader's heartbeats
/// on its link, so that it loses the leadership.
#[test]
fn a_large_change_goes_to_two_learners_at_a_time() {
    let mut cluster = Cluster::new(5, 10);
    cluster.run(seconds(6.0));
    let leader = cluster.leader().expect("a leader");
    cluster.change_of_bytes(leader, 1, 300 << 10);
    // Messages take at least 1 ms, so no learner has answered within one step.
    cluster.run(Duration::from_millis(5));
    let at_first = cluster.bulk_sent.iter().map(|(_, to)| *to);
    let learners = at_first.filter(|to| !cluster.is_voter(*to)).count();
    assert!(learners <= 2, "{:?}", cluster.bulk_sent);
    cluster.run(seconds(1.0));
    assert_eq!(cluster.acknowledged, vec![1]);
    assert!((0..10).all(|number| cluster.has_applied(number, 1)));
    assert_eq!(cluster.leader(), Some(leader));
}

/// Heartbeat of a server whose leave changes nothing, so that a leader acknowledges it under its lease alone.
fn draining_heartbeat(id: &InstanceId) -> Call {
    Call::Heartbeat(Heartbeat {
        id: id.clone(),
        service: "s".to_owned(),
        address: "10.1.0.1:80".to_owned(),
        zone: "z0".to_owned(),
        slots: 2,
        draining: true,
        warmup_left: Duration::ZERO,
        sequence: 1,
        holds: Some(Vec::new()),
        freed: Vec::new(),
    })
}

/// Suspends a leader until the others have elected the next one. Returns the number of leaves that it
/// acknowledges under its own lease when it resumes.
fn acknowledged_after_suspension(suspension: Fault, seed: u64) -> u32 {
    let mut cluster = Cluster::new(seed, 3);
    cluster.run(seconds(3.0));
    cluster.change_until_acknowledged(1);
    let server = InstanceId::new("i-1");
    cluster.send_server_call(draining_heartbeat(&server));
    let old = cluster.leader().expect("a leader");
    cluster.inject(suspension);
    cluster.run(seconds(3.0));
    cluster.change_until_acknowledged(2);
    cluster.resume_with_leave(old, &server);
    cluster.leaves_acknowledged
}

#[test]
fn a_leader_whose_clock_includes_its_suspension_acknowledges_nothing_when_it_resumes() {
    for seed in SEEDS {
        let acknowledged = acknowledged_after_suspension(Fault::SuspendLeader, seed);
        assert_eq!(acknowledged, 0, "seed {seed}");
    }
}

/// The process clock must include suspensions: with one that does not, the old leader considers its lease
/// valid.
#[test]
fn a_leader_whose_clock_excludes_its_suspension_would_trust_an_expired_lease() {
    let seeds = SEEDS.map(|seed| acknowledged_after_suspension(Fault::SuspendLeaderAndClock, seed));
    assert!(seeds.sum::<u32>() > 0);
}
