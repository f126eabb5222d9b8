//! Small signed bundles.

use std::net::SocketAddr;

use grebepin_bundle::{digest, public_key, sign, SigningKey};
use grebepin_schema::{Bundle, Digest, OperatorName, SignedBundle, TrustedOperator};
use serde_json::{json, Value};

/// The operator that signs all test bundles.
pub fn operator() -> TrustedOperator {
    TrustedOperator {
        name: operator_name(),
        public_key: public_key(&key()),
    }
}

fn operator_name() -> OperatorName {
    "rosa".parse().expect("a name")
}

fn key() -> SigningKey {
    SigningKey::from_bytes(&[7; 32])
}

/// A bundle of one service with four shards. `note` distinguishes bundles of the same version.
pub fn bundle(version: u64, parent: Option<Digest>, note: &str) -> SignedBundle {
    let address = "127.0.0.1:9001".parse().expect("an address");
    let servers = [("ledger-1", address)];
    let mut bundle = unsigned(4, &servers);
    bundle.version = version;
    bundle.parent = parent;
    bundle.note = Some(note.to_owned());
    signed(bundle)
}

/// A bundle of one service with this many servers.
pub fn bundle_of_servers(version: u64, parent: Option<Digest>, count: u16) -> SignedBundle {
    let names: Vec<String> = (0..count)
        .map(|number| format!("ledger-{number}"))
        .collect();
    let address = |number: usize| SocketAddr::from(([127, 0, 0, 1], 10_000 + number as u16));
    let servers: Vec<(&str, SocketAddr)> = names
        .iter()
        .enumerate()
        .map(|(number, name)| (name.as_str(), address(number)))
        .collect();
    let mut bundle = unsigned(4, &servers);
    bundle.version = version;
    bundle.parent = parent;
    signed(bundle)
}

/// A bundle of version 1 of one service with these servers.
pub fn bundle_of(shards: u32, servers: &[(&str, SocketAddr)]) -> SignedBundle {
    signed(unsigned(shards, servers))
}

fn unsigned(shards: u32, servers: &[(&str, SocketAddr)]) -> Bundle {
    let server = |(name, address): &(&str, SocketAddr)| {
        json!({
            "name": name, "address": address.to_string(), "zone": "a", "side": "old",
            "slots": 2, "connections": 10
        })
    };
    let servers: Vec<Value> = servers.iter().map(server).collect();
    serde_json::from_value(json!({
        "deployment": "test",
        "version": 1,
        "services": [{
            "name": "ledger",
            "shards": shards,
            "sides": [{"side": "old", "share": 1}],
            "servers": servers,
            "classes": [{
                "name": "all", "path_prefix": "/", "repeatable": true, "priority": 0,
                "deadline_ms": 1000
            }],
            "queue": {"waiting_per_server": 10},
            "retry": {"budget_percent": 10, "attempts": 2},
            "churn": {"concurrent_moves": 4, "imbalance_percent": 10, "moves_per_minute": 100}
        }]
    }))
    .expect("a bundle of the schema")
}

fn signed(bundle: Bundle) -> SignedBundle {
    let signature = sign(&bundle, &operator_name(), &key());
    SignedBundle {
        bundle,
        signatures: vec![signature],
    }
}

/// Digest of a bundle, for the `parent` field of the next one.
pub fn digest_of(signed: &SignedBundle) -> Digest {
    digest(&signed.bundle)
}
