//! A group of replicas on a virtual clock with simulated disks and a network that delays and drops messages
//! and can be partitioned.

mod calls;
mod faults;
mod held;
mod statuses;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use grebepin_catalog::{Item, ItemContent, Limits, Version};
use grebepin_directory::call::{Call, CallBasis, Reply};
use grebepin_directory::node::{
    CallId, FaultTolerance, Node, NodeConfig, NodeInput, NodeOutput, NodeTiming,
};
use grebepin_grants::Timing;
use grebepin_schema::{
    EntryPayload, Member, MemberRole, Membership, PeerBody, PeerFrame, ReplicaId,
};
use grebepin_storage::SimulatedDisk;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

pub use faults::Fault;

const STEP: Duration = Duration::from_millis(5);
const LINK_PORT: u16 = 7_000;

struct Replica {
    address: SocketAddr,
    disk: SimulatedDisk,
    node: Option<Node<SimulatedDisk>>,
    restarts_at: Option<Duration>,
    stalled_until: Duration,
    /// Time during which the machine was suspended and its clock did not advance.
    clock_lag: Duration,
    partitioned_until: Duration,
    bootstrap: bool,
    may_vote: bool,
    removed: bool,
}

struct Sent {
    at: Duration,
    to: usize,
    from: usize,
    input: NodeInput,
}

/// A group of replicas.
pub struct Cluster {
    random: SmallRng,
    now: Duration,
    zones: usize,
    fault_tolerance: FaultTolerance,
    /// Number of applied entries after which a replica saves a snapshot and drops its log.
    pub snapshot_every: u64,
    seeds: Vec<SocketAddr>,
    replicas: Vec<Replica>,
    network: Vec<Sent>,
    /// Number of frames sent, by sender and receiver.
    sent: BTreeMap<(usize, usize), u32>,
    /// Times and receivers of frames with more than 64 KiB of entries.
    pub bulk_sent: Vec<(Duration, usize)>,
    next_call: u64,
    /// Calls that are not answered yet.
    calls: BTreeMap<CallId, Pending>,
    /// Acknowledged versions, in order.
    pub acknowledged: Vec<u64>,
    /// Versions returned by reads, in order.
    pub reads: Vec<u64>,
    /// Number of reads that returned a version older than one acknowledged before the read was sent.
    pub stale_reads: u32,
    /// Number of acknowledged starts and ends of evacuations.
    pub evacuations_acknowledged: u32,
    /// Number of calls to start or end an evacuation that a later one superseded, given up or not.
    pub evacuations_superseded: u32,
    /// Number of leaves of draining servers that a replica acknowledged under its own lease.
    pub leaves_acknowledged: u32,
    /// Rejected zones, in order.
    pub unknown_zones: Vec<String>,
}

enum Pending {
    Change(u64),
    Read {
        at_least: u64,
    },
    Evacuation,
    /// A call of a server. Tests check its effect on the state.
    ServerCall,
}

fn address(number: usize) -> SocketAddr {
    format!("10.0.0.{}:{LINK_PORT}", number + 1)
        .parse()
        .expect("well formed")
}

fn timing() -> NodeTiming {
    NodeTiming::regional(Timing {
        lease: Duration::from_secs(5),
        heartbeat_interval: Duration::from_millis(1_300),
        drain_window: Duration::from_secs(1),
        evacuation_window: Duration::from_millis(1_500),
        server_timeout: Duration::from_secs(13),
    })
}

impl Cluster {
    pub fn new(seed: u64, count: usize) -> Self {
        let mut cluster = Self::without_replicas(seed);
        for number in 0..count {
            cluster.add_replica(number, true);
        }
        cluster
    }

    /// A group of `count` replicas in `zones` zones that must tolerate the loss of `machines` machines at
    /// once.
    pub fn with_tolerance(seed: u64, count: usize, zones: usize, machines: usize) -> Self {
        let mut cluster = Self::without_replicas(seed);
        cluster.zones = zones;
        cluster.fault_tolerance.machines = machines;
        for number in 0..count {
            cluster.add_replica(number, true);
        }
        cluster
    }

    fn without_replicas(seed: u64) -> Self {
        Self {
            zones: 1,
            fault_tolerance: FaultTolerance::default(),
            snapshot_every: timing().snapshot_every,
            random: SmallRng::seed_from_u64(seed),
            now: Duration::ZERO,
            seeds: (0..3).map(address).collect(),
            replicas: Vec::new(),
            network: Vec::new(),
            sent: BTreeMap::new(),
            bulk_sent: Vec::new(),
            next_call: 0,
            calls: BTreeMap::new(),
            acknowledged: Vec::new(),
            reads: Vec::new(),
            stale_reads: 0,
            evacuations_acknowledged: 0,
            evacuations_superseded: 0,
            leaves_acknowledged: 0,
            unknown_zones: Vec::new(),
        }
    }

    /// Sets the number of complete zones that the group must tolerate losing.
    pub fn tolerate_zone_losses(&mut self, zones: usize) {
        self.fault_tolerance.zones = zones;
        self.tolerate_machine_losses(self.fault_tolerance.machines);
    }

    /// Adds a replica on a machine that does not count towards the tolerated losses.
    pub fn add_observer(&mut self) {
        let number = self.replicas.len();
        self.add_replica(number, false);
        self.replicas[number].may_vote = false;
    }

    /// Sets the number of machines that the group must tolerate losing, as changed settings do.
    pub fn tolerate_machine_losses(&mut self, machines: usize) {
        self.fault_tolerance.machines = machines;
        for replica in &mut self.replicas {
            if let Some(node) = &mut replica.node {
                node.set_fault_tolerance(self.fault_tolerance);
            }
        }
    }

    fn add_replica(&mut self, number: usize, bootstrap: bool) {
        let disk = SimulatedDisk::new(self.random.random());
        self.replicas.push(Replica {
            address: address(number),
            disk,
            node: None,
            restarts_at: Some(self.now + Duration::from_millis(self.random.random_range(0..300))),
            stalled_until: Duration::ZERO,
            clock_lag: Duration::ZERO,
            partitioned_until: Duration::ZERO,
            bootstrap,
            may_vote: true,
            removed: false,
        });
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.restart();
            self.deliver();
            for number in 0..self.replicas.len() {
                self.handle(number, Vec::new());
            }
        }
    }

    pub fn leader(&self) -> Option<usize> {
        let leads = |replica: &Replica| {
            let node = replica.node.as_ref();
            node.is_some_and(|node| node.holds_leader_lease(self.now))
        };
        self.replicas.iter().position(leads)
    }

    /// Runs until a replica leads. Returns how long that took after all replicas had started.
    pub fn wait_for_leader_after_restart(&mut self) -> Duration {
        let starts = self.replicas.iter().filter_map(|one| one.restarts_at);
        let all_started = starts.max().unwrap_or(self.now);
        for _ in 0..2_000 {
            self.run(STEP);
            if self.leader().is_some() {
                return self.now.saturating_sub(all_started);
            }
        }
        panic!("no replica leads");
    }

    pub fn voters(&self) -> usize {
        self.voter_members().len()
    }

    /// Number of members of the leader's group, voters or not.
    pub fn members(&self) -> usize {
        let members = self.membership().map(|membership| membership.members.len());
        members.unwrap_or(0)
    }

    /// Number of voters in the zone with the most voters.
    pub fn voters_of_fullest_zone(&self) -> usize {
        let mut zones: BTreeMap<String, usize> = BTreeMap::new();
        for member in self.voter_members() {
            *zones.entry(member.zone.to_string()).or_default() += 1;
        }
        zones.into_values().max().unwrap_or(0)
    }

    /// Whether a replica is a voter of the leader's group.
    pub fn is_voter(&self, number: usize) -> bool {
        let address = self.replicas[number].address.to_string();
        let voters = self.voter_members();
        voters
            .iter()
            .any(|voter| voter.peer_address.to_string() == address)
    }

    fn membership(&self) -> Option<&Membership> {
        let leader = self.leader()?;
        let node = self.replicas[leader].node.as_ref()?;
        Some(node.consensus().membership())
    }

    fn voter_members(&self) -> Vec<&Member> {
        let members = self.membership().map(|membership| &membership.members);
        let members = members.into_iter().flatten();
        members
            .filter(|member| member.role == MemberRole::Voter)
            .collect()
    }

    /// The leader and another, randomly chosen voter.
    fn two_voters(&mut self, leader: usize) -> [usize; 2] {
        let others = (0..self.replicas.len()).filter(|one| *one != leader && self.is_voter(*one));
        let others: Vec<usize> = others.collect();
        [leader, others[self.random.random_range(0..others.len())]]
    }

    /// Resets the message counts.
    pub fn count_messages(&mut self) {
        self.sent.clear();
    }

    /// Number of messages from one replica to another since the last reset.
    pub fn messages_between(&self, from: usize, to: usize) -> u32 {
        self.sent.get(&(from, to)).copied().unwrap_or(0)
    }

    /// Whether a replica would send its state to gateways.
    pub fn is_fed(&self, number: usize) -> bool {
        let node = self.replicas[number].node.as_ref();
        node.is_some_and(|node| node.is_fed(self.now))
    }

    pub fn has_applied(&self, number: usize, version: u64) -> bool {
        let node = self.replicas[number].node.as_ref();
        node.is_some_and(|node| held_version(node) == version)
    }

    fn call(&mut self, to: usize, call: Call, pending: Pending) -> CallId {
        self.next_call += 1;
        let id = CallId(self.next_call);
        self.calls.insert(id, pending);
        let node = self.replicas[to].node.as_ref();
        let basis = node.map_or_else(CallBasis::default, Node::call_basis);
        self.handle(to, vec![NodeInput::Call { id, call, basis }]);
        id
    }

    fn restart(&mut self) {
        for number in 0..self.replicas.len() {
            let replica = &self.replicas[number];
            let is_due = replica.restarts_at.is_some_and(|at| at <= self.now) && !replica.removed;
            if is_due {
                self.start(number);
            }
        }
    }

    fn start(&mut self, number: usize) {
        let identity = ReplicaId(self.random.random::<u64>() & !1);
        let random_seed = self.random.random();
        let replica = &mut self.replicas[number];
        replica.restarts_at = None;
        let config = NodeConfig {
            zone: format!("z{}", number % self.zones),
            zones: (0..self.zones).map(|zone| format!("z{zone}")).collect(),
            fault_tolerance: self.fault_tolerance,
            may_vote: replica.may_vote,
            link_address: replica.address,
            control_address: SocketAddr::new(replica.address.ip(), 8_000),
            seeds: self.seeds.clone(),
            bootstrap: replica.bootstrap,
            new_replica_id: identity,
            random_seed,
            timing: NodeTiming {
                snapshot_every: self.snapshot_every,
                ..timing()
            },
        };
        let node = Node::open(config, replica.disk.clone(), self.now);
        replica.node = Some(node.expect("the folder opens"));
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later): (Vec<Sent>, Vec<Sent>) = std::mem::take(&mut self.network)
            .into_iter()
            .partition(|sent| sent.at <= now);
        self.network = later;
        for sent in due {
            self.handle(sent.to, vec![sent.input]);
        }
    }

    fn is_partitioned(&self, number: usize) -> bool {
        self.replicas[number].partitioned_until > self.now
    }

    fn handle(&mut self, number: usize, inputs: Vec<NodeInput>) {
        let now = self.now;
        let replica = &mut self.replicas[number];
        if replica.stalled_until > now {
            // The process is blocked, so messages to it wait as well.
            let at = replica.stalled_until;
            let late = inputs.into_iter().map(|input| Sent {
                at,
                to: number,
                from: number,
                input,
            });
            self.network.extend(late);
            return;
        }
        let node_now = now.saturating_sub(replica.clock_lag);
        let Some(node) = &mut replica.node else {
            return;
        };
        match node.handle(&mut || node_now, inputs) {
            Ok(outputs) => {
                for output in outputs {
                    self.execute(number, output);
                }
            }
            Err(_) => replica.node = None,
        }
    }

    fn execute(&mut self, from: usize, output: NodeOutput) {
        match output {
            NodeOutput::Peer { address, frame } => {
                self.send(from, &address, NodeInput::Peer(frame));
            }
            NodeOutput::Relay {
                id,
                address,
                call,
                basis,
                ..
            } => self.send(from, &address, NodeInput::Call { id, call, basis }),
            NodeOutput::Reply { id, reply } => self.handle_reply(id, &reply),
            NodeOutput::Items { calls, items } => {
                let reply = Reply::Items(items);
                calls
                    .into_iter()
                    .for_each(|id| self.handle_reply(id, &reply));
            }
            _ => {}
        }
    }

    fn send(&mut self, from: usize, address: &str, input: NodeInput) {
        let is_there =
            |replica: &Replica| replica.address.to_string() == address && !replica.removed;
        let Some(to) = self.replicas.iter().position(is_there) else {
            return;
        };
        if to == from || self.is_partitioned(from) || self.is_partitioned(to) {
            return;
        }
        *self.sent.entry((from, to)).or_default() += 1;
        if entry_bytes(&input) > 64 << 10 {
            self.bulk_sent.push((self.now, to));
        }
        let delay = Duration::from_millis(self.random.random_range(1..12));
        let at = self.now + delay;
        self.network.push(Sent {
            at,
            to,
            from,
            input,
        });
    }

    fn handle_reply(&mut self, id: CallId, reply: &Reply) {
        self.evacuations_superseded += u32::from(*reply == Reply::Superseded);
        match (self.calls.remove(&id), reply) {
            (Some(Pending::Change(version)), Reply::Changed)
                if !self.acknowledged.contains(&version) =>
            {
                self.acknowledged.push(version);
            }
            (Some(Pending::Read { at_least }), Reply::Items(items)) => {
                let version = items
                    .iter()
                    .filter_map(|item| item.document.trim_end_matches('x').parse().ok())
                    .max();
                let version = version.unwrap_or(0);
                self.stale_reads += u32::from(version < at_least);
                self.reads.push(version);
            }
            (Some(Pending::ServerCall), Reply::Left) => self.leaves_acknowledged += 1,
            (Some(Pending::Evacuation), Reply::EvacuationSet) => self.evacuations_acknowledged += 1,
            (Some(Pending::Evacuation), Reply::UnknownZone(zone)) => {
                self.unknown_zones.push(zone.clone());
            }
            _ => {}
        }
    }
}

fn limits(version: u64) -> Item {
    Item {
        name: String::new(),
        version: Version(version),
        content: ItemContent::Limits(Limits {
            header_bytes: 1_000,
            body_bytes: 1_000,
            header_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(1),
        }),
        document: version.to_string(),
    }
}

fn held_version(node: &Node<SimulatedDisk>) -> u64 {
    let items = node.catalog().items();
    let limits = items.get(grebepin_catalog::ItemKind::Limits, "");
    limits.map_or(0, |item| item.version.0)
}

/// Size of the entries in a frame, in bytes.
fn entry_bytes(input: &NodeInput) -> usize {
    let NodeInput::Peer(PeerFrame::Message(message)) = input else {
        return 0;
    };
    let PeerBody::AppendRequest(request) = &message.body else {
        return 0;
    };
    let commands = request.entries.iter().map(|entry| match &entry.payload {
        EntryPayload::Command(bytes) => bytes.0.len(),
        EntryPayload::Membership(_) | EntryPayload::Noop => 0,
    });
    commands.sum()
}
