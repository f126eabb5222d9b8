//! Control replicas: the product's [`ControlNode`] on a simulated disk.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use grebepin_control::{
    AdminAnswer, BackEndRequest, CallFailure, CallId, ConnectionId, ControlNode, ControlTiming,
    NodeConfig, NodeError, NodeInput, NodeOutput, ReplyId,
};
use grebepin_schema::{
    ApiError, BundleRecord, Epoch, GroupId, HistoryEvent, LogIndex, Member, MemberRole, ReplicaId,
    ServiceName, ShardId, SocketAddress,
};
use grebepin_storage::{Crash, SimulatedDisk};

use super::ending::Finding;
use super::routers::router_of;
use super::{Event, World, DRIFT_PERCENT};
use crate::clock::{Instant, MILLISECOND};
use crate::deployment::{self, control_address, name, Port, CONTROLS};
use crate::message::{Asker, ControlInput, Input, OperatorInput, RouterInput, ServerInput};
use crate::network::Carriage;
use crate::process::{Condition, Process};

/// The simulated control group.
pub(super) const GROUP: GroupId = GroupId(1);

/// Time that a control replica waits for a back end.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Least time between two turns of a control replica's timer.
const LEAST_STEP: Instant = 2 * MILLISECOND;

/// Pause before a supervisor starts a process again that gave up.
const SUPERVISOR_PAUSE: Instant = 500 * MILLISECOND;

/// A control replica and what the simulator keeps of it.
pub(super) struct ControlActor {
    pub(super) node: Option<ControlNode<SimulatedDisk>>,
    pub(super) disk: SimulatedDisk,
    next_wake: Option<Instant>,
    broken: BTreeSet<ConnectionId>,
    /// Operators by reply.
    replies: BTreeMap<ReplyId, (usize, u32)>,
    next_reply: u64,
    pub(super) believed: BTreeMap<(ServiceName, ShardId), Epoch>,
    pub(super) believed_index: LogIndex,
    pub(super) committed: LogIndex,
}

impl World {
    pub(super) fn create_control(&mut self, number: usize) {
        let disk = SimulatedDisk::new(self.seed.wrapping_mul(31) + number as u64);
        self.controls.push(ControlActor {
            node: None,
            disk,
            next_wake: None,
            broken: BTreeSet::new(),
            replies: BTreeMap::new(),
            next_reply: 0,
            believed: BTreeMap::new(),
            believed_index: LogIndex(0),
            committed: LogIndex(0),
        });
        self.open_control(number);
    }

    /// Opens a replica on its disk; a damaged folder is moved away, as its operators would.
    pub(super) fn open_control(&mut self, number: usize) {
        let process = Process::Control(number);
        let now = self.local(process);
        let config = self.node_config(number);
        let actor = &mut self.controls[number];
        actor.next_wake = None;
        actor.committed = LogIndex(0);
        actor.broken.clear();
        actor.replies.clear();
        let opened = ControlNode::open(config.clone(), actor.disk.clone(), now);
        let opened = match opened {
            Err(error) if error.is_damage() => {
                let explanation = format!("{} found its folder damaged: {error}", process.name());
                self.findings
                    .push(Finding::new(self.now, "disk", explanation));
                self.controls[number].disk.wipe();
                ControlNode::open(config, self.controls[number].disk.clone(), now)
            }
            opened => opened,
        };
        match opened {
            Ok(node) => {
                self.controls[number].node = Some(node);
                self.deliver_now(process, Input::Control(ControlInput::Wake));
            }
            Err(error) => self.give_up(number, &error),
        }
    }

    fn node_config(&mut self, number: usize) -> NodeConfig {
        let fresh = self.starts.number().max(1);
        let seed = self.starts.number();
        let others = (0..CONTROLS).filter(|other| *other != number);
        NodeConfig {
            group: GROUP,
            fresh_replica: ReplicaId(fresh),
            zone: deployment::zone_of(Process::Control(number)),
            peer_address: control_address(number, Port::Peer),
            router_address: control_address(number, Port::Router),
            admin_address: control_address(number, Port::Admin),
            peers: others
                .map(|other| control_address(other, Port::Peer))
                .collect(),
            operators: deployment::trusted_operators(),
            required_signatures: 2,
            timing: ControlTiming {
                drift_percent: DRIFT_PERCENT as u32,
                snapshot_every_entries: self.scenario.snapshot_every,
                ..ControlTiming::default()
            },
            seed,
            guards: self.guards.node,
        }
    }

    /// The members that found the group.
    pub(super) fn founding_members(&self) -> Vec<Member> {
        let controls = self.controls.iter().enumerate();
        controls
            .filter_map(|(number, actor)| {
                Some(Member {
                    replica: actor.node.as_ref()?.replica(),
                    role: MemberRole::Voter,
                    zone: deployment::zone_of(Process::Control(number)),
                    peer_address: control_address(number, Port::Peer),
                    router_address: control_address(number, Port::Router),
                    admin_address: control_address(number, Port::Admin),
                })
            })
            .collect()
    }

    /// The replica that leads and serves, if there is one; the one of the highest term of several.
    pub(super) fn leader(&self) -> Option<usize> {
        let controls = self.controls.iter().enumerate();
        let serving = controls.filter_map(|(number, actor)| {
            let node = actor.node.as_ref().filter(|node| node.is_serving())?;
            let running = self.condition(Process::Control(number)) == Condition::Running;
            running.then(|| (node.consensus().term(), number))
        });
        serving.max().map(|(_, number)| number)
    }

    pub(super) fn run_control(&mut self, number: usize, input: ControlInput) {
        let process = Process::Control(number);
        let now = self.local(process);
        let Some(input) = self.node_input(number, input) else {
            return;
        };
        let Some(node) = self.controls[number].node.as_mut() else {
            return;
        };
        let outputs = node.handle(now, vec![input]);
        self.note_beliefs(number);
        self.check_commit(number);
        self.note_voters(number);
        for output in outputs {
            self.carry_out(number, output);
        }
        self.check_leases();
        self.note_leadership();
        self.schedule_wake(number);
    }

    fn node_input(&mut self, number: usize, input: ControlInput) -> Option<NodeInput> {
        let actor = &mut self.controls[number];
        Some(match input {
            ControlInput::Wake => {
                if actor.next_wake.is_some_and(|wake| wake > self.now) {
                    return None;
                }
                actor.next_wake = None;
                NodeInput::Tick
            }
            ControlInput::Peer(frame) => NodeInput::Peer(frame),
            ControlInput::CallEnded { call, answer } => NodeInput::BackEnd { call, answer },
            ControlInput::Router {
                connection, frame, ..
            } => NodeInput::Router { connection, frame },
            ControlInput::RouterClosed(connection) => NodeInput::RouterClosed { connection },
            ControlInput::Admin { reply, request } => NodeInput::Admin { reply, request },
            ControlInput::Machines(list) => NodeInput::Machines(list),
        })
    }

    fn schedule_wake(&mut self, number: usize) {
        let process = Process::Control(number);
        let Some(node) = self.controls[number].node.as_ref() else {
            return;
        };
        let Some(body) = self.bodies.get(&process) else {
            return;
        };
        let wake = body
            .clock
            .moment(node.next_wake())
            .max(self.now + LEAST_STEP);
        if self.controls[number]
            .next_wake
            .is_some_and(|known| known <= wake)
        {
            return;
        }
        self.controls[number].next_wake = Some(wake);
        let incarnation = self.incarnation(process);
        let input = Input::Control(ControlInput::Wake);
        self.push(wake, process, Some(incarnation), input);
    }

    fn carry_out(&mut self, number: usize, output: NodeOutput) {
        let process = Process::Control(number);
        match output {
            NodeOutput::Peer { address, frame } => {
                if let Some(to) = deployment::process_at(&address) {
                    let input = Input::Control(ControlInput::Peer(frame));
                    self.send(process, to, None, Carriage::Datagram, input);
                }
            }
            NodeOutput::BackEnd {
                call,
                address,
                request,
            } => self.call_back_end(number, call, &address, request),
            NodeOutput::Router { connection, frame } => {
                if !self.send_to_router(number, connection, &frame) {
                    self.controls[number].broken.insert(connection);
                }
            }
            NodeOutput::AdminReply { reply, result } => self.answer_operator(number, reply, result),
            NodeOutput::Notice(_) => {}
            NodeOutput::Failed(error) => self.give_up(number, &error),
        }
    }

    /// Whether the frame is on its way; a stream that broke once carries nothing more.
    fn send_to_router(
        &mut self,
        number: usize,
        connection: ConnectionId,
        frame: &grebepin_schema::ControlFrame,
    ) -> bool {
        if self.controls[number].broken.contains(&connection) {
            return false;
        }
        let stream = connection.0;
        let (router, incarnation) = router_of(stream);
        let input = Input::Router(RouterInput::Frame {
            connection: stream,
            frame: frame.clone(),
        });
        let from = Process::Control(number);
        let to = Process::Router(router);
        self.send_in_order(from, to, Some(incarnation), stream, input)
    }

    fn call_back_end(
        &mut self,
        number: usize,
        call: CallId,
        address: &SocketAddress,
        request: BackEndRequest,
    ) {
        let process = Process::Control(number);
        if let BackEndRequest::Grant(request) = &request {
            self.note_acknowledged(number, address, request);
        }
        let timeout = Input::Control(ControlInput::CallEnded {
            call,
            answer: Err(CallFailure::TimedOut),
        });
        self.set_timer(process, self.local(process) + CALL_TIMEOUT, timeout);
        let Some(to) = deployment::process_at(address) else {
            return;
        };
        let from = Asker {
            number,
            incarnation: self.incarnation(process),
        };
        let input = Input::Server(ServerInput::Call {
            from,
            call,
            request,
        });
        self.send(process, to, None, Carriage::Datagram, input);
    }

    pub(super) fn ask_control(
        &mut self,
        job: usize,
        try_number: u32,
        number: usize,
        request: grebepin_control::AdminRequest,
    ) {
        let actor = &mut self.controls[number];
        let reply = ReplyId(actor.next_reply);
        actor.next_reply += 1;
        actor.replies.insert(reply, (job, try_number));
        let input = Input::Control(ControlInput::Admin { reply, request });
        let to = Process::Control(number);
        let incarnation = self.incarnation(to);
        self.send(
            Process::Operators,
            to,
            Some(incarnation),
            Carriage::Call,
            input,
        );
    }

    fn answer_operator(
        &mut self,
        number: usize,
        reply: ReplyId,
        result: Result<AdminAnswer, ApiError>,
    ) {
        let Some((job, try_number)) = self.controls[number].replies.remove(&reply) else {
            return;
        };
        if let Ok(answer) = &result {
            self.note_answer(job, answer);
        }
        if self.faults.lose_answer() {
            return;
        }
        let input = Input::Operators(OperatorInput::Reply {
            job,
            try_number,
            result,
        });
        let from = Process::Control(number);
        self.send(from, Process::Operators, None, Carriage::Call, input);
    }

    fn note_answer(&mut self, job: usize, answer: &AdminAnswer) {
        match answer {
            AdminAnswer::Rolled(rolled) => self.record(HistoryEvent::Accepted(BundleRecord {
                version: rolled.version,
                digest: rolled.digest.clone(),
                index: rolled.index,
            })),
            AdminAnswer::Drained(_) => self.note_drained(job),
            _ => {}
        }
    }

    /// A replica whose process is down refuses connections.
    pub(super) fn refuse_control(&mut self, number: usize, input: ControlInput) {
        if let ControlInput::Router {
            router, connection, ..
        } = input
        {
            let closed = Input::Router(RouterInput::Closed(connection.0));
            let from = Process::Control(number);
            self.send(from, Process::Router(router), None, Carriage::Call, closed);
        }
    }

    /// A replica that can't keep its promises stops; its supervisor starts it again.
    fn give_up(&mut self, number: usize, error: &NodeError) {
        let process = Process::Control(number);
        let explanation = format!("{} gave up: {error}", process.name());
        self.findings
            .push(Finding::new(self.now, "gave-up", explanation));
        self.controls[number].node = None;
        self.controls[number].disk.crash(Crash::KeepAll);
        if let Some(body) = self.bodies.get_mut(&process) {
            body.condition = Condition::Down;
        }
        self.record(HistoryEvent::Killed(process.name()));
        self.queue
            .push(self.now + SUPERVISOR_PAUSE, Event::Restart(process));
    }
}

/// The name under which a bundle's service is known.
pub(super) fn service_name() -> ServiceName {
    name(deployment::SERVICE)
}
