//! State of a run: processes, network, faults and the virtual clock.
//!
//! Invariant: a run is determined by its scenario, seed and guards; equal ones give byte-identical records.

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
use crate::network::{Delivery, Network};
use crate::process::{Condition, Process, ProcessState};
use crate::random::{Random, Stream};
use crate::removal::RunGuards;
use crate::scenario::Scenario;

mod controls;
mod external_actors;
mod faults;
mod final_checks;
mod monitors;
mod operations;
mod processes;
mod routers;
mod servers;

pub use final_checks::Finding;

use controls::ControlActor;
use external_actors::Platform;
use faults::Faults;

/// Time at which operators request the founding of the group.
const FOUNDING: Instant = 100 * MILLISECOND;

/// Time of the first request of the callers.
const CALLERS_BEGIN: Instant = 1_500 * MILLISECOND;

/// Minimum length of a run.
const MIN_RUN_LENGTH: Instant = 13 * SECOND;

/// Time after the end of the last fault within which the system must recover.
const RECOVERY_TIME: Instant = 6 * SECOND;

/// Interval between checks for recovery at the end of a run.
const END_RECHECK_INTERVAL: Instant = 300 * MILLISECOND;

/// Bound of the clock drift in percent, as configured in the product.
pub(crate) const DRIFT_PERCENT: u64 = 2;

/// A scheduled event.
enum Event {
    /// Delivers an input to a process, restricted to one incarnation if that is given.
    Deliver {
        to: Process,
        incarnation: Option<u64>,
        input: Input,
    },
    /// A fault begins.
    FaultBegins(usize),
    /// A fault ends.
    FaultEnds(usize),
    /// A process that stopped after a fatal error is started again.
    Restart(Process),
    /// The run ends if the system has recovered.
    End,
}

/// State of a run.
pub struct World {
    now: Instant,
    scenario: Scenario,
    guards: RunGuards,
    queue: crate::queue::EventQueue<Event>,
    network: Network,
    process_states: BTreeMap<Process, ProcessState<Input>>,
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
    /// Control replica and its incarnation at the other end of each connection of a router.
    peers_of_connections: BTreeMap<u64, (usize, u64)>,
    ends: Instant,
    seed: u64,
    /// Index of the last entry on each replica's disk.
    stored: BTreeMap<ReplicaId, LogIndex>,
    end_checks: u32,
    leader_lease_end: Instant,
    longest_without_leader: Instant,
}

impl World {
    /// Sets up a run and schedules its first events.
    pub fn new(scenario: &Scenario, seed: u64, guards: RunGuards) -> Self {
        let faults = Faults::plan(scenario, seed);
        let ends = (faults.last_end() + RECOVERY_TIME).max(MIN_RUN_LENGTH);
        let mut world = Self {
            now: 0,
            scenario: scenario.clone(),
            guards,
            queue: crate::queue::EventQueue::new(),
            network: Network::new(seed),
            process_states: initial_process_states(scenario, seed),
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
            end_checks: 0,
            leader_lease_end: 0,
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

    /// Processes events until the run ends, then checks the final state.
    pub fn run(&mut self) {
        while let Some((at, event)) = self.queue.pop() {
            self.now = at;
            match event {
                Event::Deliver {
                    to,
                    incarnation,
                    input,
                } => self.deliver(to, incarnation, input),
                Event::FaultBegins(number) => self.begin_fault(number),
                Event::FaultEnds(number) => self.end_fault(number),
                Event::Restart(process) => self.restart_process(process),
                Event::End if self.is_end_reached() => break,
                Event::End => self.queue.push(self.now + END_RECHECK_INTERVAL, Event::End),
            }
        }
        self.check_final_state();
    }

    /// The records and findings of a run that has ended.
    pub fn into_parts(self) -> (Vec<grebepin_schema::HistoryRecord>, Vec<Finding>) {
        (self.recorder.into_records(), self.findings)
    }

    fn deliver(&mut self, to: Process, incarnation: Option<u64>, input: Input) {
        let Some(state) = self.process_states.get_mut(&to) else {
            return self.handle(to, input);
        };
        if incarnation.is_some_and(|wanted| wanted != state.incarnation) {
            return;
        }
        match state.condition {
            Condition::Running => self.handle(to, input),
            Condition::Frozen => state.deferred.push_back(input),
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

    /// Refuses a connection to a process that is down.
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

    /// Sends a message over the network, restricted to one incarnation of the receiver if that is given.
    fn send(
        &mut self,
        from: Process,
        to: Process,
        incarnation: Option<u64>,
        how: Delivery,
        input: Input,
    ) {
        for at in self.network.send(self.now, from, to, how) {
            self.push(at, to, incarnation, input.clone());
        }
    }

    /// Sends a frame on a byte stream, which preserves order; returns false when the stream is broken.
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
        let Some(state) = self.process_states.get(&process) else {
            return;
        };
        let at = state.clock.instant_at(local);
        let incarnation = state.incarnation;
        self.push(at, process, Some(incarnation), input);
    }

    fn local(&self, process: Process) -> std::time::Duration {
        let state = self.process_states.get(&process);
        state.map_or(std::time::Duration::ZERO, |state| {
            state.clock.local(self.now)
        })
    }

    fn incarnation(&self, process: Process) -> u64 {
        self.process_states
            .get(&process)
            .map_or(0, |state| state.incarnation)
    }

    fn condition(&self, process: Process) -> Condition {
        let state = self.process_states.get(&process);
        state.map_or(Condition::Running, |state| state.condition)
    }

    fn record(&mut self, event: HistoryEvent) {
        self.recorder.record(self.now, event);
    }
}

fn initial_process_states(
    scenario: &Scenario,
    seed: u64,
) -> BTreeMap<Process, ProcessState<Input>> {
    let mut random = Random::new(seed, Stream::Clocks);
    let mut process_states = BTreeMap::new();
    let controls = (0..CONTROLS).map(Process::Control);
    let servers = (0..SERVERS).map(Process::Server);
    let routers = (0..ROUTERS).map(Process::Router);
    for process in controls.chain(servers).chain(routers) {
        let mut rate_ppm = clock_rate(&mut random);
        if matches!(process, Process::Server(_)) {
            rate_ppm = rate_ppm * (100 - scenario.slow_servers_percent.min(99)) / 100;
        }
        process_states.insert(process, ProcessState::new(0, rate_ppm));
    }
    process_states
}

/// A clock rate within the drift bound. Two of three draws take one of its ends, where violations are most
/// likely.
fn clock_rate(random: &mut Random) -> u64 {
    const SLOWEST: u64 = 1_000_000;
    let fastest = SLOWEST + SLOWEST * DRIFT_PERCENT / 100;
    match random.between(0, 2) {
        0 => SLOWEST,
        1 => fastest,
        _ => random.between(SLOWEST, fastest),
    }
}
