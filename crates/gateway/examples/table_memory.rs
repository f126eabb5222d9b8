//! Measures the memory that the replicated state takes in a gateway: the bytes that tables of several sizes
//! request from the allocator, without the allocator's own overhead.
//!
//! `cargo run --release -p grebepin-gateway --example table_memory`

use std::time::{Duration, Instant};

use grebepin_catalog::{
    Catalog, Command, Instance, InstanceId, InstanceState, Item, ItemChange, ItemContent,
    RequestKind, Route, Service, Version, WeightedService, SHARDS,
};
use grebepin_gateway::table::Table;
use grebepin_gateway::undecided::UndecidedChanges;
use grebepin_reactor::{compress, decode_frame, encode_frame};
use peak_alloc::PeakAlloc;

#[global_allocator]
static ALLOCATOR: PeakAlloc = PeakAlloc;

fn service(name: &str, sharded: bool) -> Item {
    Item {
        name: name.to_owned(),
        version: Version(1),
        content: ItemContent::Service(Service {
            maximum_connections: 1_800,
            sharded,
            warmup_rate: None,
        }),
        document: String::new(),
    }
}

fn route(number: usize) -> Item {
    Item {
        name: format!("r-{number:07}"),
        version: Version(1),
        content: ItemContent::Route(Route {
            host: format!("host{}.example", number % 7),
            prefix: format!("/prefix{number}/"),
            kind: RequestKind::Safe,
            target_latency: Duration::from_millis(500),
            timeout: Duration::from_secs(1),
            maximum_attempts: 2,
            priority: 2,
            targets: vec![WeightedService {
                service: "keyed".to_owned(),
                weight: 1,
            }],
        }),
        document: String::new(),
    }
}

fn catalog(servers: usize, shards: usize, routes: usize) -> Catalog {
    let mut catalog = Catalog::default();
    let mut upserts = vec![service("keyed", true), service("pooled", false)];
    upserts.extend((0..routes).map(route));
    let removals = Vec::new();
    catalog.apply(&Command::ChangeItems(ItemChange { upserts, removals }));
    for number in 0..servers {
        let id = InstanceId::started_at(&format!("i-{number:010x}"), 1_779_050_669_000);
        catalog.apply(&Command::Register(Instance {
            id: id.clone(),
            service: ["keyed", "pooled"][number % 2].to_owned(),
            address: format!(
                "10.{}.{}.{}:8342",
                number % 5,
                number / 250 % 250,
                number % 250
            ),
            zone: ["boa-vista", "imbiribeira", "santo-amaro"][number % 3].to_owned(),
            slots: 2,
            state: InstanceState::Ready,
            is_cold: false,
        }));
        if number < shards {
            catalog.apply(&Command::AssignShards {
                service: "keyed".to_owned(),
                id,
                shards: vec![number as u16],
                sequence: None,
            });
        }
    }
    catalog
}

fn main() {
    println!("| servers | shards owned | routes | bytes held | peak bytes while decoding | bytes on the wire | compressed | ms to decode | ms to index |");
    println!("| ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |");
    for (servers, shards, routes) in [
        (0, 0, 0),
        (10_000, 0, 0),
        (10_000, SHARDS, 0),
        (10_000, SHARDS, 256),
        (20_000, SHARDS, 256),
    ] {
        let mut frame = Vec::new();
        encode_frame(&catalog(servers, shards, routes), &mut frame).expect("it encodes");
        let packed = compress(&frame[4..]).expect("it packs").len();
        let before = ALLOCATOR.current_usage();
        ALLOCATOR.reset_peak_usage();
        let began = Instant::now();
        let state: Catalog = decode_frame(&frame[4..]).expect("it decodes");
        let decoded = began.elapsed();
        let mut table = Table::new("g", "boa-vista");
        table.replace(1, state, UndecidedChanges::default());
        let indexed = began.elapsed() - decoded;
        let held = ALLOCATOR.current_usage() - before;
        let peak = ALLOCATOR.peak_usage() - before;
        println!(
            "| {servers} | {shards} | {routes} | {held} | {peak} | {} | {packed} | {:.1} | {:.1} |",
            frame.len(),
            decoded.as_secs_f64() * 1e3,
            indexed.as_secs_f64() * 1e3
        );
    }
}
