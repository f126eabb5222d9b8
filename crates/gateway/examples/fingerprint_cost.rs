//! Measures the time that the fingerprint of a request takes.
//!
//! `cargo run --release -p grebepin-gateway --example fingerprint_cost`

#[path = "../tests/header_names/mod.rs"]
mod header_names;

use std::hint::black_box;
use std::time::Instant;

use grebepin_gateway::crash_history::fingerprint;
use grebepin_reactor::http::{Fields, Request};
use header_names::NAMES;

const ROUNDS: u32 = 1_000_000;
const BODY_BYTES: usize = 4 << 10;

fn main() {
    let mut fields = Fields::default();
    fields.push("Host", b"shop.example");
    fields.push("X-Key", b"12345");
    let request = Request {
        method: "POST".to_owned(),
        target: "/orders/1234".to_owned(),
        fields,
        body: vec![7; BODY_BYTES].into(),
        keeps_alive: true,
    };
    let started = Instant::now();
    for _ in 0..ROUNDS {
        black_box(fingerprint(black_box(&request), &NAMES));
    }
    println!(
        "{:?} per request with a body of {BODY_BYTES} bytes",
        started.elapsed() / ROUNDS
    );
}
