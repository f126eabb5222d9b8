//! As many machines as the settings say may be lost at once, disks included, and nothing that was acknowledged
//! is lost with them.

#[allow(dead_code, reason = "each test file uses a part of the harness")]
mod cluster;

use cluster::{Cluster, Fault};
use std::time::Duration;

const SEEDS: std::ops::Range<u64> = 0..25;

/// Replicas and zones of these groups, and the machines that may be lost at once.
const REPLICAS: usize = 8;
const ZONES: usize = 4;
const MACHINES: usize = 2;
const WANTED_VOTERS: usize = 5;

fn seconds(number: f64) -> Duration {
    Duration::from_secs_f64(number)
}

#[test]
fn the_group_has_the_voters_that_its_losses_need_and_spreads_them() {
    for seed in SEEDS {
        let mut cluster = Cluster::bearing(seed, REPLICAS, ZONES, MACHINES);
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
            let mut cluster = Cluster::bearing(seed, REPLICAS, ZONES, MACHINES);
            // No time to settle: three seeds alone know of each other at first.
            cluster.change_as_early_as_possible(1);
            cluster.strike(fault);
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
        let mut cluster = Cluster::bearing(seed, REPLICAS, ZONES, 1);
        cluster.run(seconds(4.0));
        cluster.bear(MACHINES);
        cluster.run(seconds(2.0));
        cluster.bear(1);
        // Somewhere on the way back from five voters to three.
        cluster.run(Duration::from_millis(5 * seed));
        cluster.bear(MACHINES);
        cluster.run(seconds(2.0));
        cluster.change_until_acknowledged(1);
        cluster.strike(Fault::WipeTwoVoters);
        cluster.run(seconds(8.0));
        cluster.change_until_acknowledged(2);
        assert_eq!(cluster.acknowledged, vec![1, 2], "seed {seed}");
    }
}

#[test]
fn voters_follow_a_changed_setting_both_ways() {
    for seed in SEEDS {
        let mut cluster = Cluster::bearing(seed, REPLICAS, ZONES, 1);
        cluster.run(seconds(5.0));
        assert_eq!(cluster.voters(), 3, "seed {seed}");
        cluster.bear(MACHINES);
        cluster.run(seconds(2.0));
        assert_eq!(cluster.voters(), WANTED_VOTERS, "seed {seed}");
        cluster.bear(1);
        cluster.run(seconds(2.0));
        assert_eq!(cluster.voters(), 3, "seed {seed}");
        assert_eq!(cluster.voters_of_fullest_zone(), 1, "seed {seed}");
        cluster.change_until_acknowledged(1);
    }
}

#[test]
fn a_zone_may_be_lost_whole_where_the_settings_say_so() {
    for seed in SEEDS {
        let mut cluster = Cluster::bearing(seed, 9, 3, 1);
        cluster.bear_zones(1);
        cluster.run(seconds(5.0));
        cluster.change_until_acknowledged(1);
        cluster.strike(Fault::LoseZoneOfLeader);
        cluster.run(seconds(6.0));
        cluster.change_until_acknowledged(2);
        assert_eq!(cluster.acknowledged, vec![1, 2], "seed {seed}");
        assert_eq!(cluster.voters(), 3, "seed {seed}");
    }
}

#[test]
fn a_group_without_the_machines_that_it_wants_serves_on() {
    for seed in SEEDS {
        let mut cluster = Cluster::bearing(seed, 3, 3, MACHINES);
        cluster.change_until_acknowledged(1);
        assert_eq!(cluster.voters(), 3, "seed {seed}");
    }
}

#[test]
fn a_machine_whose_losses_nothing_bounds_learns_and_never_votes() {
    for seed in SEEDS {
        let mut cluster = Cluster::bearing(seed, 4, ZONES, MACHINES);
        cluster.add_observer();
        cluster.run(seconds(5.0));
        cluster.change_until_acknowledged(1);
        cluster.run(seconds(1.0));
        assert_eq!(cluster.voters(), 4, "seed {seed}");
        assert!(!cluster.is_voter(4), "seed {seed}");
        assert!(cluster.has_applied(4, 1), "seed {seed}");
    }
}

/// More control machines than an earlier bound on members let in.
#[test]
fn every_control_machine_of_a_large_fleet_is_taken_in() {
    let mut cluster = Cluster::bearing(3, 24, 6, MACHINES);
    cluster.run(seconds(8.0));
    assert_eq!(cluster.members(), 24);
    assert_eq!(cluster.voters(), WANTED_VOTERS);
    assert_eq!(cluster.voters_of_fullest_zone(), 1);
}

/// Disks are lost at the moment at which all other machines lose power, also those whose losses nothing bounds: what
/// was acknowledged may not rest on a machine that has not synced it.
#[test]
fn what_was_acknowledged_survives_a_lost_disk_while_observers_lose_power_as_well() {
    for seed in 0..20 {
        for fault in [Fault::WipeLeader, Fault::WipeOneWhileOthersLosePower] {
            let mut cluster = Cluster::new(seed, 3);
            cluster.add_observer();
            cluster.add_observer();
            cluster.run(seconds(6.0));
            cluster.change_as_early_as_possible(1);
            cluster.strike(fault);
            cluster.strike(Fault::PowerOffAll);
            cluster.run(seconds(9.0));
            cluster.read();
            cluster.run(seconds(3.0));
            assert_eq!(cluster.reads.last(), Some(&1), "{fault:?}, seed {seed}");
            assert_eq!(cluster.stale_reads, 0, "{fault:?}, seed {seed}");
        }
    }
}
