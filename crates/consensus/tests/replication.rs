//! Replication on a reliable network, and catch-up by log entries and by snapshot.

mod support;

use std::time::Duration;

use grebepin_consensus::Guards;
use grebepin_schema::limits::SNAPSHOT_CHUNK_BYTES;
use support::cluster::Cluster;
use support::network::Conditions;

const MAX_WAIT: Duration = Duration::from_secs(30);

#[test]
fn commands_reach_every_replica_in_order() {
    for voters in [&[1][..], &[1, 2], &[1, 2, 3], &[1, 2, 3, 4, 5]] {
        let mut cluster = Cluster::new(1, voters, &[9], Guards::all());
        let leader = cluster.elect();
        let mut last = Default::default();
        for command in 0..50 {
            last = cluster.propose(leader, &[command]).unwrap();
        }
        assert!(cluster.settle(last, MAX_WAIT), "group of {}", voters.len());
        let expected: Vec<u8> = (0..50).collect();
        for replica in cluster.replicas.values() {
            assert_eq!(replica.applied, expected);
        }
        assert_eq!(cluster.violations(), []);
    }
}

#[test]
fn a_follower_that_missed_hundreds_of_entries_catches_up() {
    for (way, snapshot_every) in [("log", u64::MAX), ("snapshot", 600), ("snapshots", 20)] {
        let mut cluster = Cluster::new(3, &[1, 2, 3], &[], Guards::all());
        cluster.snapshot_every = snapshot_every;
        let leader = cluster.elect();
        let missing = if leader == 1 { 2 } else { 1 };
        cluster.crash(missing);
        let mut last = Default::default();
        for command in 0..700_u32 {
            last = cluster.propose(leader, &command.to_be_bytes()).unwrap();
            cluster.run(Duration::from_millis(5));
        }
        cluster.restart(missing);
        assert!(cluster.settle(last, MAX_WAIT), "catch-up by {way}");
        let caught_up = cluster.replica(missing);
        assert_eq!(caught_up.applied.len(), 700 * 4);
        assert_eq!(caught_up.applied, cluster.replica(leader).applied);
        assert_eq!(caught_up.snapshots_received > 0, way != "log");
        assert_eq!(cluster.violations(), []);
    }
}

/// Creates a group in which follower 3 was down while the leader took a snapshot of `chunks` chunks. Returns
/// the group, the leader and the size of the snapshot in bytes.
fn follower_behind_snapshot(chunks: usize) -> (Cluster, u64, usize) {
    let mut cluster = Cluster::new(4, &[1, 2, 3], &[], Guards::all());
    cluster.crash(3);
    let leader = cluster.elect();
    cluster.snapshot_every = 300;
    let command = vec![7; chunks * SNAPSHOT_CHUNK_BYTES / 300];
    for _ in 0..300 {
        cluster.propose(leader, &command).unwrap();
        cluster.run(Duration::from_millis(5));
    }
    cluster.restart(3);
    (cluster, leader, 300 * command.len())
}

#[test]
fn a_large_snapshot_is_transferred_over_a_lossy_network() {
    let (mut cluster, leader, _) = follower_behind_snapshot(6);
    cluster.network.conditions = Conditions::bad();
    let commit = cluster.core(leader).commit();
    assert!(cluster.settle(commit, MAX_WAIT * 4));
    assert_eq!(cluster.replica(3).snapshots_received, 1);
    assert_eq!(cluster.violations(), []);
}

#[test]
fn an_interrupted_snapshot_transfer_resumes_where_it_stopped() {
    for leader_crashes in [false, true] {
        let (mut cluster, leader, size) = follower_behind_snapshot(8);
        let half_sent = |cluster: &Cluster| cluster.network.snapshot_bytes > size / 2;
        assert!(cluster.run_until(MAX_WAIT, half_sent));
        let commit = cluster.core(leader).commit();
        if leader_crashes {
            cluster.crash(leader);
        } else {
            cluster.network.partition(&[3], &[1, 2]);
            cluster.run(MAX_WAIT);
            cluster.network.heal();
        }
        assert!(cluster.settle(commit, MAX_WAIT));
        assert_eq!(cluster.replica(3).snapshots_received, 1);
        let resent = cluster.network.snapshot_bytes - size;
        assert!(
            resent <= 2 * SNAPSHOT_CHUNK_BYTES,
            "{resent} bytes were sent again"
        );
    }
}
