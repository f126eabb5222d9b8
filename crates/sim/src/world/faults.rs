//! Fault injection: times, targets and effects of faults.
//!
//! Invariant: every fault that starts also ends, so that no fault is in force at the end of a run.

use std::collections::{BTreeMap, BTreeSet};

use grebepin_schema::HistoryEvent;
use grebepin_storage::Crash;

use super::World;
use crate::clock::{Instant, MILLISECOND};
use crate::deployment::{CONTROLS, ROUTERS, SERVERS};
use crate::network::NetworkFault;
use crate::process::{Process, ZONES};
use crate::random::{Random, Stream};
use crate::scenario::{Fault, FaultKind, Scenario, Target};

/// Effect of a fault in force that must be undone when it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ActiveFault {
    Nothing,
    Down(Process),
    Frozen(Process),
    Network(NetworkFault),
    UnderreportsLoad(usize),
    ShedsAllWork(usize),
    MismatchesAnswers(usize),
    RefusesCalls(usize),
    StaleMachines,
    Leaving {
        server: usize,
        job: Option<usize>,
        stopped: bool,
    },
}

/// A fault with its start and end.
pub(super) struct Planned {
    fault: Fault,
    begins: Instant,
    ends: Instant,
    pub(super) active: ActiveFault,
}

/// The faults of a run.
pub(super) struct Faults {
    pub(super) planned: Vec<Planned>,
    random: Random,
    answers_to_lose: u64,
    last_control: Option<usize>,
    last_server: Option<usize>,
    /// Control replicas that lost their disks and are not yet voters again.
    pub(super) joining: BTreeSet<usize>,
    /// Number of faults in force on each process.
    pub(super) in_force: BTreeMap<Process, u32>,
}

impl Faults {
    /// Draws start and duration of a scenario's faults.
    pub(super) fn plan(scenario: &Scenario, seed: u64) -> Self {
        let mut random = Random::new(seed, Stream::Faults);
        let planned = scenario.faults.iter().map(|fault| {
            let begins = random.range(fault.at) * MILLISECOND;
            Planned {
                fault: fault.clone(),
                begins,
                ends: begins + random.range(fault.lasts) * MILLISECOND,
                active: ActiveFault::Nothing,
            }
        });
        Self {
            planned: planned.collect(),
            random,
            answers_to_lose: 0,
            last_control: None,
            last_server: None,
            joining: BTreeSet::new(),
            in_force: BTreeMap::new(),
        }
    }

    /// End of the last fault; 0 without faults.
    pub(super) fn last_end(&self) -> Instant {
        let ends = self.planned.iter().map(|planned| planned.ends);
        ends.max().unwrap_or(0)
    }

    /// Number, start and end of each fault.
    pub(super) fn times(&self) -> Vec<(usize, Instant, Instant)> {
        let planned = self.planned.iter().enumerate();
        planned
            .map(|(number, planned)| (number, planned.begins, planned.ends))
            .collect()
    }

    /// Whether the next response to an operator is lost; decrements the number of responses to lose.
    pub(super) fn lose_answer(&mut self) -> bool {
        let lose = self.answers_to_lose > 0;
        self.answers_to_lose = self.answers_to_lose.saturating_sub(1);
        lose
    }
}

impl World {
    pub(super) fn begin_fault(&mut self, number: usize) {
        let fault = self.faults.planned[number].fault.clone();
        let active = self.start_fault(number, &fault);
        self.faults.planned[number].active = active;
    }

    fn start_fault(&mut self, number: usize, fault: &Fault) -> ActiveFault {
        match fault.kind {
            FaultKind::Noisy => self.begin_network(NetworkFault::Noisy),
            FaultKind::Race => self.submit_racing_bundles(),
            FaultKind::Roll => self.roll(fault.amount as u32),
            FaultKind::Churn => self.churn(fault.amount),
            FaultKind::LoseAnswers => {
                self.faults.answers_to_lose += fault.amount;
                ActiveFault::Nothing
            }
            FaultKind::StaleMachines => {
                self.platform.stale = Some(fault.amount * MILLISECOND);
                ActiveFault::StaleMachines
            }
            FaultKind::CutZone => {
                let zone = self.faults.random.pick(ZONES.len());
                self.begin_network(NetworkFault::ZoneCut(zone))
            }
            _ => match self.choose(fault.target) {
                Some(process) => self.start_process_fault(number, fault, process),
                None => ActiveFault::Nothing,
            },
        }
    }

    fn start_process_fault(
        &mut self,
        number: usize,
        fault: &Fault,
        process: Process,
    ) -> ActiveFault {
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
                ActiveFault::RefusesCalls(server)
            }
            (FaultKind::Slow, _) => {
                let most = fault.amount * MILLISECOND;
                self.begin_network(NetworkFault::Slow(process, most))
            }
            (FaultKind::Mislead, Process::Server(server)) => {
                self.servers[server].underreports_load = true;
                ActiveFault::UnderreportsLoad(server)
            }
            (FaultKind::Shed, Process::Server(server)) => {
                self.servers[server].sheds_all_work = true;
                ActiveFault::ShedsAllWork(server)
            }
            (FaultKind::CrossAnswers, Process::Server(server)) => {
                self.servers[server].mismatches_answers = true;
                ActiveFault::MismatchesAnswers(server)
            }
            (FaultKind::PlannedStop, Process::Server(server)) => self.begin_drain(number, server),
            (FaultKind::Leave, Process::Server(server)) => self.request_leave(number, server),
            _ => ActiveFault::Nothing,
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
        match std::mem::replace(&mut planned.active, ActiveFault::Nothing) {
            ActiveFault::Nothing => {}
            ActiveFault::Down(process) => self.end_kill(process),
            ActiveFault::Frozen(process) => self.end_freeze(process),
            ActiveFault::Network(fault) => self.end_network(fault),
            ActiveFault::UnderreportsLoad(server) => self.servers[server].underreports_load = false,
            ActiveFault::ShedsAllWork(server) => self.servers[server].sheds_all_work = false,
            ActiveFault::MismatchesAnswers(server) => {
                self.servers[server].mismatches_answers = false
            }
            ActiveFault::RefusesCalls(server) => self.servers[server].refuses_calls = false,
            ActiveFault::StaleMachines => self.platform.stale = None,
            ActiveFault::Leaving {
                server,
                job,
                stopped,
            } => self.end_leaving(server, job, stopped),
        }
    }

    fn begin_network(&mut self, fault: NetworkFault) -> ActiveFault {
        self.network.begin(fault);
        for process in cut_off_by(fault) {
            self.record_fault_start(process, HistoryEvent::CutOff(process.name()));
        }
        ActiveFault::Network(fault)
    }

    fn end_network(&mut self, fault: NetworkFault) {
        self.network.end(fault);
        for process in cut_off_by(fault) {
            self.record_fault_end(process);
        }
    }
}

/// Processes that a network fault counts as cut off.
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
