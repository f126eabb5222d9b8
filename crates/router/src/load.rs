//! Load counters for the router's reports to the control group.
//!
//! Invariant: only what this router observed is counted.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use grebepin_schema::{ServerLoad, ServerName, ServiceName, ShardId, ShardLoad};

/// Maximum number of shards in one report.
const MAX_REPORTED_SHARDS: usize = 64;

/// Result of one send to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendStatus {
    /// A complete answer was received.
    Answered,
    /// The server refused with a typed refusal.
    Refused,
    /// No complete answer was received, or the request was not sent.
    Failed,
}

#[derive(Default)]
struct Counts {
    servers: BTreeMap<ServerName, ServerLoad>,
    shards: BTreeMap<(ServiceName, ShardId), ShardLoad>,
}

/// Load per server and shard since the last report.
#[derive(Default)]
pub struct LoadCounters {
    counts: Mutex<Counts>,
}

impl LoadCounters {
    /// Counts one send; `busy` is the time that it took.
    pub fn count(
        &self,
        server: &ServerName,
        service: &ServiceName,
        shard: ShardId,
        status: SendStatus,
        busy: Duration,
    ) {
        let busy_us = busy.as_micros() as u64;
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        if !counts.servers.contains_key(server) {
            counts.servers.insert(server.clone(), empty_server(server));
        }
        if let Some(load) = counts.servers.get_mut(server) {
            load.sent += 1;
            load.busy_us += busy_us;
            load.failed += u64::from(status == SendStatus::Failed);
            load.refused += u64::from(status == SendStatus::Refused);
        }
        let entry = counts.shards.entry((service.clone(), shard));
        let load = entry.or_insert_with(|| ShardLoad {
            service: service.clone(),
            shard,
            requests: 0,
            busy_us: 0,
        });
        load.requests += 1;
        load.busy_us += busy_us;
    }

    /// Returns and resets the counts: all servers, and the shards with the most requests.
    pub fn take(&self) -> (Vec<ServerLoad>, Vec<ShardLoad>) {
        let counts =
            std::mem::take(&mut *self.counts.lock().unwrap_or_else(PoisonError::into_inner));
        let mut shards: Vec<ShardLoad> = counts.shards.into_values().collect();
        shards.sort_by_key(|load| std::cmp::Reverse(load.requests));
        shards.truncate(MAX_REPORTED_SHARDS);
        (counts.servers.into_values().collect(), shards)
    }
}

fn empty_server(server: &ServerName) -> ServerLoad {
    ServerLoad {
        server: server.clone(),
        sent: 0,
        failed: 0,
        refused: 0,
        busy_us: 0,
    }
}
