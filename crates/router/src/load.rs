//! Load as this router counts it, for its reports to the control group.
//!
//! Invariant: only what the router saw itself is counted.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use grebepin_schema::{ServerLoad, ServerName, ServiceName, ShardId, ShardLoad};

/// Most shards in one report.
const REPORTED_SHARDS: usize = 64;

/// How one request sent to a server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// With a whole answer.
    Answered,
    /// With a typed refusal.
    Refused,
    /// Without a whole answer.
    Failed,
}

#[derive(Default)]
struct Counts {
    servers: BTreeMap<ServerName, ServerLoad>,
    shards: BTreeMap<(ServiceName, ShardId), ShardLoad>,
}

/// Counters since the last report.
#[derive(Default)]
pub struct LoadCounters {
    counts: Mutex<Counts>,
}

impl LoadCounters {
    /// Counts one request that was sent.
    pub fn count(
        &self,
        server: &ServerName,
        service: &ServiceName,
        shard: ShardId,
        ending: Ending,
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
            load.failed += u64::from(ending == Ending::Failed);
            load.refused += u64::from(ending == Ending::Refused);
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

    /// Takes what was counted: every server, and the shards with the most requests.
    pub fn take(&self) -> (Vec<ServerLoad>, Vec<ShardLoad>) {
        let counts =
            std::mem::take(&mut *self.counts.lock().unwrap_or_else(PoisonError::into_inner));
        let mut shards: Vec<ShardLoad> = counts.shards.into_values().collect();
        shards.sort_by_key(|load| std::cmp::Reverse(load.requests));
        shards.truncate(REPORTED_SHARDS);
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
