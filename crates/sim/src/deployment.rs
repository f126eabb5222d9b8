//! The simulated deployment: names, addresses, bundles and their signatures.

use std::num::{NonZeroU32, NonZeroU64};

use grebepin_bundle::SigningKey;
use grebepin_schema::{
    Bundle, ChurnPolicy, ClusterId, Digest, QueuePolicy, RequestClass, RetryPolicy, Server,
    ServerName, Service, SideShare, SignedBundle, SocketAddress, TrustedOperator, ZoneName,
};

use crate::process::{Process, ZONES};

/// Number of control replicas.
pub const CONTROLS: usize = 3;
/// Number of back-end servers.
pub const SERVERS: usize = 4;
/// Number of routers.
pub const ROUTERS: usize = 2;
/// Name of the only service.
pub const SERVICE: &str = "ledger";
/// Number of shards of the service.
pub const SHARDS: u32 = 8;
/// Maximum number of requests that a server runs concurrently.
pub const SLOTS: u32 = 6;
/// Class of requests that may not be repeated.
pub const APPROVAL: &str = "approval";
/// Class of requests that may be repeated.
pub const LOOKUP: &str = "lookup";
/// Names of the two sides of the migration.
pub const SIDES: [&str; 2] = ["old", "new"];
/// Operators whose signatures the control replicas accept.
pub const OPERATORS: [&str; 2] = ["ana", "bo"];

/// Ports of a control replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Port {
    /// Connections of other replicas.
    Peer = 7001,
    /// Connections of routers.
    Router = 7002,
    /// Requests of operators.
    Admin = 7003,
}

/// Parses a name of a schema type.
///
/// # Panics
/// The text is not a valid name.
pub fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("names of the simulation are valid")
}

/// Address of one port of a control replica.
pub fn control_address(number: usize, port: Port) -> SocketAddress {
    name(&format!("10.0.0.{}:{}", number + 1, port as u16))
}

/// Address of a server.
pub fn server_address(number: usize) -> SocketAddress {
    name(&format!("10.0.1.{}:8000", number + 1))
}

/// The process that listens on an address; `None` for addresses outside the deployment.
pub fn process_at(address: &SocketAddress) -> Option<Process> {
    let (host, _) = address.as_str().split_once(':')?;
    let (network, number) = host.rsplit_once('.')?;
    let number = number.parse::<usize>().ok()?.checked_sub(1)?;
    match network {
        "10.0.0" => Some(Process::Control(number)),
        "10.0.1" => Some(Process::Server(number)),
        _ => None,
    }
}

/// Zone of a process.
pub fn zone_of(process: Process) -> ZoneName {
    name(ZONES[process.zone().unwrap_or(0)])
}

/// Name of a server.
pub fn server_name(number: usize) -> ServerName {
    name(&Process::Server(number).name())
}

/// Cluster identifier used to found the group.
pub fn cluster() -> ClusterId {
    name(&"5".repeat(32))
}

fn signing_key(operator: usize) -> SigningKey {
    SigningKey::from_bytes(&[operator as u8 + 1; 32])
}

/// The operators that the control replicas trust.
pub fn trusted_operators() -> Vec<TrustedOperator> {
    let operators = OPERATORS.iter().enumerate();
    operators
        .map(|(number, operator)| TrustedOperator {
            name: name(operator),
            public_key: grebepin_bundle::public_key(&signing_key(number)),
        })
        .collect()
}

/// A bundle signed by every operator.
pub fn sign(bundle: Bundle) -> SignedBundle {
    let operators = OPERATORS.iter().enumerate();
    let signatures = operators
        .map(|(number, operator)| {
            grebepin_bundle::sign(&bundle, &name(operator), &signing_key(number))
        })
        .collect();
    SignedBundle { bundle, signatures }
}

/// A bundle of the given version that assigns `new_share` percent of the shards to the new side.
pub fn bundle(version: u64, parent: Option<Digest>, new_share: u32, note: &str) -> Bundle {
    Bundle {
        deployment: name("sim"),
        version,
        services: vec![service(new_share)],
        parent,
        note: Some(note.to_string()),
    }
}

fn service(new_share: u32) -> Service {
    let shares = [100 - new_share.min(100), new_share.min(100)];
    let sides = SIDES.iter().zip(shares);
    Service {
        name: name(SERVICE),
        shards: count(SHARDS),
        sides: sides
            .map(|(side, share)| SideShare {
                side: name(side),
                share,
            })
            .collect(),
        servers: (0..SERVERS).map(server).collect(),
        classes: vec![
            class(APPROVAL, "/approve", false, 0),
            class(LOOKUP, "/lookup", true, 1),
        ],
        queue: QueuePolicy {
            waiting_per_server: 16,
        },
        retry: RetryPolicy {
            budget_percent: 50,
            attempts: count(3),
        },
        churn: ChurnPolicy {
            moves_per_minute: 600,
            concurrent_moves: count(4),
            imbalance_percent: 25,
        },
    }
}

fn server(number: usize) -> Server {
    Server {
        name: server_name(number),
        address: server_address(number),
        zone: zone_of(Process::Server(number)),
        side: name(SIDES[number % SIDES.len()]),
        slots: count(SLOTS),
        connections: count(100),
        weight: count(100),
    }
}

fn class(class: &str, path_prefix: &str, repeatable: bool, priority: u32) -> RequestClass {
    RequestClass {
        name: name(class),
        path_prefix: path_prefix.to_string(),
        repeatable,
        priority,
        deadline_ms: NonZeroU64::new(1_000).expect("not zero"),
        method: None,
    }
}

fn count(number: u32) -> NonZeroU32 {
    NonZeroU32::new(number).expect("counts of the simulation are not zero")
}
