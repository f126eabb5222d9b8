//! Measures the leader's work for the first heartbeats of a service, in which the given number of
//! servers register and take shards.
//!
//! `cargo run --release -p grebepin-grants --example assignment_cost -- 484`

use std::time::{Duration, Instant};

use grebepin_catalog::{
    Catalog, Command, InstanceId, Item, ItemChange, ItemContent, Service, Version,
};
use grebepin_grants::{Coordinator, Heartbeat, HeartbeatOutcome, Timing};

const SERVICE: &str = "ledger";
const HEARTBEAT: Duration = Duration::from_millis(1_500);
const ROUNDS: u64 = 6;

fn heartbeat(number: u32, sequence: u64) -> Heartbeat {
    Heartbeat {
        id: InstanceId::new(&format!("i-{number:05}")),
        service: SERVICE.to_owned(),
        address: format!("10.0.0.1:{number}"),
        zone: "z".to_owned(),
        slots: 4,
        draining: false,
        warmup_left: Duration::ZERO,
        sequence,
        holds: Some(Vec::new()),
        freed: Vec::new(),
    }
}

fn main() {
    let servers: u32 = std::env::args()
        .nth(1)
        .and_then(|text| text.parse().ok())
        .unwrap_or(484);
    let mut catalog = Catalog::default();
    let service = Service {
        maximum_connections: 1_800,
        sharded: true,
        warmup_rate: None,
    };
    catalog.apply(&Command::ChangeItems(ItemChange {
        upserts: vec![Item {
            name: SERVICE.to_owned(),
            version: Version(1),
            content: ItemContent::Service(service),
            document: String::new(),
        }],
        removals: Vec::new(),
    }));
    let timing = Timing {
        lease: Duration::from_millis(3_700),
        heartbeat_interval: HEARTBEAT,
        drain_window: Duration::from_secs(1),
        evacuation_window: Duration::from_millis(1_500),
        server_timeout: Duration::from_secs(15),
    };
    let mut coordinator = Coordinator::new(timing, Duration::ZERO);
    for round in 0..ROUNDS {
        let began = Instant::now();
        for number in 0..servers {
            let now = HEARTBEAT * round as u32 + HEARTBEAT * number / servers;
            let heartbeat = heartbeat(number, round + 1);
            if let HeartbeatOutcome::Fresh(commands) =
                coordinator.on_heartbeat(now, &catalog, &heartbeat)
            {
                for command in &commands {
                    catalog.apply(command);
                }
            }
            coordinator.grant(now, &catalog, &heartbeat);
        }
        let each = began.elapsed().as_secs_f64() * 1e6 / f64::from(servers);
        let unowned = catalog
            .ownership(SERVICE)
            .map_or(0, |ownership| ownership.unowned().len());
        println!("round {round}: {each:.1} us a heartbeat, {unowned} shards without an owner");
    }
}
