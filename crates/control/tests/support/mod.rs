//! A control group of nodes on a virtual clock, simulated disks and a simulated network with partitions.

#![allow(dead_code, reason = "each test file uses only a part")]

pub mod address;
pub mod bundles;
pub mod group;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use grebepin_control::{
    AdminAnswer, AdminRequest, CallFailure, ConnectionId, ControlNode, ControlTiming, NodeConfig,
    NodeError, NodeGuards, NodeInput, NodeOutput, ReplyId,
};
use grebepin_schema::{
    ApiError, ApiErrorKind, ControlFrame, FoundRequest, GroupId, Member, MemberRole, PeerFrame,
    ReplicaId, RouterFrame, SignedBundle, SocketAddress, Status,
};
use grebepin_storage::{Crash, SimulatedDisk};

/// Step of the virtual clock; also the delivery delay of every frame.
pub const STEP: Duration = Duration::from_millis(5);

/// Time within which a group with a majority must elect a leader and catch up.
pub const SETTLE_TIMEOUT: Duration = Duration::from_secs(4);

type Node = ControlNode<SimulatedDisk>;

/// One machine of the group.
pub struct Machine {
    pub disk: SimulatedDisk,
    pub node: Option<Node>,
    starts: u64,
}

/// A control group.
pub struct Cluster {
    pub now: Duration,
    pub timing: ControlTiming,
    pub machines: Vec<Machine>,
    /// Machines disconnected from the network.
    pub cut: BTreeSet<usize>,
    pub frames: BTreeMap<ConnectionId, Vec<ControlFrame>>,
    network: VecDeque<(usize, usize, PeerFrame)>,
    pending: BTreeMap<usize, Vec<NodeInput>>,
    answers: BTreeMap<ReplyId, Result<AdminAnswer, ApiError>>,
    next_reply: u64,
}

fn address(kind: u16, machine: usize) -> SocketAddress {
    format!("127.0.0.1:{}", kind + machine as u16)
        .parse()
        .expect("an address")
}

impl Cluster {
    /// Machines with empty disks; the group isn't founded.
    pub fn new(machines: usize) -> Self {
        Self::with_timing(machines, ControlTiming::default())
    }

    pub fn with_timing(machines: usize, timing: ControlTiming) -> Self {
        let mut cluster = Self {
            now: Duration::from_secs(1),
            timing,
            machines: Vec::new(),
            cut: BTreeSet::new(),
            frames: BTreeMap::new(),
            network: VecDeque::new(),
            pending: BTreeMap::new(),
            answers: BTreeMap::new(),
            next_reply: 0,
        };
        for machine in 0..machines {
            cluster.machines.push(Machine {
                disk: SimulatedDisk::new(machine as u64),
                node: None,
                starts: 0,
            });
        }
        for machine in 0..machines {
            cluster.start(machine).expect("an empty disk opens");
        }
        cluster
    }

    /// A founded group with a leader.
    pub fn founded(machines: usize) -> Self {
        let mut cluster = Self::new(machines);
        cluster.found();
        cluster.settle();
        cluster
    }

    pub fn config(&self, machine: usize, starts: u64) -> NodeConfig {
        let others = (0..self.machines.len()).filter(|other| *other != machine);
        let seed = machine as u64 * 1000 + starts;
        NodeConfig {
            group: GroupId(0),
            fresh_replica: ReplicaId(seed + 1),
            zone: format!("zone-{}", machine % 3).parse().expect("a zone"),
            peer_address: address(1000, machine),
            router_address: address(2000, machine),
            admin_address: address(3000, machine),
            peers: others.map(|other| address(1000, other)).collect(),
            operators: vec![bundles::operator()],
            required_signatures: 1,
            timing: self.timing.clone(),
            seed,
            guards: NodeGuards::default(),
        }
    }

    pub fn start(&mut self, machine: usize) -> Result<(), NodeError> {
        self.machines[machine].starts += 1;
        let config = self.config(machine, self.machines[machine].starts);
        let disk = self.machines[machine].disk.clone();
        self.machines[machine].node = Some(ControlNode::open(config, disk, self.now)?);
        Ok(())
    }

    /// Simulates a power failure: unsynced writes are lost.
    pub fn kill(&mut self, machine: usize) {
        self.machines[machine].node = None;
        self.machines[machine].disk.crash(Crash::LoseUnsynced);
        self.pending.remove(&machine);
    }

    /// Simulates a power failure with the loss of the disk.
    pub fn lose_disk(&mut self, machine: usize) {
        self.machines[machine].node = None;
        self.machines[machine].disk.wipe();
        self.pending.remove(&machine);
    }

    pub fn node(&self, machine: usize) -> &Node {
        self.machines[machine].node.as_ref().expect("it runs")
    }

    pub fn found_request(&self) -> FoundRequest {
        let members = (0..self.machines.len()).map(|machine| self.member(machine));
        FoundRequest {
            cluster: "00112233445566778899aabbccddeeff".parse().expect("an id"),
            members: members.collect(),
        }
    }

    pub fn member(&self, machine: usize) -> Member {
        let replica = self.node(machine).replica();
        self.config(machine, 0).member(replica, MemberRole::Voter)
    }

    pub fn found(&mut self) {
        let request = self.found_request();
        for machine in 0..self.machines.len() {
            let answer = self.ask(machine, AdminRequest::Found(request.clone()));
            assert!(matches!(answer, Ok(AdminAnswer::Founded(_))), "{answer:?}");
        }
    }

    /// Runs the group for `time` on the virtual clock.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until `done`, within [`SETTLE_TIMEOUT`].
    pub fn run_until(&mut self, what: &str, done: impl Fn(&Self) -> bool) {
        let end = self.now + SETTLE_TIMEOUT;
        while !done(self) {
            assert!(self.now < end, "not within {SETTLE_TIMEOUT:?}: {what}");
            self.step();
        }
    }

    /// Runs until one reachable machine leads and all reachable machines have the same commit index.
    pub fn settle(&mut self) {
        self.run_until("a leader, and all applied", |cluster| {
            let Some(leader) = cluster.leader() else {
                return false;
            };
            let last = cluster.node(leader).consensus().commit();
            let all = cluster.reachable();
            all.into_iter()
                .all(|machine| cluster.node(machine).consensus().commit() == last)
        });
    }

    fn reachable(&self) -> Vec<usize> {
        (0..self.machines.len())
            .filter(|machine| self.machines[*machine].node.is_some() && !self.cut.contains(machine))
            .collect()
    }

    /// The serving leader among the reachable machines, if there is exactly one.
    pub fn leader(&self) -> Option<usize> {
        let serving = self.reachable().into_iter();
        let mut serving = serving.filter(|machine| self.node(*machine).is_serving());
        let leader = serving.next()?;
        serving.next().is_none().then_some(leader)
    }

    pub fn expect_leader(&self) -> usize {
        self.leader().expect("a leader")
    }

    /// Advances the clock by one step and delivers the frames sent in the previous step.
    pub fn step(&mut self) {
        self.now += STEP;
        for (from, to, frame) in std::mem::take(&mut self.network) {
            if !self.cut.contains(&from) && !self.cut.contains(&to) {
                self.pending
                    .entry(to)
                    .or_default()
                    .push(NodeInput::Peer(frame));
            }
        }
        for machine in 0..self.machines.len() {
            self.step_machine(machine);
        }
    }

    pub fn input(&mut self, machine: usize, input: NodeInput) {
        self.pending.entry(machine).or_default().push(input);
    }

    fn step_machine(&mut self, machine: usize) {
        let mut inputs = self.pending.remove(&machine).unwrap_or_default();
        let Some(node) = &mut self.machines[machine].node else {
            return;
        };
        if inputs.is_empty() && node.next_wake() > self.now {
            return;
        }
        inputs.push(NodeInput::Tick);
        for output in node.handle(self.now, inputs) {
            self.execute(machine, output);
        }
    }

    fn execute(&mut self, machine: usize, output: NodeOutput) {
        match output {
            NodeOutput::Peer { address, frame } => {
                let port = address
                    .rsplit(':')
                    .next()
                    .and_then(|port| port.parse().ok());
                let port: usize = port.expect("a port");
                self.network.push_back((machine, port - 1000, frame));
            }
            NodeOutput::BackEnd { call, .. } => {
                let answer = Err(CallFailure::Unreachable);
                self.input(machine, NodeInput::BackEnd { call, answer });
            }
            NodeOutput::Router { connection, frame } => {
                let frames = self.frames.entry(connection).or_default();
                frames.push(frame.as_ref().clone());
            }
            NodeOutput::AdminReply { reply, result } => {
                self.answers.insert(reply, result);
            }
            NodeOutput::Notice(_) => {}
            NodeOutput::Failed(_) => self.machines[machine].node = None,
        }
    }

    /// Sends a request without waiting; its answer is read with [`Cluster::take_answer`].
    pub fn begin(&mut self, machine: usize, request: AdminRequest) -> ReplyId {
        let reply = ReplyId(self.next_reply);
        self.next_reply += 1;
        self.input(machine, NodeInput::Admin { reply, request });
        reply
    }

    pub fn take_answer(&mut self, reply: ReplyId) -> Option<Result<AdminAnswer, ApiError>> {
        self.answers.remove(&reply)
    }

    /// Sends a request and waits for its answer.
    pub fn ask(&mut self, machine: usize, request: AdminRequest) -> Result<AdminAnswer, ApiError> {
        let reply = self.begin(machine, request);
        self.run_until("an answer", |cluster| cluster.answers.contains_key(&reply));
        self.take_answer(reply).expect("an answer")
    }

    /// Submits a bundle to the leader.
    pub fn roll(&mut self, signed: &SignedBundle) -> Result<AdminAnswer, ApiError> {
        let leader = self.expect_leader();
        let request = AdminRequest::SubmitBundle(Box::new(signed.clone()));
        self.ask(leader, request)
    }

    pub fn status(&mut self, machine: usize) -> Status {
        match self.ask(machine, AdminRequest::Status) {
            Ok(AdminAnswer::Status(status)) => *status,
            other => panic!("no status: {other:?}"),
        }
    }

    pub fn router(&mut self, machine: usize, connection: ConnectionId, frame: RouterFrame) {
        self.input(machine, NodeInput::Router { connection, frame });
    }
}

/// The error kind of a failed request; none for a success.
pub fn kind(answer: &Result<AdminAnswer, ApiError>) -> Option<ApiErrorKind> {
    answer.as_ref().err().map(|error| error.kind)
}
