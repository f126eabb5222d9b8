//! Cooldowns that servers ask a gateway for.

mod cooldown_simulation;

use std::time::Duration;

use cooldown_simulation::{Policy, Scenario};
use grebepin_catalog::InstanceId;
use grebepin_gateway::cooldowns::Cooldowns;

/// Minimum fraction of the callers that are served in the end, when the server has capacity for all of them.
const MINIMUM_SERVED: f64 = 0.85;

fn at(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

#[test]
fn a_cooldown_is_never_shortened_and_expires() {
    let mut cooldowns = Cooldowns::default();
    let id = InstanceId::new("i-1");
    assert!(cooldowns.note(&id, at(1_000), at(3_000)));
    assert!(!cooldowns.note(&id, at(1_100), at(200)), "shorter");
    assert!(!cooldowns.note(&id, at(1_200), at(3_000)), "longer");
    assert!(cooldowns.remaining(&id, at(4_199)).is_some());
    assert_eq!(cooldowns.count(at(4_199)), 1);
    let after_end = at(10_000);
    assert_eq!(cooldowns.remaining(&id, after_end), None);
    assert_eq!(cooldowns.count(after_end), 0);
    assert!(cooldowns.note(&id, after_end, at(1)), "a new cooldown");
}

#[test]
fn a_cooldown_does_not_apply_to_a_restarted_server_and_ends_with_its_instance() {
    let mut cooldowns = Cooldowns::default();
    let id = InstanceId::started_at("i-1", 1_000);
    cooldowns.note(&id, at(0), at(60_000));
    let restarted = InstanceId::started_at("i-1", 2_000);
    assert_eq!(cooldowns.remaining(&restarted, at(100)), None);
    cooldowns.retain(at(100), |_| false);
    assert_eq!(cooldowns.remaining(&id, at(100)), None);
}

/// Callers whose timeout is longer than the cooldown retry at random times after its end, whichever gateway
/// refused them.
#[test]
fn gateways_respect_cooldowns_and_caller_retries_are_spread_out_at_every_fleet_size() {
    let policy = Policy {
        gateway_jitter: 0.0,
        caller_jitter: None,
        shared_after: None,
    };
    for gateways in [1, 3, 11, 80, 300, 984] {
        for states_remaining in [false, true] {
            let scenario = Scenario {
                gateways,
                load: 0.5,
                cooldown: at(3_000),
                states_remaining,
                caller_timeout: at(6_000),
                obeyed_fraction: 1.0,
            };
            for seed in 0..5 {
                let outcome = scenario.run(policy, seed);
                assert_eq!(
                    outcome.worst, 0,
                    "{gateways} gateways, seed {seed}: {outcome:?}"
                );
                let served = outcome.served_during.min(outcome.served_after);
                assert!(
                    served >= MINIMUM_SERVED,
                    "{gateways} gateways, seed {seed}: {outcome:?}"
                );
            }
        }
    }
}
