//! The planned stop, and the ticker that notices lapsed leases.
//!
//! Invariant: a planned stop closes only once nothing runs and no shard is held, unless its time is over.

use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use grebepin_schema::HistoryEvent;

use super::node::Node;
use crate::http::HttpServer;
use crate::lock;

/// How often leases are looked at without being asked.
const TICK: Duration = Duration::from_millis(50);

/// How often a stopping server looks whether it may close.
const STOP_CHECK: Duration = Duration::from_millis(20);

/// How long a released record waits to be fetched when nobody asks for it.
const RECORD_PATIENCE: Duration = Duration::from_secs(3);

/// Starts the thread that notices lapsed leases; it ends with the node.
pub(crate) fn start_ticker(node: &Arc<Node>) -> io::Result<()> {
    let node = Arc::downgrade(node);
    let tick = move || {
        while let Some(node) = node.upgrade() {
            node.faults.wait_while_frozen();
            node.with_holder(|holder, now| holder.tick(now));
            drop(node);
            std::thread::sleep(TICK);
        }
    };
    std::thread::Builder::new()
        .name("ticker".into())
        .spawn(tick)
        .map(drop)
}

/// Leaves as planned; returns the requests cut.
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
    let patience = end.min(Instant::now() + RECORD_PATIENCE);
    wait_until(patience, || {
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
        std::thread::sleep(STOP_CHECK);
    }
}
