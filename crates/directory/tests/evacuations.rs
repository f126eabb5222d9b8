//! Evacuations over a group of replicas: an acknowledged one survives every fault, and the call may be
//! repeated.

#[allow(dead_code, reason = "each test file uses a part of the harness")]
mod cluster;

use cluster::{Cluster, Fault};
use std::time::Duration;

const SEEDS: std::ops::Range<u64> = 0..20;
const ZONE: &str = "z0";

fn seconds(number: f64) -> Duration {
    Duration::from_secs_f64(number)
}

#[test]
fn an_acknowledged_evacuation_survives_every_fault_and_so_does_its_end() {
    let faults = [
        Fault::KillAll,
        Fault::PowerOffAll,
        Fault::WipeOneWhileOthersLosePower,
        Fault::WipeLeader,
        Fault::PartitionLeader,
        Fault::ReplaceOne,
    ];
    for fault in faults {
        for seed in SEEDS {
            let mut cluster = Cluster::new(seed, 3);
            cluster.run(seconds(3.0));
            cluster.evacuate_until_acknowledged(ZONE, true);
            cluster.inject(fault);
            cluster.run(seconds(9.0));
            cluster.change_until_acknowledged(1);
            assert!(cluster.is_evacuated(ZONE), "{fault:?}, seed {seed}");
            cluster.evacuate_until_acknowledged(ZONE, false);
            cluster.inject(fault);
            cluster.run(seconds(9.0));
            cluster.change_until_acknowledged(2);
            assert!(!cluster.is_evacuated(ZONE), "{fault:?}, seed {seed}");
        }
    }
}

#[test]
fn a_repeated_evacuation_call_is_acknowledged_again() {
    let mut cluster = Cluster::new(3, 3);
    cluster.run(seconds(3.0));
    for _ in 0..3 {
        cluster.evacuate_until_acknowledged(ZONE, true);
        assert!(cluster.is_evacuated(ZONE));
    }
}

#[test]
fn a_partitioned_leader_acknowledges_nothing_and_the_others_do() {
    for seed in SEEDS {
        let mut cluster = Cluster::new(seed, 3);
        cluster.run(seconds(3.0));
        cluster.inject(Fault::PartitionLeader);
        let took = cluster.evacuate_until_acknowledged(ZONE, true);
        assert!(took < seconds(3.0), "seed {seed}: {took:?}");
        cluster.run(seconds(8.0));
        assert!(cluster.is_evacuated(ZONE), "seed {seed}");
    }
}

#[test]
fn an_unknown_zone_is_rejected() {
    let mut cluster = Cluster::new(5, 3);
    cluster.run(seconds(3.0));
    cluster.evacuate("nowhere", true);
    cluster.run(seconds(1.0));
    assert_eq!(cluster.unknown_zones, vec!["nowhere".to_owned()]);
    assert!(!cluster.is_evacuated("nowhere"));
}

/// Guards against a call that is read, relayed or committed after its caller gave it up and undoes a later one. Replicas
/// stall while calls wait at them, and the operator moves on to another one.
#[test]
fn the_last_acknowledged_call_is_in_force_whatever_older_calls_still_wait() {
    let (mut acknowledged, mut superseded) = (0, 0);
    for seed in 0..60 {
        let mut cluster = Cluster::new(seed, 3);
        cluster.run(seconds(3.0));
        let mut wanted = None;
        for round in 0..12 {
            let evacuated = round % 2 == 0;
            cluster.stall_some(seconds(4.0));
            if cluster.evacuate_with_patience(ZONE, evacuated, 6) {
                wanted = Some(evacuated);
                acknowledged += 1;
            } else {
                // The calls may be in force or not.
                wanted = None;
            }
            if let (Some(wanted), Some(found)) = (wanted, cluster.evacuated_at_leader(ZONE)) {
                assert_eq!(found, wanted, "seed {seed}, round {round}");
            }
        }
        cluster.run(seconds(10.0));
        if let Some(wanted) = wanted {
            assert_eq!(cluster.is_evacuated(ZONE), wanted, "seed {seed}");
        }
        superseded += cluster.evacuations_superseded;
    }
    assert!(acknowledged > 400, "{acknowledged} calls were acknowledged");
    assert!(superseded > 10, "{superseded} calls came too late");
}
