//! The planned stop, and the timer thread that detects expired leases.
//!
//! Invariant: a planned stop closes the server only when nothing runs and no shard is held, or when its
//! time limit has passed.

use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use grebepin_schema::HistoryEvent;

use super::node::Node;
use crate::http::HttpServer;
use crate::lock;

/// Interval at which leases are checked for expiry in the absence of calls.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which a stopping server checks whether it may close.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum time to wait for the records of released shards to be fetched.
const RECORD_FETCH_TIMEOUT: Duration = Duration::from_secs(3);

/// Starts the thread that detects expired leases. It ends when the node is dropped.
pub(crate) fn start_ticker(node: &Arc<Node>) -> io::Result<()> {
    let node = Arc::downgrade(node);
    let tick = move || {
        while let Some(node) = node.upgrade() {
            node.faults.wait_while_frozen();
            node.with_holder(|holder, now| holder.tick(now));
            drop(node);
            std::thread::sleep(LEASE_CHECK_INTERVAL);
        }
    };
    std::thread::Builder::new()
        .name("ticker".into())
        .spawn(tick)
        .map(drop)
}

/// Performs a planned stop; returns the number of requests cut.
pub(crate) fn planned_stop(server: &HttpServer<Arc<Node>>) -> u32 {
    let node = server.hooks();
    let end = Instant::now() + Duration::from_millis(node.arguments.stop_ms);
    node.drain(true);
    wait_until(end, || {
        node.with_holder(|holder, now| {
            holder.tick(now);
            holder.held_shards() == 0 && holder.in_flight() == 0
        })
    });
    let fetch_end = end.min(Instant::now() + RECORD_FETCH_TIMEOUT);
    wait_until(fetch_end, || {
        node.with_holder(|holder, _| holder.unfetched_records() == 0)
    });
    server.stop();
    wait_until(end, || server.open_connections() == 0);
    let cut: Vec<_> = lock(&node.running).values().cloned().collect();
    let count = cut.len();
    for request in cut {
        node.record(HistoryEvent::Cut(request));
    }
    node.record(HistoryEvent::Stopped(node.arguments.name.clone()));
    count as u32
}

fn wait_until(end: Instant, done: impl Fn() -> bool) {
    while !done() && Instant::now() < end {
        std::thread::sleep(STOP_CHECK_INTERVAL);
    }
}
