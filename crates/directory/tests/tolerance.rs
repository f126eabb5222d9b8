//! As many machines as the settings tolerate may be lost at once, including their disks, without losing
//! anything that was acknowledged.

#[allow(dead_code, reason = "each test file uses a part of the harness")]
mod cluster;

use cluster::{Cluster, Fault};
use std::time::Duration;

const SEEDS: std::ops::Range<u64> = 0..25;

/// Replicas and zones of the groups, and the number of machines that may be lost at once.
const REPLICAS: usize = 8;
const ZONES: usize = 4;
const MACHINES: usize = 2;
const WANTED_VOTERS: usize = 5;

fn seconds(number: f64) -> Duration {
    Duration::from_secs_f64(number)
}

#[test]
fn the_group_has_the_voters_for_its_tolerated_losses_and_spreads_them() {
    for seed in SEEDS {
        let mut cluster = Cluster::with_tolerance(seed, REPLICAS, ZONES, MACHINES);
        cluster.run(seconds(5.0));
        assert_eq!(cluster.voters(), WANTED_VOTERS, "seed {seed}");
        assert_eq!(cluster.members(), REPLICAS, "seed {seed}");
        assert_eq!(cluster.voters_of_fullest_zone(), 2, "seed {seed}");
    }
}

#[test]
fn two_disks_may_be_lost_at_once_right_after_an_acknowledgement() {
    for fault in [
        Fault::WipeTwoVoters,
        Fault::WipeTwoVotersWhileOthersLosePower,
    ] {
        for seed in SEEDS {
            let mut cluster = Cluster::with_tolerance(seed, REPLICAS, ZONES, MACHINES);
            // Without waiting for the group to settle: at first it consists of the three seeds only.
            cluster.change_as_early_as_possible(1);
            cluster.inject(fault);
            cluster.run(seconds(8.0));
            cluster.change_until_acknowledged(2);
            cluster.read();
            cluster.run(seconds(2.0));
            assert_eq!(cluster.reads.last(), Some(&2), "{fault:?}, seed {seed}");
            assert_eq!(cluster.stale_reads, 0, "{fault:?}, seed {seed}");
            assert_eq!(cluster.voters(), WANTED_VOTERS, "{fault:?}, seed {seed}");
        }
    }
}

#[test]
fn two_disks_may_be_lost_in_the_middle_of_a_change_of_members() {
    for seed in SEEDS {
        let mut cluster = Cluster::with_tolerance(seed, REPLICAS, ZONES, 1);
        cluster.run(seconds(4.0));
        cluster.tolerate_machine_losses(MACHINES);
        cluster.run(seconds(2.0));
        cluster.tolerate_machine_losses(1);
        // At some point of the reduction from five voters to three.
        cluster.run(Duration::from_millis(5 * seed));
        cluster.tolerate_machine_losses(MACHINES);
        cluster.run(seconds(2.0));
        cluster.change_until_acknowledged(1);
        cluster.inject(Fault::WipeTwoVoters);
        cluster.run(seconds(8.0));
        cluster.change_until_acknowledged(2);
        assert_eq!(cluster.acknowledged, vec![1, 2], "seed {seed}");
    }
}

#[test]
fn voters_follow_a_changed_setting_both_ways() {
    for seed in SEEDS {
        let mut cluster = Cluster::with_tolerance(seed, REPLICAS, ZONES, 1);
        cluster.run(seconds(5.0));
        assert_eq!(cluster.voters(), 3, "seed {seed}");
        cluster.tolerate_machine_losses(MACHINES);
        cluster.run(seconds(2.0));
        assert_eq!(cluster.voters(), WANTED_VOTERS, "seed {seed}");
        cluster.tolerate_machine_losses(1);
        cluster.run(seconds(2.0));
        assert_eq!(cluster.voters(), 3, "seed {seed}");
        assert_eq!(cluster.voters_of_fullest_zone(), 1, "seed {seed}");
        cluster.change_until_acknowledged(1);
    }
}

#[test]
fn a_complete_zone_may_be_lost_if_the_settings_tolerate_it() {
    for seed in SEEDS {
        let mut cluster = Cluster::with_tolerance(seed, 9, 3, 1);
        cluster.tolerate_zone_losses(1);
        cluster.run(seconds(5.0));
        cluster.change_until_acknowledged(1);
        cluster.inject(Fault::LoseZoneOfLeader);
        cluster.run(seconds(6.0));
        cluster.change_until_acknowledged(2);
        assert_eq!(cluster.acknowledged, vec![1, 2], "seed {seed}");
        assert_eq!(cluster.voters(), 3, "seed {seed}");
    }
}

#[test]
fn a_group_with_fewer_machines_than_wanted_accepts_changes() {
    for seed in SEEDS {
        let mut cluster = Cluster::with_tolerance(seed, 3, 3, MACHINES);
        cluster.change_until_acknowledged(1);
        assert_eq!(cluster.voters(), 3, "seed {seed}");
    }
}

#[test]
fn an_observer_applies_entries_and_never_votes() {
    for seed in SEEDS {
        let mut cluster = Cluster::with_tolerance(seed, 4, ZONES, MACHINES);
        cluster.add_observer();
        cluster.run(seconds(5.0));
        cluster.change_until_acknowledged(1);
        cluster.run(seconds(1.0));
        assert_eq!(cluster.voters(), 4, "seed {seed}");
        assert!(!cluster.is_voter(4), "seed {seed}");
        assert!(cluster.has_applied(4, 1), "seed {seed}");
    }
}

/// More control machines than a smaller limit on members would admit.
#[test]
fn every_control_machine_of_a_large_fleet_joins() {
    let mut cluster = Cluster::with_tolerance(3, 24, 6, MACHINES);
    cluster.run(seconds(8.0));
    assert_eq!(cluster.members(), 24);
    assert_eq!(cluster.voters(), WANTED_VOTERS);
    assert_eq!(cluster.voters_of_fullest_zone(), 1);
}

/// Disks are lost while all other machines lose power, including those that do not count towards the
/// tolerated losses. An acknowledgement must not depend on a machine that has not synced the entry.
#[test]
fn acknowledged_changes_survive_a_lost_disk_while_observers_lose_power() {
    for seed in 0..20 {
        for fault in [Fault::WipeLeader, Fault::WipeOneWhileOthersLosePower] {
            let mut cluster = Cluster::new(seed, 3);
            cluster.add_observer();
            cluster.add_observer();
            cluster.run(seconds(6.0));
            cluster.change_as_early_as_possible(1);
            cluster.inject(fault);
            cluster.inject(Fault::PowerOffAll);
            cluster.run(seconds(9.0));
            cluster.read();
            cluster.run(seconds(3.0));
            assert_eq!(cluster.reads.last(), Some(&1), "{fault:?}, seed {seed}");
            assert_eq!(cluster.stale_reads, 0, "{fault:?}, seed {seed}");
        }
    }
}
