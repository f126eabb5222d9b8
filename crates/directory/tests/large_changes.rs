//! Hundreds of changes, each of which lists most of the configuration: what a replica holds in memory and on disk follows
//! from what is in force, not from what was ever sent.

#[allow(dead_code, reason = "each test file uses a part of the harness")]
mod cluster;

use std::time::Duration;

use cluster::{Cluster, Fault};

/// Size of a change, in bytes.
const CHANGE_BYTES: usize = 512 << 10;

const CHANGES: u64 = 120;

/// What a replica may hold of its log, and its files together: a few times the 4 MiB at which it saves a snapshot.
const MAX_LOG_BYTES: usize = 8 << 20;
const MAX_RECENT_BYTES: usize = 8 << 20;
const MAX_DISK_BYTES: u64 = 16 << 20;

/// A group of three after many large changes, the last of which is acknowledged.
fn after_large_changes(changes: u64) -> Cluster {
    let mut cluster = Cluster::new(11, 3);
    cluster.run(Duration::from_secs(3));
    for version in 1..=changes {
        let leader = cluster.leader().expect("a leader");
        cluster.change_of_bytes(leader, version, CHANGE_BYTES);
        cluster.run(Duration::from_millis(60));
    }
    cluster.run(Duration::from_secs(1));
    assert_eq!(cluster.acknowledged.last(), Some(&changes));
    cluster
}

fn check_held(cluster: &Cluster, when: &str) {
    for replica in 0..3 {
        let held = cluster.held(replica);
        assert!(
            held.log <= MAX_LOG_BYTES
                && held.recent_entries <= MAX_RECENT_BYTES
                && held.disk <= MAX_DISK_BYTES,
            "replica {replica} {when}: {held:?}"
        );
    }
}

/// Guards against replicas that keep every change until there are 4,000, exceed their memory within minutes, read the
/// same log at each start and are killed again.
#[test]
fn large_changes_accumulate_neither_in_memory_nor_on_disk() {
    let mut cluster = after_large_changes(CHANGES);
    check_held(&cluster, "after all changes");
    cluster.inject(Fault::KillAll);
    cluster.run(Duration::from_secs(3));
    check_held(&cluster, "after a restart");
    cluster.read();
    cluster.run(Duration::from_secs(1));
    assert_eq!(cluster.reads.last(), Some(&CHANGES));
}

/// Guards against a follower that is down while large changes come and never catches up afterwards.
#[test]
fn a_replica_that_missed_large_changes_catches_up_while_more_come() {
    for fault in [
        Fault::PartitionLeader,
        Fault::StallLeader,
        Fault::WipeLeader,
        Fault::ReplaceOne,
    ] {
        let mut cluster = after_large_changes(5);
        cluster.inject(fault);
        let mut version = 5;
        for _ in 0..300 {
            if let Some(leader) = cluster.leader() {
                version += 1;
                cluster.change_of_bytes(leader, version, CHANGE_BYTES);
            }
            cluster.run(Duration::from_millis(60));
        }
        cluster.run(Duration::from_secs(1));
        let newest = cluster.acknowledged.last().copied();
        assert_eq!(newest, Some(version), "{fault:?}");
        for replica in cluster.running() {
            assert!(cluster.has_applied(replica, version), "{fault:?}");
            let held = cluster.held(replica);
            assert!(held.log <= 2 * MAX_LOG_BYTES, "{fault:?}: {held:?}");
        }
    }
}

/// Guards against an operator who repeats a change whose replies are lost and fills the log with it.
#[test]
fn a_repeated_change_is_acknowledged_without_a_further_entry() {
    let mut cluster = after_large_changes(3);
    let leader = cluster.leader().expect("a leader");
    let applied = cluster.applied(leader);
    for replica in [0, 1, 2, leader] {
        for version in [3, 2] {
            cluster.acknowledged.clear();
            cluster.change_of_bytes(replica, version, CHANGE_BYTES);
            cluster.run(Duration::from_millis(200));
            assert_eq!(cluster.acknowledged, [version], "replica {replica}");
        }
    }
    assert_eq!(cluster.applied(leader), applied, "no entry was added");
    cluster.read();
    cluster.run(Duration::from_millis(200));
    assert_eq!(cluster.reads.last(), Some(&3));
}
