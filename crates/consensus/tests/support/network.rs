//! Simulated network between replicas, with delay, loss, duplication and partitions.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use grebepin_schema::{PeerBody, PeerMessage, ReplicaId};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Parameters of the network that apply to each message.
#[derive(Clone, Copy, Debug)]
pub struct Conditions {
    /// Minimum one-way delay.
    pub delay: Duration,
    /// Maximum random delay added to it, which also reorders messages.
    pub jitter: Duration,
    /// Probability that a message is lost.
    pub loss: f64,
    /// Probability that a message is duplicated.
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
    /// Links `(from, to)` on which all messages are dropped.
    pub blocked: BTreeSet<(ReplicaId, ReplicaId)>,
    /// Additional delay of messages to a replica.
    pub lag: BTreeMap<ReplicaId, Duration>,
    /// Snapshot bytes sent so far.
    pub snapshot_bytes: usize,
    in_flight: BTreeMap<(Duration, u64), PeerMessage>,
    random: SmallRng,
    sent: u64,
}

impl Network {
    pub fn new(seed: u64, conditions: Conditions) -> Self {
        Self {
            conditions,
            blocked: BTreeSet::new(),
            lag: BTreeMap::new(),
            snapshot_bytes: 0,
            in_flight: BTreeMap::new(),
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
        if lost || self.blocked.contains(&(message.from, message.to)) {
            return;
        }
        let lag = self.lag.get(&message.to).copied().unwrap_or_default();
        self.sent += 1;
        let arrives = at + self.conditions.delay + jitter + lag;
        self.in_flight.insert((arrives, self.sent), message);
    }

    pub fn next_arrival(&self) -> Option<Duration> {
        self.in_flight.keys().next().map(|(at, _)| *at)
    }

    pub fn take_arrival(&mut self) -> Option<PeerMessage> {
        self.in_flight.pop_first().map(|(_, message)| message)
    }

    /// Blocks both directions between two sets of replicas.
    pub fn partition(&mut self, one: &[u64], other: &[u64]) {
        for a in one {
            for b in other {
                self.blocked.insert((ReplicaId(*a), ReplicaId(*b)));
                self.blocked.insert((ReplicaId(*b), ReplicaId(*a)));
            }
        }
    }

    pub fn heal(&mut self) {
        self.blocked.clear();
        self.lag.clear();
    }
}
