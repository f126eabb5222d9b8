//! Settings and bundles of a hollow run.

use std::num::{NonZeroU32, NonZeroU64};

use grebepin_bundle::{public_key, sign, SigningKey};
use grebepin_schema::{
    Bundle, ChurnPolicy, ControlSettings, Digest, OperatorName, QueuePolicy, RequestClass,
    RetryPolicy, Server, Service, SideShare, SignedBundle, SocketAddress, TrustedOperator,
};

/// Name of the one service.
pub const SERVICE: &str = "hollow";

const SIDE: &str = "only";
const OPERATOR: &str = "bench";
const KEY: [u8; 32] = [7; 32];
const MOVES_PER_MINUTE: u32 = 1_000_000;
const CONCURRENT_MOVES: u32 = 256;

/// Addresses of one control replica.
#[derive(Clone, Debug)]
pub struct ReplicaAddresses {
    /// For other replicas.
    pub peer: SocketAddress,
    /// For routers.
    pub router: SocketAddress,
    /// For operators.
    pub admin: SocketAddress,
}

/// Settings of replica `number`.
pub fn control_settings(
    number: usize,
    replicas: &[ReplicaAddresses],
    data_dir: String,
) -> ControlSettings {
    let own = &replicas[number];
    let others = replicas
        .iter()
        .enumerate()
        .filter(|(other, _)| *other != number);
    ControlSettings {
        zone: format!("zone-{number}").parse().expect("a name"),
        data_dir,
        peer_address: own.peer.clone(),
        router_address: own.router.clone(),
        admin_address: own.admin.clone(),
        peers: others.map(|(_, replica)| replica.peer.clone()).collect(),
        operators: vec![TrustedOperator {
            name: operator(),
            public_key: public_key(&SigningKey::from_bytes(&KEY)),
        }],
        required_signatures: NonZeroU32::MIN,
        group: 0,
        platform_address: None,
        timing: None,
    }
}

/// A bundle of one service with a server at each address, signed.
pub fn bundle(
    version: u64,
    parent: Option<Digest>,
    shards: NonZeroU32,
    servers: &[SocketAddress],
) -> SignedBundle {
    let bundle = Bundle {
        deployment: SERVICE.parse().expect("a name"),
        version,
        parent,
        note: Some(format!("version {version}")),
        services: vec![service(shards, servers)],
    };
    let signature = sign(&bundle, &operator(), &SigningKey::from_bytes(&KEY));
    SignedBundle {
        bundle,
        signatures: vec![signature],
    }
}

fn at_least_one(number: u32) -> NonZeroU32 {
    NonZeroU32::new(number).unwrap_or(NonZeroU32::MIN)
}

fn operator() -> OperatorName {
    OPERATOR.parse().expect("a name")
}

fn service(shards: NonZeroU32, servers: &[SocketAddress]) -> Service {
    let side: grebepin_schema::SideName = SIDE.parse().expect("a name");
    let server = |(number, address): (usize, &SocketAddress)| Server {
        name: format!("node-{number}").parse().expect("a name"),
        address: address.clone(),
        zone: format!("zone-{}", number % 3).parse().expect("a name"),
        side: side.clone(),
        slots: at_least_one(4),
        connections: at_least_one(130),
        weight: at_least_one(100),
    };
    Service {
        name: SERVICE.parse().expect("a name"),
        shards,
        sides: vec![SideShare {
            side: side.clone(),
            share: 100,
        }],
        servers: servers.iter().enumerate().map(server).collect(),
        classes: vec![RequestClass {
            name: "any".parse().expect("a name"),
            path_prefix: "/".to_string(),
            repeatable: false,
            priority: 0,
            deadline_ms: NonZeroU64::MIN.saturating_add(999),
            method: None,
        }],
        queue: QueuePolicy {
            waiting_per_server: 16,
        },
        retry: RetryPolicy {
            budget_percent: 10,
            attempts: at_least_one(2),
        },
        churn: ChurnPolicy {
            moves_per_minute: MOVES_PER_MINUTE,
            concurrent_moves: at_least_one(CONCURRENT_MOVES),
            imbalance_percent: 20,
        },
    }
}
