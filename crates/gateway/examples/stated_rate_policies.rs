//! How should gateways share the rate that a server states? Plays one server and all gateways on virtual time, and
//! prints for each way the part of the rate that is used and the worst window.
//!
//! `cargo run --release -p grebepin-gateway --example stated_rate_policies`

#[path = "../tests/rate_sharing/mod.rs"]
mod rate_sharing;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use grebepin_grants::Permits;
use rate_sharing::{Got, Load, Permitted, Sharing, Turns};

const SEEDS: u64 = 20;
const SIZES: [u32; 5] = [3, 11, 80, 300, 984];
const RATES: [f64; 3] = [0.5, 3.7, 20.0];

/// A bucket of one token at each gateway, filled by an equal part of the rate.
struct Bucket {
    per_second: f64,
    tokens: f64,
    filled: Duration,
}

impl Sharing for Bucket {
    fn may_send(&mut self, now: Duration) -> bool {
        let passed = (now - self.filled).as_secs_f64();
        self.filled = now;
        self.tokens = (self.tokens + passed * self.per_second).min(1.0);
        let may = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(may));
        may
    }
}

/// Worst window and mean part used over all seeds.
fn sum(all: &[Got]) -> (usize, f64) {
    let worst = all.iter().map(|got| got.worst).max().unwrap_or(0);
    let used: f64 = all.iter().map(|got| got.used).sum();
    (worst, used / all.len() as f64)
}

fn main() {
    println!("gateways, rate, asked: used by each alone | a bucket | turns | permits; worst window by each, allowed");
    for gateways in SIZES {
        for rate in RATES {
            for (asked, crowd) in [(1.5, None), (3.0, None), (0.5, Some(30.0))] {
                let load = Load {
                    gateways,
                    rate,
                    asked,
                    crowd: crowd.map(|crowd| (Duration::from_secs(30), crowd)),
                    lasts: Duration::from_secs(60),
                };
                let bucket = |parts: u32| {
                    move |_| Bucket {
                        per_second: rate / f64::from(parts),
                        tokens: 0.0,
                        filled: Duration::ZERO,
                    }
                };
                let alone: Vec<Got> = (0..SEEDS).map(|seed| load.play(seed, bucket(1))).collect();
                let parts: Vec<Got> = (0..SEEDS)
                    .map(|seed| load.play(seed, bucket(gateways)))
                    .collect();
                let turns = |seed: u64| {
                    let server = format!("i-{seed}");
                    load.play(seed, |number| Turns::new(number, gateways, &server, rate))
                };
                let turns: Vec<Got> = (0..SEEDS).map(turns).collect();
                let permitted = |seed: u64| {
                    let leader = Rc::new(RefCell::new(Permits::default()));
                    load.play(seed, |_| Permitted::new(&leader, rate))
                };
                let permits: Vec<Got> = (0..SEEDS).map(permitted).collect();
                let allowed = turns[0].allowed;
                let [alone, parts, turns, permits] =
                    [alone, parts, turns, permits].map(|all| sum(&all));
                println!(
                    "{gateways:4} {rate:5} {asked}{}: {:.2} | {:.2} | {:.2} | {:.2}; {:4} | {:4} | {:4} | {:4} of {allowed:.1}",
                    if crowd.is_some() { " then 30" } else { "" },
                    alone.1, parts.1, turns.1, permits.1, alone.0, parts.0, turns.0, permits.0
                );
            }
        }
    }
}
