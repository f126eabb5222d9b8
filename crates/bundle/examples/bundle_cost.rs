//! Prints the size of bundles and the time to process them, by the number of servers. Each time is the
//! minimum of several runs.
//!
//! `cargo run --release -p grebepin-bundle --example bundle_cost`

use std::time::{Duration, Instant};

use grebepin_bundle::{canonical_bytes, check, digest, public_key, sign, verify, SigningKey};
use grebepin_schema::{Bundle, OperatorName, Server, SignedBundle, TrustedOperator};

const EXAMPLE: &str = include_str!("../../../deployments/recife/bundle-1.json");
const SERVERS: &[usize] = &[28, 1000, 5000, 15_000];
const OPERATORS: u8 = 3;
const RUNS: u32 = 5;

fn main() {
    println!("servers  canonical KB  digest ms  check ms  verify (3 of 3) ms");
    for servers in SERVERS {
        let signed = signed(bundle(*servers));
        let bundle = &signed.bundle;
        println!(
            "{servers:>7}  {:>12.1}  {:>9.2}  {:>8.2}  {:>18.2}",
            canonical_bytes(bundle).len() as f64 / 1024.0,
            milliseconds(|| drop(digest(bundle))),
            milliseconds(|| check(bundle).expect("valid")),
            milliseconds(|| drop(verify(&signed, &trusted(), OPERATORS.into()).expect("valid"))),
        );
    }
}

/// A bundle with the first service of the example and this number of servers.
fn bundle(servers: usize) -> Bundle {
    let mut bundle: Bundle = serde_json::from_str(EXAMPLE).expect("the example parses");
    bundle.services.truncate(1);
    let service = &mut bundle.services[0];
    let (first, last) = (service.servers[0].clone(), service.servers[14].clone());
    service.servers = (0..servers)
        .map(|number| numbered(if number % 2 == 0 { &first } else { &last }, number))
        .collect();
    bundle
}

fn numbered(server: &Server, number: usize) -> Server {
    let (third, fourth) = (number / 250, number % 250 + 1);
    Server {
        name: format!("server-{number:05}").parse().expect("a name"),
        address: format!("10.1.{third}.{fourth}:7100")
            .parse()
            .expect("an address"),
        ..server.clone()
    }
}

fn key(number: u8) -> SigningKey {
    SigningKey::from_bytes(&[number; 32])
}

fn name(number: u8) -> OperatorName {
    format!("operator-{number}").parse().expect("a name")
}

fn trusted() -> Vec<TrustedOperator> {
    (1..=OPERATORS)
        .map(|number| TrustedOperator {
            name: name(number),
            public_key: public_key(&key(number)),
        })
        .collect()
}

fn signed(bundle: Bundle) -> SignedBundle {
    let signatures = (1..=OPERATORS).map(|number| sign(&bundle, &name(number), &key(number)));
    SignedBundle {
        signatures: signatures.collect(),
        bundle,
    }
}

fn milliseconds(run: impl Fn()) -> f64 {
    let time = |_| {
        let started = Instant::now();
        run();
        started.elapsed()
    };
    let least = (0..RUNS).map(time).min().unwrap_or(Duration::ZERO);
    least.as_secs_f64() * 1000.0
}
