//! Measures the cost of replication: CPU time per replica, messages and bytes, for heartbeats and for
//! commands, without disk or network.
//!
//! `cargo run --release -p grebepin-consensus --example replication_cost`

#[path = "../tests/support/mod.rs"]
mod support;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use grebepin_consensus::{Consensus, Guards, Restored, Role};
use grebepin_schema::framing::encode;
use grebepin_schema::{LogIndex, PeerFrame, PeerMessage, ReplicaId, SnapshotMeta, Term};
use support::members::{config, membership, HEARTBEAT};

const COMMANDS: usize = 20_000;
const COMMAND_BYTES: usize = 120;
const ROUNDS: u32 = 2_000;
/// Number of committed entries after which the replicas compact their logs.
const COMPACT_EVERY: u64 = 4_096;

struct Group {
    replicas: BTreeMap<ReplicaId, Consensus>,
    now: Duration,
    bytes: usize,
    messages: usize,
    compacted: u64,
}

impl Group {
    /// Creates a group with replica 1 as leader.
    fn new(size: u64) -> Self {
        let ids: Vec<u64> = (1..=size).collect();
        let meta = SnapshotMeta {
            index: LogIndex(1),
            term: Term(0),
            membership: membership(&ids, &[]),
        };
        let replica = |id: u64| {
            let restored = Restored {
                snapshot: Some((meta.clone(), Vec::new())),
                ..Restored::default()
            };
            let core = Consensus::new(config(id, id, Guards::all()), restored, Duration::ZERO);
            (ReplicaId(id), core)
        };
        let mut group = Self {
            replicas: ids.iter().copied().map(replica).collect(),
            now: Duration::from_secs(10),
            bytes: 0,
            messages: 0,
            compacted: 1,
        };
        group.leader().tick(Duration::from_secs(10));
        group.exchange();
        assert_eq!(group.leader().role(), Role::Leader);
        group
    }

    fn leader(&mut self) -> &mut Consensus {
        self.replicas
            .get_mut(&ReplicaId(1))
            .expect("the group has a replica 1")
    }

    /// Processes all pending work and delivers all messages until none are left.
    fn exchange(&mut self) {
        loop {
            let mut sent: Vec<PeerMessage> = Vec::new();
            for core in self.replicas.values_mut() {
                loop {
                    let ready = core.ready();
                    if ready.is_empty() {
                        break;
                    }
                    core.synced(self.now);
                    sent.extend(ready.messages);
                }
            }
            if sent.is_empty() {
                return;
            }
            for message in sent {
                self.deliver(message);
            }
        }
    }

    fn deliver(&mut self, message: PeerMessage) {
        self.messages += 1;
        let frame = PeerFrame::Message(message.clone());
        self.bytes += encode(&frame).map_or(0, |bytes| bytes.len());
        if let Some(core) = self.replicas.get_mut(&message.to) {
            core.step(self.now, message);
        }
    }

    fn compact(&mut self) {
        let commit = self.leader().commit();
        if commit.0 - self.compacted < COMPACT_EVERY {
            return;
        }
        self.compacted = commit.0;
        for core in self.replicas.values_mut() {
            if let Some(meta) = core.snapshot_meta(core.commit()) {
                core.compact(meta, Vec::new());
            }
        }
    }

    /// Resets the counters and returns the current time.
    fn start_measurement(&mut self) -> Instant {
        (self.bytes, self.messages) = (0, 0);
        Instant::now()
    }
}

fn heartbeats(size: u64) {
    let mut group = Group::new(size);
    let start = group.start_measurement();
    for _ in 0..ROUNDS {
        group.now += HEARTBEAT;
        let now = group.now;
        group.leader().tick(now);
        group.exchange();
    }
    print_row(size, "heartbeat round", &group, start, ROUNDS as usize);
}

fn commands(size: u64, batch: usize) {
    let mut group = Group::new(size);
    let start = group.start_measurement();
    for _ in 0..COMMANDS / batch {
        let now = group.now;
        for _ in 0..batch {
            let proposed = group.leader().propose(now, vec![0; COMMAND_BYTES]);
            proposed.expect("the leader proposes");
        }
        group.exchange();
        group.compact();
    }
    let name = format!("command, {batch} at once");
    print_row(size, &name, &group, start, COMMANDS / batch * batch);
}

fn print_row(size: u64, name: &str, group: &Group, start: Instant, count: usize) {
    let micros = start.elapsed().as_secs_f64() * 1e6 / count as f64;
    println!(
        "| {size} | {name} | {:.2} | {:.1} | {:.0} |",
        micros / size as f64,
        group.messages as f64 / count as f64,
        group.bytes as f64 / count as f64
    );
}

fn main() {
    println!("commands of {COMMAND_BYTES} bytes; each message is encoded once, as for sending");
    println!(
        "| voters | unit | µs for each replica | messages in the group | bytes in the group |"
    );
    println!("| ---: | --- | ---: | ---: | ---: |");
    for size in [3, 5, 7] {
        heartbeats(size);
        for batch in [1, 16, 256] {
            commands(size, batch);
        }
    }
}
