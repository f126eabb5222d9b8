//! The simulated world: processes, network, faults and the run's one clock.
//!
//! Invariant: a run is decided by its scenario, seed and guards alone; the same ones give the same
//! records, byte for byte.

use std::collections::BTreeMap;

use grebepin_schema::{HistoryEvent, LogIndex, ReplicaId};

use crate::actors::callers::Callers;
use crate::actors::operators::Operators;
use crate::actors::router::RouterActor;
use crate::actors::server::ServerActor;
use crate::clock::{Instant, MILLISECOND, SECOND};
use crate::deployment::{CONTROLS, ROUTERS, SERVERS};
use crate::history::Recorder;
use crate::message::{CallerInput, Input, RouterInput};
use crate::network::{Carriage, Network};
use crate::process::{Body, Condition, Process};
use crate::random::{Random, Stream};
use crate::removal::RunGuards;
use crate::scenario::Scenario;

mod controls;
mod ending;
mod faults;
mod operations;
mod people;
mod processes;
mod routers;
mod servers;
mod watch;

pub use ending::Finding;

use controls::ControlActor;
use faults::Faults;
use people::Platform;

/// When the group is founded.
const FOUNDING: Instant = 100 * MILLISECOND;

/// When callers begin.
const CALLERS_BEGIN: Instant = 1_500 * MILLISECOND;

/// Least length of a run.
const LEAST_LENGTH: Instant = 13 * SECOND;

/// Time after the last fault in which everything should become well again.
const QUIET: Instant = 6 * SECOND;

/// Time to the next look at a run's end.
const LOOK_AGAIN: Instant = 300 * MILLISECOND;

/// Bound of the stated drift in percent, which the product is told.
pub(crate) const DRIFT_PERCENT: u64 = 2;

/// Something that is to happen.
enum Event {
    /// An input reaches a process: any start of it, or one.
    Deliver {
        to: Process,
        incarnation: Option<u64>,
        input: Input,
    },
    /// A fault begins.
    FaultBegins(usize),
    /// A fault ends.
    FaultEnds(usize),
    /// A process that gave up is started again.
    Restart(Process),
    /// The run ends.
    End,
}

/// Everything that exists in a run.
pub struct World {
    now: Instant,
    scenario: Scenario,
    guards: RunGuards,
    queue: crate::queue::EventQueue<Event>,
    network: Network,
    bodies: BTreeMap<Process, Body<Input>>,
    controls: Vec<ControlActor>,
    servers: Vec<ServerActor>,
    routers: Vec<RouterActor>,
    callers: Callers,
    operators: Operators,
    platform: Platform,
    faults: Faults,
    starts: Random,
    operator_draws: Random,
    recorder: Recorder,
    findings: Vec<Finding>,
    streams: BTreeMap<(Process, Process, u64), Instant>,
    /// Control replica and its start behind each connection of a router.
    peers_of_connections: BTreeMap<u64, (usize, u64)>,
    ends: Instant,
    seed: u64,
    /// Last entry on each replica's disk.
    stored: BTreeMap<ReplicaId, LogIndex>,
    looks: u32,
    led_until: Instant,
    longest_without_leader: Instant,
}

impl World {
    /// A world in which everything is about to start.
    pub fn new(scenario: &Scenario, seed: u64, guards: RunGuards) -> Self {
        let faults = Faults::plan(scenario, seed);
        let ends = (faults.last_end() + QUIET).max(LEAST_LENGTH);
        let mut world = Self {
            now: 0,
            scenario: scenario.clone(),
            guards,
            queue: crate::queue::EventQueue::new(),
            network: Network::new(seed),
            bodies: bodies(scenario, seed),
            controls: Vec::new(),
            servers: Vec::new(),
            routers: Vec::new(),
            callers: Callers::new(Random::new(seed, Stream::Callers), ends - 2 * SECOND),
            operators: Operators::default(),
            platform: Platform::default(),
            faults,
            starts: Random::new(seed, Stream::Starts),
            operator_draws: Random::new(seed, Stream::Operators),
            recorder: Recorder::default(),
            findings: Vec::new(),
            streams: BTreeMap::new(),
            peers_of_connections: BTreeMap::new(),
            ends,
            seed,
            stored: BTreeMap::new(),
            looks: 0,
            led_until: 0,
            longest_without_leader: 0,
        };
        world.start_everything();
        world
    }

    fn start_everything(&mut self) {
        for number in 0..CONTROLS {
            self.create_control(number);
        }
        for number in 0..SERVERS {
            let server = self.new_server(number);
            self.servers.push(server);
        }
        for number in 0..ROUTERS {
            let router = self.new_router(number);
            self.routers.push(router);
            self.deliver_now(Process::Router(number), Input::Router(RouterInput::Tick));
        }
        self.begin_operations();
        let first = Input::Callers(CallerInput::Next);
        self.push(CALLERS_BEGIN, Process::Callers, None, first);
        self.deliver_now(Process::Platform, Input::PlatformTick);
        for (number, begins, ends) in self.faults.times() {
            self.queue.push(begins, Event::FaultBegins(number));
            self.queue.push(ends, Event::FaultEnds(number));
        }
        self.queue.push(self.ends, Event::End);
    }

    /// Runs to the end.
    pub fn run(&mut self) {
        while let Some((at, event)) = self.queue.pop() {
            self.now = at;
            match event {
                Event::Deliver {
                    to,
                    incarnation,
                    input,
                } => self.arrive(to, incarnation, input),
                Event::FaultBegins(number) => self.begin_fault(number),
                Event::FaultEnds(number) => self.end_fault(number),
                Event::Restart(process) => self.start_again(process),
                Event::End if self.may_end() => break,
                Event::End => self.queue.push(self.now + LOOK_AGAIN, Event::End),
            }
        }
        self.look_at_the_end();
    }

    /// The records and findings of a run that has ended.
    pub fn into_parts(self) -> (Vec<grebepin_schema::HistoryRecord>, Vec<Finding>) {
        (self.recorder.into_records(), self.findings)
    }

    fn arrive(&mut self, to: Process, incarnation: Option<u64>, input: Input) {
        let Some(body) = self.bodies.get_mut(&to) else {
            return self.handle(to, input);
        };
        if incarnation.is_some_and(|wanted| wanted != body.incarnation) {
            return;
        }
        match body.condition {
            Condition::Running => self.handle(to, input),
            Condition::Frozen => body.held.push_back(input),
            Condition::Down => self.refuse(to, input),
        }
    }

    fn handle(&mut self, to: Process, input: Input) {
        match (to, input) {
            (Process::Control(number), Input::Control(input)) => self.run_control(number, input),
            (Process::Server(number), Input::Server(input)) => self.run_server(number, input),
            (Process::Router(number), Input::Router(input)) => self.run_router(number, input),
            (_, Input::Callers(input)) => self.run_callers(input),
            (_, Input::Operators(input)) => self.run_operators(input),
            (_, Input::PlatformTick) => self.run_platform(),
            _ => {}
        }
    }

    /// A machine whose process is down refuses connections.
    fn refuse(&mut self, to: Process, input: Input) {
        match (to, input) {
            (Process::Server(number), Input::Server(input)) => self.refuse_server(number, input),
            (Process::Control(number), Input::Control(input)) => {
                self.refuse_control(number, input);
            }
            _ => {}
        }
    }

    fn push(&mut self, at: Instant, to: Process, incarnation: Option<u64>, input: Input) {
        let event = Event::Deliver {
            to,
            incarnation,
            input,
        };
        self.queue.push(at.max(self.now), event);
    }

    fn deliver_now(&mut self, to: Process, input: Input) {
        let incarnation = self.incarnation(to);
        self.push(self.now, to, Some(incarnation), input);
    }

    /// Sends a message over the network, to any start of a process or to one.
    fn send(
        &mut self,
        from: Process,
        to: Process,
        incarnation: Option<u64>,
        how: Carriage,
        input: Input,
    ) {
        for at in self.network.send(self.now, from, to, how) {
            self.push(at, to, incarnation, input.clone());
        }
    }

    /// Sends a frame on a byte stream, in order with the others on it.
    fn send_in_order(
        &mut self,
        from: Process,
        to: Process,
        incarnation: Option<u64>,
        stream: u64,
        input: Input,
    ) -> bool {
        let key = (from, to, stream);
        let after = self.streams.get(&key).copied().unwrap_or(0);
        let Some(at) = self.network.send_in_order(self.now, from, to, after) else {
            return false;
        };
        self.streams.insert(key, at);
        self.push(at, to, incarnation, input);
        true
    }

    fn set_timer(&mut self, process: Process, local: std::time::Duration, input: Input) {
        let Some(body) = self.bodies.get(&process) else {
            return;
        };
        let at = body.clock.moment(local);
        let incarnation = body.incarnation;
        self.push(at, process, Some(incarnation), input);
    }

    fn local(&self, process: Process) -> std::time::Duration {
        let body = self.bodies.get(&process);
        body.map_or(std::time::Duration::ZERO, |body| body.clock.local(self.now))
    }

    fn incarnation(&self, process: Process) -> u64 {
        self.bodies.get(&process).map_or(0, |body| body.incarnation)
    }

    fn condition(&self, process: Process) -> Condition {
        let body = self.bodies.get(&process);
        body.map_or(Condition::Running, |body| body.condition)
    }

    fn record(&mut self, event: HistoryEvent) {
        self.recorder.record(self.now, event);
    }
}

fn bodies(scenario: &Scenario, seed: u64) -> BTreeMap<Process, Body<Input>> {
    let mut random = Random::new(seed, Stream::Clocks);
    let mut bodies = BTreeMap::new();
    let controls = (0..CONTROLS).map(Process::Control);
    let servers = (0..SERVERS).map(Process::Server);
    let routers = (0..ROUTERS).map(Process::Router);
    for process in controls.chain(servers).chain(routers) {
        let mut rate_ppm = clock_rate(&mut random);
        if matches!(process, Process::Server(_)) {
            rate_ppm = rate_ppm * (100 - scenario.slow_servers_percent.min(99)) / 100;
        }
        bodies.insert(process, Body::new(0, rate_ppm));
    }
    bodies
}

/// A rate within the stated bound; often at one of its ends, where it hurts most.
fn clock_rate(random: &mut Random) -> u64 {
    const SLOWEST: u64 = 1_000_000;
    let fastest = SLOWEST + SLOWEST * DRIFT_PERCENT / 100;
    match random.between(0, 2) {
        0 => SLOWEST,
        1 => fastest,
        _ => random.between(SLOWEST, fastest),
    }
}
