//! A group of replicas on a virtual clock, deterministic for a seed.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use grebepin_consensus::{Consensus, Guards, ReadId, Ready, Restored};
use grebepin_schema::{HardState, LogIndex, PeerMessage, ReplicaId, SnapshotMeta, Term};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::checks::{Checks, Violation};
use super::members::{config, membership, DRIFT_PERCENT};
use super::network::{Conditions, Network};
use super::replica::{Clock, Disk, Replica};

/// Index and term of the initial snapshot.
const INITIAL_INDEX: LogIndex = LogIndex(1);
const INITIAL_TERM: Term = Term(1);

/// Point at which a replica crashes while it processes a [`Ready`].
#[derive(Clone, Copy, Debug)]
pub enum CrashAt {
    /// Before anything is stored.
    BeforeSync,
    /// After the hard state and half of the entries are stored, and before messages are sent.
    TornSync,
    /// After everything is stored, and before messages are sent.
    BeforeSend,
}

#[derive(Debug)]
pub struct Cluster {
    pub at: Duration,
    pub replicas: BTreeMap<ReplicaId, Replica>,
    pub network: Network,
    pub checks: Checks,
    /// Pending reads, with the highest index committed by any replica when the read was requested.
    pub reads: BTreeMap<(ReplicaId, ReadId), LogIndex>,
    pub reads_answered: usize,
    /// Replicas that reported a lost leadership.
    pub lost_leadership: BTreeSet<ReplicaId>,
    /// Number of applied entries after which a replica takes a snapshot.
    pub snapshot_every: u64,
    /// Replicas that crash while they process their next [`Ready`].
    pub crash_next: BTreeMap<ReplicaId, CrashAt>,
    /// Messages that arrived at paused replicas.
    queued: BTreeMap<ReplicaId, Vec<PeerMessage>>,
    random: SmallRng,
    guards: Guards,
    seed: u64,
}

impl Cluster {
    /// Creates a group with the given voters and learners, on a reliable network.
    pub fn new(seed: u64, voters: &[u64], learners: &[u64], guards: Guards) -> Self {
        let mut cluster = Self {
            at: Duration::ZERO,
            replicas: BTreeMap::new(),
            network: Network::new(seed, Conditions::good()),
            checks: Checks::default(),
            reads: BTreeMap::new(),
            reads_answered: 0,
            lost_leadership: BTreeSet::new(),
            snapshot_every: u64::MAX,
            crash_next: BTreeMap::new(),
            queued: BTreeMap::new(),
            random: SmallRng::seed_from_u64(seed ^ 0x5eed),
            guards,
            seed,
        };
        let members = membership(voters, learners);
        for id in voters.iter().chain(learners) {
            let meta = SnapshotMeta {
                index: INITIAL_INDEX,
                term: INITIAL_TERM,
                membership: members.clone(),
            };
            let restored = Restored {
                hard_state: HardState {
                    term: INITIAL_TERM,
                    vote: None,
                    commit: INITIAL_INDEX,
                },
                snapshot: Some((meta, Vec::new())),
                entries: Vec::new(),
            };
            cluster.add(*id, restored);
        }
        cluster
    }

    /// Adds a replica with the given id and stored state, and starts it.
    pub fn add(&mut self, id: u64, restored: Restored) {
        let bound = f64::from(DRIFT_PERCENT) / 100.0;
        let clock = Clock {
            offset: Duration::from_millis(self.random.random_range(0..100_000)),
            rate: 1.0 + bound * self.random.random_range(-1.0..1.0),
        };
        let mut replica = Replica {
            config: config(id, self.seed.wrapping_mul(31).wrapping_add(id), self.guards),
            clock,
            disk: Disk { restored },
            consensus: None,
            paused: false,
            applied: Vec::new(),
            applied_index: LogIndex(0),
            starts: 0,
            snapshots_received: 0,
        };
        replica.start(self.at);
        self.replicas.insert(ReplicaId(id), replica);
    }

    pub fn replica(&self, id: u64) -> &Replica {
        &self.replicas[&ReplicaId(id)]
    }

    pub fn core(&self, id: u64) -> &Consensus {
        let core = self.replica(id).consensus.as_ref();
        core.expect("the replica runs")
    }

    pub fn replica_mut(&mut self, id: ReplicaId) -> &mut Replica {
        self.replicas.get_mut(&id).expect("the replica exists")
    }

    /// Runs the simulation for `time`.
    pub fn run(&mut self, time: Duration) {
        let end = self.at + time;
        while self.run_one_event(end) {}
        self.at = end;
        self.checks.on_logs(&self.replicas);
    }

    /// Runs until a condition is met, at most for `time`. Returns whether it is met.
    pub fn run_until(&mut self, time: Duration, condition: impl Fn(&Self) -> bool) -> bool {
        let end = self.at + time;
        loop {
            if condition(self) {
                return true;
            }
            if !self.run_one_event(end) {
                self.at = end;
                return condition(self);
            }
        }
    }

    fn run_one_event(&mut self, end: Duration) -> bool {
        let wake = self.next_wake();
        let arrival = self.network.next_arrival();
        let arrives_first = match (arrival, wake) {
            (Some(arrival), Some((wake, _))) => arrival <= wake,
            (arrival, _) => arrival.is_some(),
        };
        let next = if arrives_first {
            arrival
        } else {
            wake.map(|(at, _)| at)
        };
        let Some(next) = next.filter(|next| *next <= end) else {
            return false;
        };
        self.at = self.at.max(next);
        if arrives_first {
            if let Some(message) = self.network.take_arrival() {
                self.deliver(message);
            }
        } else if let Some((_, id)) = wake {
            self.with(id, |core, now| core.tick(now));
        }
        self.checks.on_group(self.at, &self.replicas);
        true
    }

    fn next_wake(&self) -> Option<(Duration, ReplicaId)> {
        let running = self.replicas.iter().filter(|(_, replica)| !replica.paused);
        let wakes = running.filter_map(|(id, replica)| {
            let core = replica.consensus.as_ref()?;
            Some((replica.clock.time_of(core.next_wake()).max(self.at), *id))
        });
        wakes.min()
    }

    fn deliver(&mut self, message: PeerMessage) {
        let id = message.to;
        let Some(replica) = self.replicas.get(&id) else {
            return;
        };
        if replica.paused {
            self.queued.entry(id).or_default().push(message);
            return;
        }
        self.with(id, |core, now| core.step(now, message));
    }

    /// Calls a running replica with its local time, then processes its output. Returns `None` if it is down.
    pub fn with<T>(
        &mut self,
        id: ReplicaId,
        call: impl FnOnce(&mut Consensus, Duration) -> T,
    ) -> Option<T> {
        let at = self.at;
        let replica = self.replica_mut(id);
        let now = replica.clock.read(at);
        let result = call(replica.consensus.as_mut()?, now);
        self.process_ready(id);
        Some(result)
    }

    /// Processes the output of a replica until there is none left.
    pub fn process_ready(&mut self, id: ReplicaId) {
        loop {
            let Some(core) = self.replica_mut(id).consensus.as_mut() else {
                return;
            };
            let ready = core.ready();
            if ready.is_empty() {
                return;
            }
            if let Some(crash_at) = self.crash_next.remove(&id) {
                self.crash_while_processing(id, ready, crash_at);
                return;
            }
            self.handle_ready(id, ready);
        }
    }

    fn handle_ready(&mut self, id: ReplicaId, ready: Ready) {
        self.checks.on_ready(id, &ready);
        let at = self.at;
        let replica = self.replica_mut(id);
        replica.disk.save(&ready);
        let now = replica.clock.read(at);
        if let Some(core) = replica.consensus.as_mut() {
            core.synced(now);
        }
        if ready.snapshot.is_some() {
            replica.load_snapshot(ready.snapshot.as_ref());
            replica.snapshots_received += 1;
        }
        for entry in &ready.committed {
            replica.apply(entry);
        }
        let replica = &self.replicas[&id];
        self.checks
            .on_leader_commit(replica, &ready.committed, &self.replicas);
        for message in ready.messages {
            self.network.send(self.at, message);
        }
        for (read, index) in ready.reads {
            self.reads_answered += 1;
            let required = self.reads.remove(&(id, read));
            if required.is_none_or(|committed| index < committed) {
                self.checks.report(Violation::StaleRead { replica: id });
            }
        }
        if ready.lost_leadership {
            self.lost_leadership.insert(id);
        }
        self.take_snapshot_if_due(id);
    }

    fn take_snapshot_if_due(&mut self, id: ReplicaId) {
        let every = self.snapshot_every;
        let replica = self.replica_mut(id);
        let last = replica.disk.restored.snapshot.as_ref();
        let last = last.map_or(LogIndex(0), |(meta, _)| meta.index);
        let index = replica.applied_index;
        if index.0 - last.0 < every {
            return;
        }
        let data = replica.applied.clone();
        if let Some(core) = replica.consensus.as_mut() {
            if let Some(meta) = core.snapshot_meta(index) {
                replica.disk.save_snapshot(meta.clone(), data.clone());
                core.compact(meta, data);
            }
        }
    }

    fn crash_while_processing(&mut self, id: ReplicaId, mut ready: Ready, crash_at: CrashAt) {
        match crash_at {
            CrashAt::BeforeSync => {}
            CrashAt::TornSync => {
                ready.entries.truncate(ready.entries.len() / 2);
                self.replica_mut(id).disk.save(&ready);
            }
            CrashAt::BeforeSend => self.replica_mut(id).disk.save(&ready),
        }
        self.replica_mut(id).consensus = None;
    }

    pub fn crash(&mut self, id: u64) {
        self.crash_next.remove(&ReplicaId(id));
        self.queued.remove(&ReplicaId(id));
        self.replica_mut(ReplicaId(id)).consensus = None;
    }

    /// Starts a replica if it is down.
    pub fn restart(&mut self, id: u64) {
        let at = self.at;
        if self.replicas[&ReplicaId(id)].consensus.is_none() {
            self.reads.retain(|(replica, _), _| replica.0 != id);
        }
        let replica = self.replica_mut(ReplicaId(id));
        if replica.consensus.is_none() {
            replica.start(at);
        }
    }

    pub fn pause(&mut self, id: u64) {
        self.replica_mut(ReplicaId(id)).paused = true;
    }

    /// Resumes a paused replica and delivers the messages that arrived during the pause.
    pub fn resume(&mut self, id: u64) {
        let id = ReplicaId(id);
        self.replica_mut(id).paused = false;
        for message in self.queued.remove(&id).unwrap_or_default() {
            self.with(id, |core, now| core.step(now, message));
        }
        self.checks.on_group(self.at, &self.replicas);
    }

    pub fn violations(&self) -> &[Violation] {
        &self.checks.violations
    }
}
