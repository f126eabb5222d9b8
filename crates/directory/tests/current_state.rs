//! Which replicas may hand their state to gateways as current.

#[allow(dead_code, reason = "each test file uses a part of the harness")]
mod cluster;

use std::time::Duration;

use cluster::{Cluster, Fault};

const SEEDS: std::ops::Range<u64> = 0..40;

/// Time after a fault in which replicas restart, elect a leader and catch up.
const RECOVERY: Duration = Duration::from_secs(4);
const STEP: Duration = Duration::from_millis(5);

/// Without a snapshot in the time of a test.
const NEVER: u64 = u64::MAX;

/// Seeds and replicas for which a replica calls itself fed, although its state lacks a change that was
/// acknowledged right before the fault.
fn fed_without_acknowledged_change(fault: Fault, snapshot_every: u64) -> Vec<(u64, usize)> {
    let mut found = Vec::new();
    for seed in SEEDS {
        let mut cluster = Cluster::new(seed, 3);
        cluster.snapshot_every = snapshot_every;
        cluster.run(Duration::from_secs(3));
        cluster.change_until_acknowledged(1);
        cluster.change_as_early_as_possible(2);
        cluster.inject(fault);
        for _ in 0..RECOVERY.as_millis() / STEP.as_millis() {
            cluster.run(STEP);
            let outdated =
                (0..3).filter(|number| cluster.is_fed(*number) && !cluster.has_applied(*number, 2));
            found.extend(outdated.map(|number| (seed, number)));
        }
    }
    found.dedup();
    found
}

#[test]
fn a_restarted_group_feeds_no_state_without_an_acknowledged_change() {
    for fault in [Fault::KillAll, Fault::PowerOffAll] {
        let found = fed_without_acknowledged_change(fault, NEVER);
        assert_eq!(found, [], "{fault:?}");
    }
}

/// The founding snapshot, which a replica receives first, tells nothing of what is committed.
#[test]
fn a_replica_that_lost_its_disk_feeds_no_state_before_it_has_caught_up() {
    let fault = Fault::WipeOneWhileOthersLosePower;
    assert_eq!(fed_without_acknowledged_change(fault, NEVER), []);
}

/// The log of a replica may begin after the commit index that a new leader states.
#[test]
fn a_replica_with_a_newer_snapshot_than_its_leader_feeds_no_state_without_an_acknowledged_change() {
    for fault in [Fault::KillAll, Fault::PowerOffAll] {
        for snapshot_every in 1..4 {
            let found = fed_without_acknowledged_change(fault, snapshot_every);
            assert_eq!(
                found,
                [],
                "{fault:?}, a snapshot every {snapshot_every} entries"
            );
        }
    }
}
