//! A server's heartbeat, and the grant in the response to it.

use std::time::Duration;

use grebepin_catalog::{InstanceId, KeyRange, KEYS_PER_SHARD, SHARDS};
use serde::{Deserialize, Serialize};

/// Range of keys that a server reports as held.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldRange {
    /// First key.
    pub from: u32,
    /// Last key, inclusive.
    pub to: u32,
    /// Fence under which the server holds them.
    pub fence: u64,
}

/// Range of keys that a server released since its last acknowledged heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleasedRange {
    /// First key.
    pub from: u32,
    /// Last key, inclusive.
    pub to: u32,
    /// Opaque text from the previous owner, passed on to the next one so that it starts with warm state.
    pub handover: String,
}

/// Heartbeat of a server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Server that sends the heartbeat.
    pub id: InstanceId,
    /// Name of the service that it belongs to.
    pub service: String,
    /// Address for requests, `IP:PORT`.
    pub address: String,
    /// Zone in which it runs.
    pub zone: String,
    /// Requests that it processes concurrently.
    pub slots: u32,
    /// Whether it is shutting down and should give up its shards.
    pub draining: bool,
    /// Time left until the server is warm; zero for a server that isn't warming up.
    #[serde(default)]
    pub warmup_left: Duration,
    /// Increases with each heartbeat of the server.
    pub sequence: u64,
    /// Keys that it holds or still processes requests for; `None` if it does not say, which is no statement that
    /// it holds none.
    pub holds: Option<Vec<HeldRange>>,
    /// Keys that it released.
    pub freed: Vec<ReleasedRange>,
}

impl Heartbeat {
    /// Fence under which the server reports to hold a shard; `None` when it holds no key of it.
    pub fn fence_of(&self, shard: usize) -> Option<u64> {
        let (first, last) = keys_of(shard);
        let overlaps = |row: &&HeldRange| row.from <= last && first <= row.to;
        let holds = self.holds.as_deref().unwrap_or_default();
        holds.iter().find(overlaps).map(|row| row.fence)
    }

    /// Handover text of a shard that was released as a whole; empty when there is none.
    pub fn handover_of(&self, shard: usize) -> String {
        let (first, last) = keys_of(shard);
        let covers = |row: &&ReleasedRange| row.from <= first && last <= row.to;
        let row = self.freed.iter().find(covers);
        row.map(|row| row.handover.clone()).unwrap_or_default()
    }
}

/// First and last key of a shard, both inclusive.
fn keys_of(shard: usize) -> (u32, u32) {
    debug_assert!(shard < SHARDS);
    let first = shard as u32 * KEYS_PER_SHARD;
    (first, first + KEYS_PER_SHARD - 1)
}

/// All keys that a server holds under one lease, which starts when the heartbeat was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Key ranges with their fences and handover texts. Keys that aren't listed must be released.
    pub rows: Vec<KeyRange>,
    /// Duration of the lease, counted by the server from the moment it sent the heartbeat.
    pub lease: Duration,
}
