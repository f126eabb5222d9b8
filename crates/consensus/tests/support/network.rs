//! The network between simulated replicas: messages on their way, and what happens to them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use grebepin_schema::{PeerBody, PeerMessage, ReplicaId};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// What the network does to each message.
#[derive(Clone, Copy, Debug)]
pub struct Conditions {
    /// Least one-way time.
    pub delay: Duration,
    /// Most time added at random, which also reorders messages.
    pub jitter: Duration,
    /// Chance that a message is lost.
    pub loss: f64,
    /// Chance that a message comes twice.
    pub duplication: f64,
}

impl Conditions {
    pub fn good() -> Self {
        Self {
            delay: Duration::from_millis(1),
            jitter: Duration::from_millis(1),
            loss: 0.0,
            duplication: 0.0,
        }
    }

    pub fn bad() -> Self {
        Self {
            delay: Duration::from_millis(1),
            jitter: Duration::from_millis(120),
            loss: 0.1,
            duplication: 0.1,
        }
    }
}

#[derive(Debug)]
pub struct Network {
    pub conditions: Conditions,
    /// Directions `(from, to)` in which nothing passes.
    pub cut: BTreeSet<(ReplicaId, ReplicaId)>,
    /// Time added to messages to a replica.
    pub lag: BTreeMap<ReplicaId, Duration>,
    /// Bytes of snapshots sent so far.
    pub snapshot_bytes: usize,
    on_the_way: BTreeMap<(Duration, u64), PeerMessage>,
    random: SmallRng,
    sent: u64,
}

impl Network {
    pub fn new(seed: u64, conditions: Conditions) -> Self {
        Self {
            conditions,
            cut: BTreeSet::new(),
            lag: BTreeMap::new(),
            snapshot_bytes: 0,
            on_the_way: BTreeMap::new(),
            random: SmallRng::seed_from_u64(seed),
            sent: 0,
        }
    }

    pub fn send(&mut self, at: Duration, message: PeerMessage) {
        if let PeerBody::SnapshotRequest(request) = &message.body {
            self.snapshot_bytes += request.chunk.0.len();
        }
        if self.random.random_bool(self.conditions.duplication) {
            self.send_once(at, message.clone());
        }
        self.send_once(at, message);
    }

    fn send_once(&mut self, at: Duration, message: PeerMessage) {
        let lost = self.random.random_bool(self.conditions.loss);
        let jitter = self.conditions.jitter.mul_f64(self.random.random::<f64>());
        if lost || self.cut.contains(&(message.from, message.to)) {
            return;
        }
        let lag = self.lag.get(&message.to).copied().unwrap_or_default();
        self.sent += 1;
        let arrives = at + self.conditions.delay + jitter + lag;
        self.on_the_way.insert((arrives, self.sent), message);
    }

    pub fn next_arrival(&self) -> Option<Duration> {
        self.on_the_way.keys().next().map(|(at, _)| *at)
    }

    pub fn take_arrival(&mut self) -> Option<PeerMessage> {
        self.on_the_way.pop_first().map(|(_, message)| message)
    }

    /// Cuts both directions between two sides.
    pub fn partition(&mut self, one: &[u64], other: &[u64]) {
        for a in one {
            for b in other {
                self.cut.insert((ReplicaId(*a), ReplicaId(*b)));
                self.cut.insert((ReplicaId(*b), ReplicaId(*a)));
            }
        }
    }

    pub fn heal(&mut self) {
        self.cut.clear();
        self.lag.clear();
    }
}
