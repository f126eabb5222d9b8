//! Bundles, and a simulation of a coordinator and real holders with a simulated network.
#![allow(dead_code, unused_imports)] // Each test file uses a part.

mod calls;
pub mod fleet;
mod network;
mod world;

pub use network::Network;
pub use world::World;

use std::num::NonZeroU32;
use std::time::Duration;

use grebepin_bundle::digest;
use grebepin_ownership::{CoordinatorConfig, Guards};
use grebepin_schema::{
    AcceptBundle, Bundle, ChurnPolicy, Command, Digest, GroupId, QueuePolicy, RetryPolicy, Server,
    ServerName, Service, ServiceName, SideShare, SignedBundle,
};

pub const LEASE: Duration = Duration::from_millis(1000);
pub const HEARTBEAT: Duration = Duration::from_millis(200);
pub const LEADER_LEASE: Duration = Duration::from_millis(300);
pub const DRIFT_PERCENT: u32 = 2;

pub fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

pub fn config(guards: Guards) -> CoordinatorConfig {
    CoordinatorConfig {
        group: GroupId(0),
        lease: LEASE,
        heartbeat: HEARTBEAT,
        drift_percent: DRIFT_PERCENT,
        leader_lease: LEADER_LEASE,
        guards,
    }
}

pub fn server_name(number: usize) -> ServerName {
    format!("server-{number}").parse().expect("a name")
}

pub fn service_name(name: &str) -> ServiceName {
    name.parse().expect("a name")
}

/// A server on side `old` or `new`, by the parity of its number.
pub fn server(number: usize) -> Server {
    let side = ["old", "new"][number % 2];
    Server {
        name: server_name(number),
        address: format!("127.0.0.1:{}", 7000 + number)
            .parse()
            .expect("an address"),
        zone: "zone-a".parse().expect("a name"),
        side: side.parse().expect("a name"),
        slots: NonZeroU32::MIN,
        connections: NonZeroU32::MIN,
        weight: NonZeroU32::new(100).expect("not 0"),
    }
}

pub fn service(name: &str, shards: u32, servers: &[usize], shares: [u32; 2]) -> Service {
    let share = |(side, share): (&str, u32)| SideShare {
        side: side.parse().expect("a name"),
        share,
    };
    Service {
        name: service_name(name),
        shards: NonZeroU32::new(shards).expect("not 0"),
        sides: ["old", "new"].into_iter().zip(shares).map(share).collect(),
        servers: servers.iter().map(|&number| server(number)).collect(),
        classes: Vec::new(),
        queue: QueuePolicy {
            waiting_per_server: 1,
        },
        retry: RetryPolicy {
            attempts: NonZeroU32::MIN,
            budget_percent: 0,
        },
        churn: ChurnPolicy {
            moves_per_minute: 6_000,
            concurrent_moves: NonZeroU32::new(8).expect("not 0"),
            imbalance_percent: 20,
        },
    }
}

pub fn bundle(version: u64, parent: Option<Digest>, services: Vec<Service>) -> Bundle {
    Bundle {
        deployment: "test".parse().expect("a name"),
        version,
        parent,
        note: None,
        services,
    }
}

/// The command that submits a bundle, and the bundle's digest.
pub fn accept(bundle: Bundle) -> (Command, Digest) {
    let digest = digest(&bundle);
    let command = Command::AcceptBundle(AcceptBundle {
        digest: digest.clone(),
        signed: SignedBundle {
            bundle,
            signatures: Vec::new(),
        },
    });
    (command, digest)
}
