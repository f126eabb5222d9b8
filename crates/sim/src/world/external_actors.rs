//! Connects callers, operators and the platform to the simulated network.

use std::collections::VecDeque;

use grebepin_schema::{HistoryEvent, Machine, MachineList, MachineState};

use super::{World, FOUNDING};
use crate::actors::callers::CallerEffect;
use crate::actors::operators::{OperatorAction, OperatorEffect};
use crate::clock::{Instant, MILLISECOND, SECOND};
use crate::deployment::{server_name, CONTROLS, SERVERS};
use crate::message::{CallerInput, ControlInput, Input, OperatorInput, RouterInput};
use crate::network::Delivery;
use crate::process::{Condition, Process};

/// Interval between two machine lists of the platform.
const PLATFORM_INTERVAL: Instant = 500 * MILLISECOND;

/// Age of the platform's machine list without faults.
const USUAL_LAG: Instant = SECOND;

/// Probability in percent that an entry of a stale list is falsely reported as gone.
const FALSE_ENTRIES_PERCENT: u64 = 25;

/// Bundles rolled in every run: start in ms and share of the new side in percent.
const ROLLS: [(Instant, u32); 3] = [(600, 30), (3_800, 60), (6_800, 45)];

/// State of the platform: its past machine lists.
#[derive(Default)]
pub(super) struct Platform {
    seen: VecDeque<(Instant, MachineList)>,
    /// Age of its list while a fault makes it stale.
    pub(super) stale: Option<Instant>,
}

impl World {
    /// Schedules the founding of the group and the bundles rolled in every run.
    pub(super) fn begin_operations(&mut self) {
        let members = self.founding_members();
        for control in 0..CONTROLS {
            let members = members.clone();
            let action = OperatorAction::Found { control, members };
            self.add_operator_action(action, control, FOUNDING);
        }
        for (number, (at, new_share)) in ROLLS.into_iter().enumerate() {
            let note = format!("roll {number}");
            self.add_operator_action(
                OperatorAction::Roll { new_share, note },
                number,
                at * MILLISECOND,
            );
        }
    }

    /// Schedules a job of an operator and returns its number.
    pub(super) fn add_operator_action(
        &mut self,
        action: OperatorAction,
        target: usize,
        at: Instant,
    ) -> usize {
        let (job, effect) = self.operators.add(action, target % CONTROLS, at);
        self.carry_out_operator(effect);
        job
    }

    /// Schedules a job of an operator that waits until the job `after` is done.
    pub(super) fn add_operator_action_after(
        &mut self,
        action: OperatorAction,
        after: usize,
        at: Instant,
    ) -> usize {
        let (job, effect) = self.operators.add_after(action, after, at);
        self.carry_out_operator(effect);
        job
    }

    pub(super) fn run_operators(&mut self, input: OperatorInput) {
        if let OperatorInput::WatchLeaving(fault) = input {
            return self.watch_leaving(fault);
        }
        for effect in self.operators.handle(self.now, input) {
            self.carry_out_operator(effect);
        }
    }

    fn carry_out_operator(&mut self, effect: OperatorEffect) {
        match effect {
            OperatorEffect::Send {
                job,
                try_number,
                control,
                request,
            } => {
                self.record_drain_end_request(job);
                self.ask_control(job, try_number, control, request);
            }
            OperatorEffect::Timer { at, input } => {
                let input = Input::Operators(input);
                self.push(at, Process::Operators, None, input);
            }
        }
    }

    /// Records the request to end a drain when it is sent: it may take effect from then on, even if the
    /// response is lost with a leader.
    fn record_drain_end_request(&mut self, job: usize) {
        if let Some(OperatorAction::Drain {
            server,
            draining: false,
        }) = self.operators.action(job)
        {
            let server = server_name(*server);
            self.record(HistoryEvent::Staying(server));
        }
    }

    /// Records a drain that the control group accepted. Nothing is recorded while a request to end the
    /// drain of the same server is unanswered, since either request may be applied last.
    pub(super) fn record_drain(&mut self, job: usize) {
        let Some(OperatorAction::Drain {
            server,
            draining: true,
        }) = self.operators.action(job)
        else {
            return;
        };
        let server = *server;
        if !self.operators.has_pending_drain_end(server) {
            self.record(HistoryEvent::Leaving(server_name(server)));
        }
    }

    pub(super) fn run_callers(&mut self, input: CallerInput) {
        for effect in self.callers.handle(self.now, input) {
            match effect {
                CallerEffect::Send { router, request } => {
                    let to = Process::Router(router);
                    let input = Input::Router(RouterInput::Request(request));
                    self.send(Process::Callers, to, None, Delivery::Call, input);
                }
                CallerEffect::Timer { at, input } => {
                    self.push(at, Process::Callers, None, Input::Callers(input));
                }
                CallerEffect::Record(event) => self.record(event),
            }
        }
    }

    pub(super) fn run_platform(&mut self) {
        let list = self.machines();
        self.platform.seen.push_back((self.now, list));
        let lag = self.platform.stale.unwrap_or(USUAL_LAG);
        let as_of = self.now.saturating_sub(lag);
        let seen = self.platform.seen.iter().rev();
        let known = seen.clone().find(|(at, _)| *at <= as_of);
        if let Some((_, list)) = known {
            let list = list.clone();
            self.send_machine_list(&list);
        }
        let next = self.now + PLATFORM_INTERVAL;
        self.push(next, Process::Platform, None, Input::PlatformTick);
    }

    fn send_machine_list(&mut self, list: &MachineList) {
        for control in 0..CONTROLS {
            let mut list = list.clone();
            if self.platform.stale.is_some() {
                self.add_false_entries(&mut list);
            }
            let to = Process::Control(control);
            let input = Input::Control(ControlInput::Machines(list));
            self.send(Process::Platform, to, None, Delivery::Call, input);
        }
    }

    fn add_false_entries(&mut self, list: &mut MachineList) {
        for machine in &mut list.machines {
            if self.operator_draws.chance(FALSE_ENTRIES_PERCENT) {
                machine.state = MachineState::Gone;
            }
        }
    }

    fn machines(&self) -> MachineList {
        let machines = (0..SERVERS).map(|server| Machine {
            server: server_name(server),
            state: match self.condition(Process::Server(server)) {
                Condition::Down => MachineState::Gone,
                Condition::Running | Condition::Frozen => MachineState::Live,
            },
        });
        MachineList {
            machines: machines.collect(),
        }
    }
}
