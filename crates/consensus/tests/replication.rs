//! Replication on a good network, and catch-up by log and by snapshot.

mod support;

use std::time::Duration;

use grebepin_consensus::Guards;
use support::cluster::Cluster;

const LONG: Duration = Duration::from_secs(30);

#[test]
fn commands_reach_every_replica_in_order() {
    for voters in [&[1][..], &[1, 2], &[1, 2, 3], &[1, 2, 3, 4, 5]] {
        let mut cluster = Cluster::new(1, voters, &[9], Guards::all());
        let leader = cluster.elect();
        let mut last = Default::default();
        for command in 0..50 {
            last = cluster.propose(leader, &[command]).unwrap();
        }
        assert!(cluster.settle(last, LONG), "group of {}", voters.len());
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
        assert!(cluster.settle(last, LONG), "catch-up by {way}");
        let caught_up = cluster.replica(missing);
        assert_eq!(caught_up.applied.len(), 700 * 4);
        assert_eq!(caught_up.applied, cluster.replica(leader).applied);
        assert_eq!(caught_up.snapshots_received > 0, way != "log");
        assert_eq!(cluster.violations(), []);
    }
}
