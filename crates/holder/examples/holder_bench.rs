//! Measures CPU time and memory of a holder by number of shards and records, for docs/CAPACITY.md.
//!
//! `cargo run --release -p grebepin-holder --example holder_bench -- SHARDS`. Each process measures
//! one size, so that its resident memory belongs to that size alone.

use std::hint::black_box;
use std::time::{Duration, Instant};

use grebepin_holder::{Begun, Effect, Holder, HolderConfig, Request};
use grebepin_schema::{
    Epoch, Grant, GrantRequest, GroupId, HeartbeatRequest, LeaseRenewal, ServiceName, ShardId, Term,
};

const GROUP: GroupId = GroupId(1);
const LEASE_MS: u64 = 60_000;
const HEARTBEATS: u32 = 2_000;
const REQUESTS: u64 = 200_000;

/// A holder with a lease and `shards` shards.
fn holder(shards: u32) -> Holder {
    let mut holder = Holder::new(HolderConfig::new(1));
    heartbeat(&mut holder);
    let session = holder.session(GROUP);
    let grants = (0..shards).map(|shard| Grant {
        service: service(),
        shard: ShardId(shard),
        epoch: Epoch(u64::from(shard) + 1),
        previous: None,
    });
    let request = GrantRequest {
        group: GROUP,
        term: Term(1),
        session,
        grants: grants.collect(),
    };
    let outcome = holder.grant(Duration::ZERO, &request);
    assert_eq!(outcome.answer.accepted.len(), shards as usize);
    holder
}

fn heartbeat(holder: &mut Holder) {
    let mut request = HeartbeatRequest {
        group: GROUP,
        term: Term(1),
        server: "server".parse().expect("a valid name"),
        lease: None,
    };
    let answer = holder.heartbeat(Duration::ZERO, &request);
    request.lease = Some(LeaseRenewal {
        session: answer.session,
        nonce: answer.nonce,
        duration_ms: LEASE_MS,
    });
    assert!(holder.heartbeat(Duration::ZERO, &request).renewed);
}

fn service() -> ServiceName {
    "carne-ledger".parse().expect("a valid name")
}

fn request(number: u64, shards: u32, repeatable: bool) -> Request {
    let shard = (number % u64::from(shards)) as u32;
    Request {
        service: service(),
        shard: ShardId(shard),
        epoch: Epoch(u64::from(shard) + 1),
        key: format!("customer-{number}"),
        request_id: format!("till-17-{number:012}").parse().expect("a valid id"),
        attempt: 1,
        repeatable,
        deadline_left: Duration::from_millis(500),
    }
}

/// Runs each request: begin, check before the effect, finish.
fn run_requests(holder: &mut Holder, requests: &[Request]) {
    for request in requests {
        let now = Duration::from_millis(1);
        let Ok(Begun::Run(permit)) = holder.begin(now, request) else {
            panic!("request was refused");
        };
        holder.before_effect(now, &permit).expect("a lease");
        holder.finish(now, permit, Effect::Made);
    }
}

/// Resident memory of this process in bytes; 0 where `/proc` is not available.
fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0u64) * PAGE_BYTES
}

fn main() {
    let shards: u32 = std::env::args()
        .nth(1)
        .and_then(|text| text.parse().ok())
        .unwrap_or(93);
    let requests: Vec<Request> = (0..REQUESTS)
        .map(|number| request(number, shards, false))
        .collect();
    let before = resident_bytes();
    let mut holder = holder(shards);
    let shard_bytes = resident_bytes().saturating_sub(before) / u64::from(shards);

    let started = Instant::now();
    (0..HEARTBEATS).for_each(|_| heartbeat(black_box(&mut holder)));
    let heartbeats = started.elapsed() / HEARTBEATS;

    let before = resident_bytes();
    let started = Instant::now();
    run_requests(&mut holder, &requests);
    let request_time = started.elapsed() / REQUESTS as u32;
    let record_bytes = resident_bytes().saturating_sub(before) / REQUESTS;

    let started = Instant::now();
    (0..HEARTBEATS).for_each(|_| holder.tick(Duration::from_millis(2)));
    let tick = started.elapsed() / HEARTBEATS;
    println!(
        "shards {shards}: two heartbeats {heartbeats:.1?}, tick {tick:.1?}, request \
         {request_time:.1?}, {shard_bytes} bytes a shard, {record_bytes} bytes a record"
    );
}
