//! When should gateways and callers come back to a server that asked for no requests for a time? Plays an owner of keys, its
//! callers and all gateways on virtual time, and prints for each way what reached the server meanwhile, what it shed in
//! the second after, and which part of the callers was served.
//!
//! `cargo run --release -p grebepin-gateway --example cooldown_policies`

#[path = "../tests/cooldown_simulation/mod.rs"]
mod cooldown_simulation;

use std::time::Duration;

use cooldown_simulation::{Scene, Seen, Way};

const SEEDS: u64 = 20;

fn way(gateway_spread: f64, caller_spread: f64, shared_after_ms: Option<u64>) -> Way {
    Way {
        gateway_spread,
        caller_spread: Some(caller_spread),
        shared_after: shared_after_ms.map(Duration::from_millis),
    }
}

fn main() {
    let ways = [
        ("alone", way(0.0, 0.0, None)),
        ("alone, gateways spread by 0.1", way(0.1, 0.0, None)),
        ("alone, callers spread by 0.1", way(0.0, 0.1, None)),
        ("alone, callers spread by 0.25", way(0.0, 0.25, None)),
        ("alone, callers spread by 0.5", way(0.0, 0.5, None)),
        ("shared in 100 ms", way(0.0, 0.0, Some(100))),
        ("shared, callers spread by 0.25", way(0.0, 0.25, Some(100))),
    ];
    println!("gateways, asked, patience, obeyed, one end for all: way: reached meanwhile, worst of one gateway, shed after, served of those who came meanwhile and after");
    for gateways in [3, 11, 80, 300, 984] {
        for (asked, patience, obeyed_part) in [
            (0.5, 0.8, 0.33),
            (0.9, 0.8, 0.33),
            (0.5, 6.0, 1.0),
            (0.9, 6.0, 1.0),
        ] {
            for asks_for_rest in [false, true] {
                let scene = Scene {
                    gateways,
                    asked,
                    cooldown: Duration::from_secs(3),
                    asks_for_rest,
                    patience: Duration::from_secs_f64(patience),
                    obeyed_part,
                };
                for (name, way) in ways {
                    let all: Vec<Seen> = (0..SEEDS).map(|seed| scene.play(way, seed)).collect();
                    let mean =
                        |of: fn(&Seen) -> f64| all.iter().map(of).sum::<f64>() / SEEDS as f64;
                    println!(
                        "{gateways:4} {asked} {patience} {obeyed_part} {asks_for_rest:5}: {name:32} {:5.1} {:2} {:5.1} {:.3} {:.3}",
                        mean(|seen| seen.during as f64),
                        all.iter().map(|seen| seen.worst).max().unwrap_or_default(),
                        mean(|seen| seen.shed as f64),
                        mean(|seen| seen.served_during),
                        mean(|seen| seen.served_after),
                    );
                }
            }
        }
    }
}
