//! Faults: when they strike, whom, and what they do.
//!
//! Invariant: every fault that began ends, so that at the end of a run nothing is broken any more.

use grebepin_schema::{HistoryEvent, MemberRole};
use grebepin_storage::Crash;

use super::World;
use crate::actors::operators::Wish;
use crate::clock::{Instant, MILLISECOND};
use crate::deployment::{server_name, CONTROLS, ROUTERS, SERVERS};
use crate::message::{Input, OperatorInput, RouterInput};
use crate::network::NetworkFault;
use crate::process::{Condition, Process, ZONES};
use crate::random::{Random, Stream};
use crate::scenario::{Fault, FaultKind, Scenario, Target};

/// Time between two looks at a server that leaves.
const WATCH_INTERVAL: Instant = 40 * MILLISECOND;

/// Time between two of the operators' jobs that make entries.
const CHURN_INTERVAL: Instant = 30 * MILLISECOND;

/// What a fault does while it is in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Active {
    Nothing,
    Down(Process),
    Frozen(Process),
    Network(NetworkFault),
    Misleads(usize),
    Sheds(usize),
    Crosses(usize),
    RefusesCalls(usize),
    StaleMachines,
    Leaving {
        server: usize,
        job: Option<usize>,
        stopped: bool,
    },
}

/// A fault with its times.
struct Planned {
    fault: Fault,
    begins: Instant,
    ends: Instant,
    active: Active,
}

/// The faults of a run.
pub(super) struct Faults {
    planned: Vec<Planned>,
    random: Random,
    answers_to_lose: u64,
    last_control: Option<usize>,
    last_server: Option<usize>,
    /// Faults in force on each process, in the order of [`Process`].
    in_force: std::collections::BTreeMap<Process, u32>,
}

impl Faults {
    /// Draws the times of a scenario's faults.
    pub(super) fn plan(scenario: &Scenario, seed: u64) -> Self {
        let mut random = Random::new(seed, Stream::Faults);
        let planned = scenario.faults.iter().map(|fault| {
            let begins = random.range(fault.at) * MILLISECOND;
            Planned {
                fault: fault.clone(),
                begins,
                ends: begins + random.range(fault.lasts) * MILLISECOND,
                active: Active::Nothing,
            }
        });
        Self {
            planned: planned.collect(),
            random,
            answers_to_lose: 0,
            last_control: None,
            last_server: None,
            in_force: std::collections::BTreeMap::new(),
        }
    }

    /// When the last fault ends.
    pub(super) fn last_end(&self) -> Instant {
        let ends = self.planned.iter().map(|planned| planned.ends);
        ends.max().unwrap_or(0)
    }

    /// Number, begin and end of each fault.
    pub(super) fn times(&self) -> Vec<(usize, Instant, Instant)> {
        let planned = self.planned.iter().enumerate();
        planned
            .map(|(number, planned)| (number, planned.begins, planned.ends))
            .collect()
    }

    /// Whether the next answer to an operator is lost.
    pub(super) fn lose_answer(&mut self) -> bool {
        let lose = self.answers_to_lose > 0;
        self.answers_to_lose = self.answers_to_lose.saturating_sub(1);
        lose
    }
}

impl World {
    pub(super) fn begin_fault(&mut self, number: usize) {
        let fault = self.faults.planned[number].fault.clone();
        let active = self.strike(number, &fault);
        self.faults.planned[number].active = active;
    }

    fn strike(&mut self, number: usize, fault: &Fault) -> Active {
        match fault.kind {
            FaultKind::Noisy => self.begin_network(NetworkFault::Noisy),
            FaultKind::Race => self.race(),
            FaultKind::Roll => self.roll(fault.amount as u32),
            FaultKind::Churn => self.churn(fault.amount),
            FaultKind::LoseAnswers => {
                self.faults.answers_to_lose += fault.amount;
                Active::Nothing
            }
            FaultKind::StaleMachines => {
                self.platform.stale = Some(fault.amount * MILLISECOND);
                Active::StaleMachines
            }
            FaultKind::CutZone => {
                let zone = self.faults.random.pick(ZONES.len());
                self.begin_network(NetworkFault::ZoneCut(zone))
            }
            _ => match self.choose(fault.target) {
                Some(process) => self.strike_process(number, fault, process),
                None => Active::Nothing,
            },
        }
    }

    fn strike_process(&mut self, number: usize, fault: &Fault, process: Process) -> Active {
        match (fault.kind, process) {
            (FaultKind::Kill, _) => self.kill(process, Crash::KeepAll),
            (FaultKind::PowerLoss, _) => self.kill(process, Crash::LoseUnsynced),
            (FaultKind::TornWrite, _) => self.kill(process, Crash::TearWrites),
            (FaultKind::LoseDisk, Process::Control(control)) => self.lose_disk(control),
            (FaultKind::Freeze, _) => self.freeze(process),
            (FaultKind::Isolate, _) => self.begin_network(NetworkFault::Isolated(process)),
            (FaultKind::LoseOutgoing, _) => self.begin_network(NetworkFault::OutgoingLost(process)),
            (FaultKind::LoseIncoming, _) => self.begin_network(NetworkFault::IncomingLost(process)),
            (FaultKind::LosePeers, _) => self.begin_network(NetworkFault::PeersLost(process)),
            (FaultKind::CutPair, _) => {
                let control = Process::Control(self.faults.random.pick(CONTROLS));
                self.begin_network(NetworkFault::PairCut(process, control))
            }
            (FaultKind::LoseLeader, _) => {
                let leader = Process::Control(self.leader().unwrap_or(0));
                self.begin_network(NetworkFault::PairCut(process, leader))
            }
            (FaultKind::RefuseCalls, Process::Server(server)) => {
                self.servers[server].refuses_calls = true;
                Active::RefusesCalls(server)
            }
            (FaultKind::Slow, _) => {
                let most = fault.amount * MILLISECOND;
                self.begin_network(NetworkFault::Slow(process, most))
            }
            (FaultKind::Mislead, Process::Server(server)) => {
                self.servers[server].misleads = true;
                Active::Misleads(server)
            }
            (FaultKind::Shed, Process::Server(server)) => {
                self.servers[server].sheds = true;
                Active::Sheds(server)
            }
            (FaultKind::CrossAnswers, Process::Server(server)) => {
                self.servers[server].crosses = true;
                Active::Crosses(server)
            }
            (FaultKind::PlannedStop, Process::Server(server)) => self.begin_drain(number, server),
            (FaultKind::Leave, Process::Server(server)) => self.tell_to_leave(number, server),
            _ => Active::Nothing,
        }
    }

    fn choose(&mut self, target: Target) -> Option<Process> {
        let process = match target {
            Target::Nobody | Target::Zone => return None,
            Target::Leader => Process::Control(self.leader().unwrap_or(0)),
            Target::Follower => {
                let leader = self.leader();
                self.pick_control(|number| Some(number) != leader)?
            }
            Target::Control => self.pick_control(|_| true)?,
            Target::AnotherControl => {
                let last = self.faults.last_control;
                let in_force = self.faults.in_force.clone();
                self.pick_control(|number| {
                    let struck = in_force.get(&Process::Control(number));
                    Some(number) != last && struck.is_none_or(|count| *count == 0)
                })?
            }
            Target::SameControl => Process::Control(self.faults.last_control?),
            Target::Server => Process::Server(self.faults.random.pick(SERVERS)),
            Target::SameServer => Process::Server(self.faults.last_server?),
            Target::Router => Process::Router(self.faults.random.pick(ROUTERS)),
        };
        match process {
            Process::Control(number) => self.faults.last_control = Some(number),
            Process::Server(number) => self.faults.last_server = Some(number),
            _ => {}
        }
        Some(process)
    }

    fn pick_control(&mut self, fits: impl Fn(usize) -> bool) -> Option<Process> {
        let fitting: Vec<usize> = (0..CONTROLS).filter(|number| fits(*number)).collect();
        if fitting.is_empty() {
            return None;
        }
        let place = self.faults.random.pick(fitting.len());
        Some(Process::Control(fitting[place]))
    }

    pub(super) fn end_fault(&mut self, number: usize) {
        let planned = &mut self.faults.planned[number];
        match std::mem::replace(&mut planned.active, Active::Nothing) {
            Active::Nothing => {}
            Active::Down(process) => self.revive(process),
            Active::Frozen(process) => self.thaw(process),
            Active::Network(fault) => self.end_network(fault),
            Active::Misleads(server) => self.servers[server].misleads = false,
            Active::Sheds(server) => self.servers[server].sheds = false,
            Active::Crosses(server) => self.servers[server].crosses = false,
            Active::RefusesCalls(server) => self.servers[server].refuses_calls = false,
            Active::StaleMachines => self.platform.stale = None,
            Active::Leaving {
                server,
                job,
                stopped,
            } => self.end_leaving(server, job, stopped),
        }
    }

    fn kill(&mut self, process: Process, crash: Crash) -> Active {
        self.take_down(process);
        self.note_struck(process, HistoryEvent::Killed(process.name()));
        if let Process::Control(number) = process {
            self.controls[number].disk.crash(crash);
        }
        Active::Down(process)
    }

    /// Stops a process for good; it is opened anew when it comes back.
    fn take_down(&mut self, process: Process) {
        match process {
            Process::Control(number) => {
                self.forget_beliefs(number);
                self.controls[number].node = None;
                self.close_connections_to(number);
                self.led_until = self.led_until.min(self.now);
            }
            Process::Server(number) => {
                self.flush_server(number);
                self.break_connections(number);
            }
            _ => {}
        }
        if let Some(body) = self.bodies.get_mut(&process) {
            body.condition = Condition::Down;
            body.kills += 1;
            body.held.clear();
        }
    }

    /// Loses a disk if the group tolerates it now; else the process only dies.
    fn lose_disk(&mut self, control: usize) -> Active {
        let tolerated = self.tolerates_lost_disk(control);
        let active = self.kill(Process::Control(control), Crash::KeepAll);
        if tolerated {
            self.controls[control].disk.wipe();
        }
        active
    }

    /// Whether all other replicas are voters of the membership that the latest replica knows.
    fn tolerates_lost_disk(&self, control: usize) -> bool {
        let nodes = self.controls.iter().filter_map(|actor| actor.node.as_ref());
        let Some(latest) = nodes.max_by_key(|node| node.consensus().commit()) else {
            return false;
        };
        let members = &latest.consensus().membership().members;
        let others = self
            .controls
            .iter()
            .enumerate()
            .filter(|(number, _)| *number != control);
        let mut others = others.map(|(_, actor)| actor.node.as_ref());
        others.all(|node| {
            node.is_some_and(|node| {
                members.iter().any(|member| {
                    member.replica == node.replica() && member.role == MemberRole::Voter
                })
            })
        })
    }

    fn revive(&mut self, process: Process) {
        let Some(body) = self.bodies.get_mut(&process) else {
            return;
        };
        body.kills = body.kills.saturating_sub(1);
        if body.kills == 0 {
            self.start_again(process);
        }
        self.note_mended(process);
    }

    /// Starts a process that is down, unless a fault keeps it down.
    pub(super) fn start_again(&mut self, process: Process) {
        let now = self.now;
        let Some(body) = self.bodies.get_mut(&process) else {
            return;
        };
        if body.kills > 0 || body.condition != Condition::Down {
            return;
        }
        body.restart(now);
        if body.freezes > 0 {
            body.condition = Condition::Frozen;
        }
        match process {
            Process::Control(number) => self.open_control(number),
            Process::Server(number) => self.servers[number] = self.new_server(number),
            Process::Router(number) => {
                self.routers[number] = self.new_router(number);
                self.deliver_now(process, Input::Router(RouterInput::Tick));
            }
            _ => {}
        }
        if self
            .faults
            .in_force
            .get(&process)
            .is_none_or(|count| *count == 0)
        {
            self.record(HistoryEvent::Returned(process.name()));
        }
    }

    fn freeze(&mut self, process: Process) -> Active {
        if let Some(body) = self.bodies.get_mut(&process) {
            body.freezes += 1;
            if body.condition == Condition::Running {
                body.condition = Condition::Frozen;
            }
        }
        self.note_struck(process, HistoryEvent::Frozen(process.name()));
        Active::Frozen(process)
    }

    fn thaw(&mut self, process: Process) {
        let Some(body) = self.bodies.get_mut(&process) else {
            return;
        };
        body.freezes = body.freezes.saturating_sub(1);
        if body.freezes > 0 {
            return self.note_mended(process);
        }
        if body.condition == Condition::Frozen {
            body.condition = Condition::Running;
        }
        self.note_mended(process);
        let held = self
            .bodies
            .get_mut(&process)
            .map(|body| std::mem::take(&mut body.held));
        for input in held.unwrap_or_default() {
            self.arrive(process, None, input);
        }
    }

    fn begin_network(&mut self, fault: NetworkFault) -> Active {
        self.network.begin(fault);
        for process in cut_off_by(fault) {
            self.note_struck(process, HistoryEvent::CutOff(process.name()));
        }
        Active::Network(fault)
    }

    fn end_network(&mut self, fault: NetworkFault) {
        self.network.end(fault);
        for process in cut_off_by(fault) {
            self.note_mended(process);
        }
    }

    fn note_struck(&mut self, process: Process, event: HistoryEvent) {
        *self.faults.in_force.entry(process).or_default() += 1;
        self.record(event);
    }

    fn note_mended(&mut self, process: Process) {
        let count = self.faults.in_force.entry(process).or_default();
        *count = count.saturating_sub(1);
        if *count == 0 {
            self.record(HistoryEvent::Returned(process.name()));
        }
    }

    fn race(&mut self) -> Active {
        for (operator, new_share) in [(0, 35), (1, 65)] {
            let note = format!("race at {} by operator {operator}", self.now);
            self.add_wish(Wish::Roll { new_share, note }, operator, self.now);
        }
        Active::Nothing
    }

    fn roll(&mut self, new_share: u32) -> Active {
        let note = format!("roll at {}", self.now);
        self.add_wish(Wish::Roll { new_share, note }, 1, self.now);
        Active::Nothing
    }

    fn churn(&mut self, times: u64) -> Active {
        let mut last = None;
        for time in 0..times {
            let server = (time as usize / 2) % SERVERS;
            let draining = time % 2 == 0;
            let wish = Wish::Drain { server, draining };
            let at = self.now + time * CHURN_INTERVAL;
            last = Some(match last {
                Some(after) => self.add_wish_after(wish, after, at),
                None => self.add_wish(wish, 0, at),
            });
        }
        if let (Some(after), 1) = (last, times % 2) {
            let server = (times as usize / 2) % SERVERS;
            let draining = false;
            self.add_wish_after(Wish::Drain { server, draining }, after, self.now);
        }
        Active::Nothing
    }

    fn begin_drain(&mut self, fault: usize, server: usize) -> Active {
        let draining = true;
        let job = self.add_wish(Wish::Drain { server, draining }, 0, self.now);
        self.watch_again(fault);
        Active::Leaving {
            server,
            job: Some(job),
            stopped: false,
        }
    }

    fn tell_to_leave(&mut self, fault: usize, server: usize) -> Active {
        if self.condition(Process::Server(server)) == Condition::Running {
            let now = self.local(Process::Server(server));
            self.servers[server].holder().drain(now, true);
            self.record(HistoryEvent::Leaving(server_name(server)));
        }
        self.watch_again(fault);
        Active::Leaving {
            server,
            job: None,
            stopped: false,
        }
    }

    fn watch_again(&mut self, fault: usize) {
        let input = Input::Operators(OperatorInput::WatchLeaving(fault));
        self.push(self.now + WATCH_INTERVAL, Process::Operators, None, input);
    }

    /// Stops a leaving server once it holds nothing and runs nothing.
    pub(super) fn watch_leaving(&mut self, fault: usize) {
        let Active::Leaving {
            server,
            job,
            stopped: false,
        } = self.faults.planned[fault].active
        else {
            return;
        };
        let process = Process::Server(server);
        let now = self.local(process);
        let told = job.is_none_or(|job| self.operators.is_done(job));
        let running = self.condition(process) == Condition::Running;
        if !running || !told || !self.servers[server].is_idle(now) {
            return self.watch_again(fault);
        }
        self.record(HistoryEvent::Stopped(server_name(server)));
        self.take_down(process);
        self.faults.planned[fault].active = Active::Leaving {
            server,
            job,
            stopped: true,
        };
    }

    fn end_leaving(&mut self, server: usize, job: Option<usize>, stopped: bool) {
        let process = Process::Server(server);
        if stopped {
            if let Some(body) = self.bodies.get_mut(&process) {
                body.kills = body.kills.saturating_sub(1);
            }
            self.start_again(process);
        }
        match job {
            Some(job) => {
                let draining = false;
                let wish = Wish::Drain { server, draining };
                self.add_wish_after(wish, job, self.now);
            }
            None => {
                let now = self.local(process);
                self.servers[server].holder().drain(now, false);
                self.record(HistoryEvent::Staying(server_name(server)));
            }
        }
    }
}

/// Processes that a fault of the network keeps from doing their part.
fn cut_off_by(fault: NetworkFault) -> Vec<Process> {
    match fault {
        NetworkFault::Isolated(process)
        | NetworkFault::OutgoingLost(process)
        | NetworkFault::IncomingLost(process)
        | NetworkFault::PeersLost(process)
        | NetworkFault::PairCut(process, _) => vec![process],
        NetworkFault::ZoneCut(zone) => {
            let controls = (0..CONTROLS).map(Process::Control);
            let servers = (0..SERVERS).map(Process::Server);
            let routers = (0..ROUTERS).map(Process::Router);
            let all = controls.chain(servers).chain(routers);
            all.filter(|process| process.zone() == Some(zone)).collect()
        }
        NetworkFault::Slow(..) | NetworkFault::Noisy => Vec::new(),
    }
}
