//! Compares policies for the retries of gateways and callers after a cooldown that a server asked for.
//! Simulates a key owner, its callers and all gateways in virtual time. Prints for each policy how many
//! requests reached the server during the cooldown, how many it shed in the second after it, and which
//! fraction of the callers was served.
//!
//! `cargo run --release -p grebepin-gateway --example cooldown_policies`

#[path = "../tests/cooldown_simulation/mod.rs"]
mod cooldown_simulation;

use std::time::Duration;

use cooldown_simulation::{Outcome, Policy, Scenario};

const SEEDS: u64 = 20;

fn policy(gateway_jitter: f64, caller_jitter: f64, shared_after_ms: Option<u64>) -> Policy {
    Policy {
        gateway_jitter,
        caller_jitter: Some(caller_jitter),
        shared_after: shared_after_ms.map(Duration::from_millis),
    }
}

fn main() {
    let policies = [
        ("alone", policy(0.0, 0.0, None)),
        ("alone, gateways spread by 0.1", policy(0.1, 0.0, None)),
        ("alone, callers spread by 0.1", policy(0.0, 0.1, None)),
        ("alone, callers spread by 0.25", policy(0.0, 0.25, None)),
        ("alone, callers spread by 0.5", policy(0.0, 0.5, None)),
        ("shared in 100 ms", policy(0.0, 0.0, Some(100))),
        (
            "shared, callers spread by 0.25",
            policy(0.0, 0.25, Some(100)),
        ),
    ];
    println!("gateways, load, caller timeout, obeyed, remaining time stated: policy: requests during cooldown, worst of one gateway, shed after, served of callers that arrived during and after");
    for gateways in [3, 11, 80, 300, 984] {
        for (load, caller_timeout, obeyed_fraction) in [
            (0.5, 0.8, 0.33),
            (0.9, 0.8, 0.33),
            (0.5, 6.0, 1.0),
            (0.9, 6.0, 1.0),
        ] {
            for states_remaining in [false, true] {
                let scenario = Scenario {
                    gateways,
                    load,
                    cooldown: Duration::from_secs(3),
                    states_remaining,
                    caller_timeout: Duration::from_secs_f64(caller_timeout),
                    obeyed_fraction,
                };
                for (name, policy) in policies {
                    let all: Vec<Outcome> =
                        (0..SEEDS).map(|seed| scenario.run(policy, seed)).collect();
                    let mean =
                        |of: fn(&Outcome) -> f64| all.iter().map(of).sum::<f64>() / SEEDS as f64;
                    println!(
                        "{gateways:4} {load} {caller_timeout} {obeyed_fraction} {states_remaining:5}: {name:32} {:5.1} {:2} {:5.1} {:.3} {:.3}",
                        mean(|outcome| outcome.reached as f64),
                        all.iter().map(|outcome| outcome.worst).max().unwrap_or_default(),
                        mean(|outcome| outcome.shed as f64),
                        mean(|outcome| outcome.served_during),
                        mean(|outcome| outcome.served_after),
                    );
                }
            }
        }
    }
}
