//! A server's heartbeat and the grant in its answer.

use std::time::Duration;

use grebepin_catalog::{InstanceId, KeyRow, KEYS_PER_SHARD, SHARDS};
use serde::{Deserialize, Serialize};

/// Keys that a server reports to hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldRange {
    /// First key.
    pub from: u32,
    /// Last key, inclusive.
    pub to: u32,
    /// Fence it holds them under.
    pub fence: u64,
}

/// Keys that a server released since its last acknowledged heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleasedRange {
    /// First key.
    pub from: u32,
    /// Last key, inclusive.
    pub to: u32,
    /// What the next owner is given so that it starts warm.
    pub handover: String,
}

/// One heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The server.
    pub id: InstanceId,
    /// Service it serves.
    pub service: String,
    /// Address for requests, `IP:PORT`.
    pub address: String,
    /// Zone it runs in.
    pub zone: String,
    /// Requests it works on at a time.
    pub slots: u32,
    /// Whether it is about to leave.
    pub draining: bool,
    /// How much longer it warms up and takes few requests; zero for one that does not.
    #[serde(default)]
    pub warmup_left: Duration,
    /// Rises with each heartbeat of the server.
    pub sequence: u64,
    /// Keys it holds or still works on.
    pub holds: Vec<HeldRange>,
    /// Keys it released.
    pub freed: Vec<ReleasedRange>,
}

impl Heartbeat {
    /// Fence under which the server reports to hold a shard; `None` when it holds no key of it.
    pub fn fence_of(&self, shard: usize) -> Option<u64> {
        let (first, last) = keys_of(shard);
        let overlaps = |row: &&HeldRange| row.from <= last && first <= row.to;
        self.holds.iter().find(overlaps).map(|row| row.fence)
    }

    /// Handover of a shard that the server released whole; empty without one.
    pub fn handover_of(&self, shard: usize) -> String {
        let (first, last) = keys_of(shard);
        let covers = |row: &&ReleasedRange| row.from <= first && last <= row.to;
        let row = self.freed.iter().find(covers);
        row.map(|row| row.handover.clone()).unwrap_or_default()
    }
}

/// First and last key of a shard.
fn keys_of(shard: usize) -> (u32, u32) {
    debug_assert!(shard < SHARDS);
    let first = shard as u32 * KEYS_PER_SHARD;
    (first, first + KEYS_PER_SHARD - 1)
}

/// Everything that a server is to hold from the sending of its heartbeat on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The keys.
    pub rows: Vec<KeyRow>,
    /// Length of the lease.
    pub lease: Duration,
}
