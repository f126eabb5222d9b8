//! Servers: connects the product's holder to the simulated network.

use grebepin_control::CallFailure;
use grebepin_holder::HoldingChangeKind;
use grebepin_schema::{HistoryEvent, Holding};

use super::World;
use crate::actors::server::{ServerActor, ServerEffect};
use crate::deployment::{self, server_name, SLOTS};
use crate::message::{ControlInput, Input, Requester, RouterInput, ServerInput, WorkReply};
use crate::network::Delivery;
use crate::process::Process;
use crate::random::{Random, Stream};

impl World {
    pub(super) fn new_server(&mut self, number: usize) -> ServerActor {
        let boot = self.starts.number() >> 16;
        let random = Random::new(boot, Stream::Servers);
        let guards = self.guards.holder;
        ServerActor::new(server_name(number), boot, guards, SLOTS as usize, random)
    }

    pub(super) fn run_server(&mut self, number: usize, input: ServerInput) {
        let process = Process::Server(number);
        if self.servers[number].refuses_calls && matches!(input, ServerInput::Call { .. }) {
            return self.refuse_server(number, input);
        }
        let now = self.local(process);
        let effects = self.servers[number].handle(now, input);
        self.record_holding_changes(number);
        for effect in effects {
            self.carry_out_server(number, effect);
        }
    }

    /// Records acquisitions and forfeitures of a server at the time they happened.
    pub(super) fn record_holding_changes(&mut self, number: usize) {
        let process = Process::Server(number);
        let Some(clock) = self.process_states.get(&process).map(|state| state.clock) else {
            return;
        };
        for change in self.servers[number].holder().take_changes() {
            let holding = Holding {
                server: server_name(number),
                service: change.shard.service,
                shard: change.shard.shard,
                epoch: change.shard.epoch,
            };
            let event = match change.kind {
                HoldingChangeKind::Acquired => HistoryEvent::Acquired(holding),
                HoldingChangeKind::Forfeited => HistoryEvent::Forfeited(holding),
            };
            let at = clock.instant_at(change.at).min(self.now);
            self.recorder.record(at, event);
        }
    }

    /// Records expired leases of a server before its state is discarded.
    pub(super) fn flush_server(&mut self, number: usize) {
        let now = self.local(Process::Server(number));
        self.servers[number].holder().tick(now);
        self.record_holding_changes(number);
    }

    fn carry_out_server(&mut self, number: usize, effect: ServerEffect) {
        let process = Process::Server(number);
        match effect {
            ServerEffect::CallAnswer { to, call, answer } => {
                let answer = Ok(answer);
                let input = Input::Control(ControlInput::CallEnded { call, answer });
                self.answer(process, Process::Control(to.number), to, input);
            }
            ServerEffect::WorkAnswer {
                to,
                exchange,
                reply,
            } => {
                let input = Input::Router(RouterInput::Replied { exchange, reply });
                self.answer(process, Process::Router(to.number), to, input);
            }
            ServerEffect::CancelAnswer {
                to,
                exchange,
                answer,
            } => {
                let answer = Some(answer);
                let input = Input::Router(RouterInput::Cancelled { exchange, answer });
                self.answer(process, Process::Router(to.number), to, input);
            }
            ServerEffect::FetchRecord {
                address,
                key,
                epoch,
                granted,
            } => {
                let from = self.requester(process, number);
                let Some(to) = deployment::process_at(&address) else {
                    return;
                };
                let input = Input::Server(ServerInput::Handover {
                    from,
                    key,
                    epoch,
                    granted,
                });
                self.send(process, to, None, Delivery::Call, input);
            }
            ServerEffect::Record {
                to,
                granted,
                answer,
            } => {
                let answer = Some(answer);
                let input = Input::Server(ServerInput::HandedOver { granted, answer });
                self.answer(process, Process::Server(to.number), to, input);
            }
            ServerEffect::Timer { at, input } => {
                self.set_timer(process, at, Input::Server(input));
            }
            ServerEffect::WorkStarted(work) => self.record(HistoryEvent::WorkStarted(work)),
            ServerEffect::WorkEnded(work) => self.record(HistoryEvent::WorkEnded(work)),
            ServerEffect::EffectMade(work) => self.record(HistoryEvent::Effect(work)),
        }
    }

    pub(super) fn requester(&self, process: Process, number: usize) -> Requester {
        Requester {
            number,
            incarnation: self.incarnation(process),
        }
    }

    fn answer(&mut self, from: Process, to: Process, requester: Requester, input: Input) {
        self.send(from, to, Some(requester.incarnation), Delivery::Call, input);
    }

    /// Refuses a connection to a server whose process is down or that refuses the control group.
    pub(super) fn refuse_server(&mut self, number: usize, input: ServerInput) {
        let process = Process::Server(number);
        match input {
            ServerInput::Call { from, call, .. } => {
                let answer = Err(CallFailure::Unreachable);
                let input = Input::Control(ControlInput::CallEnded { call, answer });
                self.answer(process, Process::Control(from.number), from, input);
            }
            ServerInput::Work { from, exchange, .. } => {
                let reply = WorkReply::NotSent;
                let input = Input::Router(RouterInput::Replied { exchange, reply });
                self.answer(process, Process::Router(from.number), from, input);
            }
            ServerInput::Cancel { from, exchange, .. } => {
                let answer = None;
                let input = Input::Router(RouterInput::Cancelled { exchange, answer });
                self.answer(process, Process::Router(from.number), from, input);
            }
            ServerInput::Handover { from, granted, .. } => {
                let answer = None;
                let input = Input::Server(ServerInput::HandedOver { granted, answer });
                self.answer(process, Process::Server(from.number), from, input);
            }
            ServerInput::HandedOver { .. }
            | ServerInput::RecordTimeout(_)
            | ServerInput::WorkDone(_) => {}
        }
    }

    /// Breaks the connections of all requests that a crashed server was running.
    pub(super) fn break_connections(&mut self, number: usize) {
        let process = Process::Server(number);
        let running: Vec<(Requester, u64)> = self.servers[number]
            .running()
            .map(|(requester, exchange, _)| (requester, exchange))
            .collect();
        for (requester, exchange) in running {
            let reply = WorkReply::Broken;
            let input = Input::Router(RouterInput::Replied { exchange, reply });
            self.answer(process, Process::Router(requester.number), requester, input);
        }
    }
}
