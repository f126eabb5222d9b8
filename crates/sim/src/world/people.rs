//! Callers, operators and the platform, behind the simulated network.

use std::collections::VecDeque;

use grebepin_schema::{HistoryEvent, Machine, MachineList, MachineState};

use super::{World, FOUNDING};
use crate::actors::callers::CallerEffect;
use crate::actors::operators::{OperatorEffect, Wish};
use crate::clock::{Instant, MILLISECOND, SECOND};
use crate::deployment::{server_name, CONTROLS, SERVERS};
use crate::message::{CallerInput, ControlInput, Input, OperatorInput, RouterInput};
use crate::network::Carriage;
use crate::process::{Condition, Process};

/// Time between two lists of the platform.
const PLATFORM_INTERVAL: Instant = 500 * MILLISECOND;

/// How far the platform's list lags.
const USUAL_LAG: Instant = SECOND;

/// Lies of a stale list, in percent of its entries.
const LIES_PERCENT: u64 = 25;

/// When bundles are rolled in every run, and the share of the new side.
const ROLLS: [(Instant, u32); 3] = [(600, 30), (3_800, 60), (6_800, 45)];

/// The platform's view of its machines.
#[derive(Default)]
pub(super) struct Platform {
    seen: VecDeque<(Instant, MachineList)>,
    /// How stale its list is, in a fault.
    pub(super) stale: Option<Instant>,
}

impl World {
    /// Founds the group and rolls the bundles that every run has.
    pub(super) fn begin_operations(&mut self) {
        let members = self.founding_members();
        for control in 0..CONTROLS {
            let members = members.clone();
            let wish = Wish::Found { control, members };
            self.add_wish(wish, control, FOUNDING);
        }
        for (number, (at, new_share)) in ROLLS.into_iter().enumerate() {
            let note = format!("roll {number}");
            self.add_wish(Wish::Roll { new_share, note }, number, at * MILLISECOND);
        }
    }

    /// Begins an operator's job; returns its number.
    pub(super) fn add_wish(&mut self, wish: Wish, target: usize, at: Instant) -> usize {
        let (job, effect) = self.operators.add(wish, target % CONTROLS, at);
        self.carry_out_operator(effect);
        job
    }

    /// Begins an operator's job that waits until another one is done.
    pub(super) fn add_wish_after(&mut self, wish: Wish, after: usize, at: Instant) -> usize {
        let (job, effect) = self.operators.add_after(wish, after, at);
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
            OperatorEffect::Ask {
                job,
                try_number,
                control,
                request,
            } => {
                self.note_end_of_drain_asked(job);
                self.ask_control(job, try_number, control, request);
            }
            OperatorEffect::Timer { at, input } => {
                let input = Input::Operators(input);
                self.push(at, Process::Operators, None, input);
            }
        }
    }

    /// The end of a drain may take force from its asking on, also when its answer is lost with a leader.
    fn note_end_of_drain_asked(&mut self, job: usize) {
        if let Some(Wish::Drain {
            server,
            draining: false,
        }) = self.operators.wish(job)
        {
            let server = server_name(*server);
            self.record(HistoryEvent::Staying(server));
        }
    }

    /// An operator's drain was accepted by the control group. While the end of a drain of the same
    /// server is asked for and not answered, either may come last, and nothing is known.
    pub(super) fn note_drained(&mut self, job: usize) {
        let Some(Wish::Drain {
            server,
            draining: true,
        }) = self.operators.wish(job)
        else {
            return;
        };
        let server = *server;
        if !self.operators.asks_to_stay(server) {
            self.record(HistoryEvent::Leaving(server_name(server)));
        }
    }

    pub(super) fn run_callers(&mut self, input: CallerInput) {
        for effect in self.callers.handle(self.now, input) {
            match effect {
                CallerEffect::Ask { router, request } => {
                    let to = Process::Router(router);
                    let input = Input::Router(RouterInput::Asked(request));
                    self.send(Process::Callers, to, None, Carriage::Call, input);
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
            self.tell_machines(&list);
        }
        let next = self.now + PLATFORM_INTERVAL;
        self.push(next, Process::Platform, None, Input::PlatformTick);
    }

    fn tell_machines(&mut self, list: &MachineList) {
        for control in 0..CONTROLS {
            let mut list = list.clone();
            if self.platform.stale.is_some() {
                self.falsify(&mut list);
            }
            let to = Process::Control(control);
            let input = Input::Control(ControlInput::Machines(list));
            self.send(Process::Platform, to, None, Carriage::Call, input);
        }
    }

    fn falsify(&mut self, list: &mut MachineList) {
        for machine in &mut list.machines {
            if self.operator_draws.chance(LIES_PERCENT) {
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
