//! Fixtures of the tests of leases and placement: a sharded service and heartbeats of its servers.

use std::time::Duration;

use grebepin_catalog::{
    Catalog, Command, InstanceId, Item, ItemChange, ItemContent, Service, Version,
};
use grebepin_grants::{Heartbeat, Timing};

/// Name of the service.
pub const SERVICE: &str = "ledger";

/// State with the service and no servers. `warmup_rate` is the load that its servers can take while they
/// warm up.
pub fn sharded_service(warmup_rate: Option<f64>) -> Catalog {
    let item = Item {
        name: SERVICE.to_owned(),
        version: Version(1),
        content: ItemContent::Service(Service {
            maximum_connections: 100,
            sharded: true,
            warmup_rate,
        }),
        document: String::new(),
    };
    let mut catalog = Catalog::default();
    catalog.apply(&Command::ChangeItems(ItemChange {
        upserts: vec![item],
        removals: Vec::new(),
    }));
    catalog
}

/// Heartbeat of a server with two slots that holds no shard; `host` is a part of its address.
pub fn heartbeat(id: &InstanceId, host: u64, sequence: u64) -> Heartbeat {
    Heartbeat {
        id: id.clone(),
        service: SERVICE.to_owned(),
        address: format!("10.0.0.{host}:80"),
        zone: "z".to_owned(),
        slots: 2,
        draining: false,
        warmup_left: Duration::ZERO,
        sequence,
        holds: Some(Vec::new()),
        freed: Vec::new(),
    }
}

/// Leases of 4 s, renewed every 1.3 s.
#[allow(dead_code, reason = "placement has longer leases of its own")]
pub fn timing() -> Timing {
    Timing {
        lease: Duration::from_secs(4),
        heartbeat_interval: Duration::from_millis(1_300),
        drain_window: Duration::from_millis(1_000),
        evacuation_window: Duration::from_millis(1_500),
        server_timeout: Duration::from_secs(13),
    }
}
