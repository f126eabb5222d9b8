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

use super::final_checks::Finding;
use super::routers::router_of;
use super::{Event, World, DRIFT_PERCENT};
use crate::clock::{Instant, MILLISECOND};
use crate::deployment::{self, control_address, name, Port, CONTROLS};
use crate::message::{ControlInput, Input, OperatorInput, Requester, RouterInput, ServerInput};
use crate::network::Delivery;
use crate::process::{Condition, Process};

/// The simulated control group.
pub(super) const GROUP: GroupId = GroupId(1);

/// Timeout of a call of a control replica to a back end.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Minimum time between two timer wake-ups of a control replica.
const MIN_WAKE_INTERVAL: Instant = 2 * MILLISECOND;

/// Delay before a supervisor restarts a process that stopped after a fatal error.
const SUPERVISOR_RESTART_DELAY: Instant = 500 * MILLISECOND;

/// A control replica and its simulator state.
pub(super) struct ControlActor {
    pub(super) node: Option<ControlNode<SimulatedDisk>>,
    pub(super) disk: SimulatedDisk,
    next_wake: Option<Instant>,
    broken: BTreeSet<ConnectionId>,
    /// Job and try number of the operator that waits for each reply.
    replies: BTreeMap<ReplyId, (usize, u32)>,
    next_reply: u64,
    pub(super) recorded_epochs: BTreeMap<(ServiceName, ShardId), Epoch>,
    pub(super) recorded_index: LogIndex,
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
            recorded_epochs: BTreeMap::new(),
            recorded_index: LogIndex(0),
            committed: LogIndex(0),
        });
        self.open_control(number);
    }

    /// Opens a replica on its disk. A damaged directory is reported and wiped, like an operator who moves it
    /// away.
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
                let explanation = format!("{}: damaged data directory: {error}", process.name());
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
            Err(error) => self.stop_failed_node(number, &error),
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

    /// The founding members of the group: all control replicas, as voters.
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

    /// The running replica that serves as leader, if any; of several the one with the highest term.
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
        self.record_table_changes(number);
        self.check_commit(number);
        self.update_joining_replicas(number);
        for output in outputs {
            self.carry_out(number, output);
        }
        self.check_leases();
        self.update_leaderless_time();
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
        let Some(state) = self.process_states.get(&process) else {
            return;
        };
        let wake = state
            .clock
            .instant_at(node.next_wake())
            .max(self.now + MIN_WAKE_INTERVAL);
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
                    self.send(process, to, None, Delivery::Datagram, input);
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
            NodeOutput::Failed(error) => self.stop_failed_node(number, &error),
        }
    }

    /// Sends a frame to a router; returns false if the stream is broken, which is permanent.
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
            self.record_acknowledgements(number, address, request);
        }
        let timeout = Input::Control(ControlInput::CallEnded {
            call,
            answer: Err(CallFailure::TimedOut),
        });
        self.set_timer(process, self.local(process) + CALL_TIMEOUT, timeout);
        let Some(to) = deployment::process_at(address) else {
            return;
        };
        let from = Requester {
            number,
            incarnation: self.incarnation(process),
        };
        let input = Input::Server(ServerInput::Call {
            from,
            call,
            request,
        });
        self.send(process, to, None, Delivery::Datagram, input);
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
            Delivery::Call,
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
            self.record_admin_answer(job, answer);
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
        self.send(from, Process::Operators, None, Delivery::Call, input);
    }

    fn record_admin_answer(&mut self, job: usize, answer: &AdminAnswer) {
        match answer {
            AdminAnswer::Rolled(rolled) => self.record(HistoryEvent::Accepted(BundleRecord {
                version: rolled.version,
                digest: rolled.digest.clone(),
                index: rolled.index,
            })),
            AdminAnswer::Drained(_) => self.record_drain(job),
            _ => {}
        }
    }

    /// Refuses a connection to a control replica whose process is down.
    pub(super) fn refuse_control(&mut self, number: usize, input: ControlInput) {
        if let ControlInput::Router {
            router, connection, ..
        } = input
        {
            let closed = Input::Router(RouterInput::Closed(connection.0));
            let from = Process::Control(number);
            self.send(from, Process::Router(router), None, Delivery::Call, closed);
        }
    }

    /// Stops a replica after a fatal error; its supervisor restarts it.
    fn stop_failed_node(&mut self, number: usize, error: &NodeError) {
        let process = Process::Control(number);
        let explanation = format!("{} stopped after a fatal error: {error}", process.name());
        self.findings
            .push(Finding::new(self.now, "gave-up", explanation));
        self.controls[number].node = None;
        self.controls[number].disk.crash(Crash::KeepAll);
        if let Some(state) = self.process_states.get_mut(&process) {
            state.condition = Condition::Down;
        }
        self.record(HistoryEvent::Killed(process.name()));
        self.queue
            .push(self.now + SUPERVISOR_RESTART_DELAY, Event::Restart(process));
    }
}

/// Name of the simulated service.
pub(super) fn service_name() -> ServiceName {
    name(deployment::SERVICE)
}
