//! At most one server holds a shard: a model of servers with slow clocks, late heartbeats, late
//! responses and changes of leader, on a virtual clock with fixed seeds.

mod model;
#[allow(dead_code, reason = "each test file uses a part")]
mod support;

use std::time::Duration;

use model::{Fleet, Settings};

const SEEDS: std::ops::Range<u64> = 0..24;
const RUN_TIME: Duration = Duration::from_secs(30);

/// Runs every seed and checks that no shard has two holders and that shards are held at all.
fn assert_exclusive(settings: Settings) {
    for seed in SEEDS {
        let mut fleet = Fleet::new(seed, settings);
        fleet.run(RUN_TIME);
        assert_eq!(fleet.overlaps, Vec::new(), "seed {seed}");
        assert!(fleet.held_shards > 0, "seed {seed}: nothing was ever held");
    }
}

#[test]
fn no_shard_ever_has_two_holders() {
    assert_exclusive(Settings::default());
}

/// Guards against a heartbeat that was sent before a grant and is taken by a later leader for the release of what
/// was granted.
#[test]
fn late_heartbeats_at_a_new_leader_release_nothing_that_is_held() {
    for seed in SEEDS.start..SEEDS.end * 4 {
        let mut fleet = Fleet::new(seed, Settings::late_heartbeats());
        fleet.run(RUN_TIME);
        assert_eq!(fleet.overlaps, Vec::new(), "seed {seed}");
    }
}

/// Servers reject responses over 4 KiB, so a larger response would renew no lease.
#[test]
fn moves_for_load_keep_shards_exclusive_and_responses_small() {
    for seed in SEEDS.take(15) {
        let mut fleet = Fleet::new(seed, Settings::moving_load());
        fleet.run(RUN_TIME);
        assert_eq!(fleet.overlaps, Vec::new(), "seed {seed}");
        assert!(
            fleet.largest_response < 3_900,
            "seed {seed}: {}",
            fleet.largest_response
        );
    }
}

/// Checks for ten seeds that no shard has two holders and that nearly all have one.
fn assert_held(settings: Settings) {
    for seed in SEEDS.take(10) {
        let mut fleet = Fleet::new(seed, settings);
        fleet.run(RUN_TIME);
        assert_eq!(fleet.overlaps, Vec::new(), "seed {seed}");
        assert!(
            fleet.held_fraction() > 0.97,
            "seed {seed}: {}",
            fleet.held_fraction()
        );
    }
}

#[test]
fn most_shards_have_a_holder_most_of_the_time() {
    assert_held(Settings::stable());
}

/// Shards held by a server before a restart aren't granted to the restarted one, or to others, before
/// the earlier lease has expired.
#[test]
fn restarts_under_the_same_name_leave_no_shard_with_two_holders() {
    assert_exclusive(Settings::restarts());
}

/// A restart leaves the shards of one of twelve servers without a holder for a lease of 4.1 s and at
/// most 1.3 s until another server's heartbeat. With a restart every 3 s on average that is 0.15 of the
/// time.
#[test]
fn a_restart_costs_no_more_than_the_lease_of_the_earlier_incarnation() {
    let mut held = 0.0;
    for seed in SEEDS {
        let mut fleet = Fleet::new(seed, Settings::stable_with_restarts());
        fleet.run(RUN_TIME);
        assert_eq!(fleet.overlaps, Vec::new(), "seed {seed}");
        held += fleet.held_fraction() / (SEEDS.end - SEEDS.start) as f64;
    }
    assert!(held > 1.0 - 0.15, "{held}");
}

/// A moved shard has no holder from its release until its receiver's next heartbeat.
#[test]
fn planned_moves_leave_shards_without_a_holder_only_briefly() {
    for (name, settings, least) in [
        ("load", Settings::stable_with_moving_load(), 0.997),
        ("drains", Settings::stable_with_drains(), 0.985),
    ] {
        let mut held = 0.0;
        for seed in SEEDS.take(10) {
            let mut fleet = Fleet::new(seed, settings);
            fleet.run(RUN_TIME);
            assert_eq!(fleet.overlaps, Vec::new(), "{name}, seed {seed}");
            held += fleet.held_fraction() / 10.0;
        }
        assert!(held > least, "{name}: {held}");
    }
}

#[test]
fn heartbeats_of_other_writers_give_no_shard_two_holders() {
    assert_exclusive(Settings::other_writers());
}

/// Guards against a heartbeat with the address of a live server that ends this server for good.
#[test]
fn heartbeats_of_other_writers_take_no_shards_from_live_servers() {
    assert_held(Settings::stable_with_other_writers());
}

/// Checks the checker: without each safeguard of the model's leader, some shard gets two holders.
#[test]
fn each_disabled_safeguard_is_detected() {
    let cases = [
        (
            "a new leader does not bound earlier leases",
            Settings::without_bound_on_earlier_leases(),
        ),
        (
            "servers' clocks run slower than allowed",
            Settings::too_slow_clocks(),
        ),
        (
            "commands are answered before they are committed",
            Settings::two_leaders(),
        ),
    ];
    for (name, settings) in cases {
        let detected = SEEDS.into_iter().any(|seed| {
            let mut fleet = Fleet::new(seed, settings);
            fleet.run(RUN_TIME);
            !fleet.overlaps.is_empty()
        });
        assert!(detected, "{name}");
    }
}
