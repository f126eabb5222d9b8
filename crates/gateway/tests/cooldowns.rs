//! Servers that asked a gateway for no requests for a time.

mod cooldown_simulation;

use std::time::Duration;

use cooldown_simulation::{Scene, Way};
use grebepin_catalog::InstanceId;
use grebepin_gateway::cooldowns::Cooldowns;

/// Part of the callers that are served in the end, where the server could run them all.
const LEAST_SERVED: f64 = 0.85;

fn at(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

#[test]
fn a_time_is_never_shortened_and_ends_by_itself() {
    let mut cooldowns = Cooldowns::default();
    let id = InstanceId::new("i-1");
    assert!(cooldowns.note(&id, at(1_000), at(3_000)));
    assert!(!cooldowns.note(&id, at(1_100), at(200)), "shorter");
    assert!(!cooldowns.note(&id, at(1_200), at(3_000)), "longer");
    assert!(cooldowns.remaining(&id, at(4_199)).is_some());
    assert_eq!(cooldowns.count(at(4_199)), 1);
    let over = at(10_000);
    assert_eq!(cooldowns.remaining(&id, over), None);
    assert_eq!(cooldowns.count(over), 0);
    assert!(cooldowns.note(&id, over, at(1)), "begins anew");
}

#[test]
fn another_life_of_a_server_and_one_that_ended_are_not_meant() {
    let mut cooldowns = Cooldowns::default();
    let id = InstanceId::started_at("i-1", 1_000);
    cooldowns.note(&id, at(0), at(60_000));
    let reborn = InstanceId::started_at("i-1", 2_000);
    assert_eq!(cooldowns.remaining(&reborn, at(100)), None);
    cooldowns.retain(at(100), |_| false);
    assert_eq!(cooldowns.remaining(&id, at(100)), None);
}

/// Callers who can outwait the time come back spread over a while after its end, whichever gateway refused them.
#[test]
fn gateways_stay_away_and_callers_come_back_spread_out_at_every_fleet_size() {
    let way = Way {
        gateway_spread: 0.0,
        caller_spread: None,
        shared_after: None,
    };
    for gateways in [1, 3, 11, 80, 300, 984] {
        for asks_for_rest in [false, true] {
            let scene = Scene {
                gateways,
                asked: 0.5,
                cooldown: at(3_000),
                asks_for_rest,
                patience: at(6_000),
                obeyed_part: 1.0,
            };
            for seed in 0..5 {
                let seen = scene.play(way, seed);
                assert_eq!(seen.worst, 0, "{gateways} gateways, seed {seed}: {seen:?}");
                let served = seen.served_during.min(seen.served_after);
                assert!(
                    served >= LEAST_SERVED,
                    "{gateways} gateways, seed {seed}: {seen:?}"
                );
            }
        }
    }
}
