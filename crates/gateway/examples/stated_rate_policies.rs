//! Compares ways for gateways to share the rate that a server states. Simulates one server and all gateways
//! in virtual time, and prints for each way the fraction of the rate that is used and the largest number of
//! requests in a window.
//!
//! `cargo run --release -p grebepin-gateway --example stated_rate_policies`

#[path = "../tests/rate_sharing/mod.rs"]
mod rate_sharing;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use grebepin_grants::Permits;
use rate_sharing::{Load, Outcome, Permitted, Sharing, Turns};

const SEEDS: u64 = 20;
const SIZES: [u32; 5] = [3, 11, 80, 300, 984];
const RATES: [f64; 3] = [0.5, 3.7, 20.0];

/// Token bucket with a capacity of one token.
struct TokenBucket {
    per_second: f64,
    tokens: f64,
    filled: Duration,
}

impl Sharing for TokenBucket {
    fn may_send(&mut self, now: Duration) -> bool {
        let passed = (now - self.filled).as_secs_f64();
        self.filled = now;
        self.tokens = (self.tokens + passed * self.per_second).min(1.0);
        let may = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(may));
        may
    }
}

/// Largest number of requests in a window, and mean fraction of the rate used, over all seeds.
fn summarize(all: &[Outcome]) -> (usize, f64) {
    let worst = all.iter().map(|outcome| outcome.worst).max().unwrap_or(0);
    let used: f64 = all.iter().map(|outcome| outcome.used).sum();
    (worst, used / all.len() as f64)
}

fn main() {
    println!("gateways, rate, demand: fraction used with the whole rate at each gateway | token buckets | turns | permits; largest window with each, allowed");
    for gateways in SIZES {
        for rate in RATES {
            for (demand, surge) in [(1.5, None), (3.0, None), (0.5, Some(30.0))] {
                let load = Load {
                    gateways,
                    rate,
                    demand,
                    surge: surge.map(|surge| (Duration::from_secs(30), surge)),
                    duration: Duration::from_secs(60),
                };
                let bucket = |parts: u32| {
                    move |_| TokenBucket {
                        per_second: rate / f64::from(parts),
                        tokens: 0.0,
                        filled: Duration::ZERO,
                    }
                };
                let whole: Vec<Outcome> =
                    (0..SEEDS).map(|seed| load.run(seed, bucket(1))).collect();
                let divided: Vec<Outcome> = (0..SEEDS)
                    .map(|seed| load.run(seed, bucket(gateways)))
                    .collect();
                let turns = |seed: u64| {
                    let server = format!("i-{seed}");
                    load.run(seed, |number| Turns::new(number, gateways, &server, rate))
                };
                let turns: Vec<Outcome> = (0..SEEDS).map(turns).collect();
                let permitted = |seed: u64| {
                    let leader = Rc::new(RefCell::new(Permits::default()));
                    load.run(seed, |_| Permitted::new(&leader, rate))
                };
                let permits: Vec<Outcome> = (0..SEEDS).map(permitted).collect();
                let allowed = turns[0].allowed;
                let [whole, divided, turns, permits] =
                    [whole, divided, turns, permits].map(|all| summarize(&all));
                println!(
                    "{gateways:4} {rate:5} {demand}{}: {:.2} | {:.2} | {:.2} | {:.2}; {:4} | {:4} | {:4} | {:4} of {allowed:.1}",
                    if surge.is_some() { " then 30" } else { "" },
                    whole.1, divided.1, turns.1, permits.1, whole.0, divided.0, turns.0, permits.0
                );
            }
        }
    }
}
