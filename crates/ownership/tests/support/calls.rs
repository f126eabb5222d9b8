//! Delivery of requests, answers of servers, and commits.

use std::time::Duration;

use grebepin_ownership::{CoordinatorInput, CoordinatorOutput};
use grebepin_schema::{HandoverAnswer, HeldShard, ServerName, ShardKey};

use super::world::{Event, World, CALL_TIMEOUT, COMMIT_DELAY};

impl World {
    pub(super) fn carry_out(&mut self, output: CoordinatorOutput, is_leader: bool) {
        let (kind, failed) = match &output {
            CoordinatorOutput::Propose(command) => {
                if is_leader {
                    self.proposals.push_back(command.clone());
                    self.push(COMMIT_DELAY, Event::Commit(self.term));
                }
                return;
            }
            CoordinatorOutput::Heartbeat { server, .. } => (
                "heartbeat",
                CoordinatorInput::HeartbeatFailed {
                    server: server.clone(),
                },
            ),
            CoordinatorOutput::Grant { server, .. } => (
                "grant",
                CoordinatorInput::GrantFailed {
                    server: server.clone(),
                },
            ),
            CoordinatorOutput::Release { server, .. } => (
                "release",
                CoordinatorInput::ReleaseFailed {
                    server: server.clone(),
                },
            ),
            CoordinatorOutput::Holdings { server, .. } => (
                "holdings",
                CoordinatorInput::HoldingsFailed {
                    server: server.clone(),
                },
            ),
            CoordinatorOutput::Drain { server, .. } => (
                "drain",
                CoordinatorInput::DrainDone {
                    server: server.clone(),
                },
            ),
        };
        *self.sent.entry(kind).or_default() += 1;
        self.next_call += 1;
        let call = self.next_call;
        if is_leader {
            self.open_calls.insert(call, self.now);
            self.push(CALL_TIMEOUT, Event::Timeout(call, failed));
        }
        for arrival in self.network.arrivals() {
            self.push(arrival, Event::Request(call, output.clone()));
        }
    }

    fn push(&mut self, after: Duration, event: Event) {
        self.next_call += 1;
        self.queue.insert((self.now + after, self.next_call), event);
    }

    pub(super) fn handle_event(&mut self, event: Event) {
        match event {
            Event::Request(call, request) => self.deliver(call, request),
            Event::Answer(call, mut input) | Event::Timeout(call, mut input) => {
                let Some(sent) = self.open_calls.remove(&call) else {
                    return;
                };
                if let CoordinatorInput::HeartbeatAnswered { sent_at, .. } = &mut input {
                    *sent_at = sent;
                }
                self.notify_leader(input);
            }
            Event::Commit(term) if term == self.term => {
                if let Some(command) = self.proposals.pop_front() {
                    self.commit(&command);
                }
            }
            Event::Commit(_) => {}
        }
    }

    fn deliver(&mut self, call: u64, request: CoordinatorOutput) {
        let (now, name) = (self.now, server_of(&request));
        let Some(process) = self.servers.get_mut(&name).filter(|process| process.up) else {
            return;
        };
        if process.frozen_until > now {
            let until = process.frozen_until;
            self.push(until - now, Event::Request(call, request));
            return;
        }
        let input = self.answer(&name, request, now);
        let back = self.network.one_way();
        if !self.network.chance(self.network.lost) {
            self.push(back, Event::Answer(call, input));
        }
    }

    fn answer(
        &mut self,
        name: &ServerName,
        request: CoordinatorOutput,
        now: Duration,
    ) -> CoordinatorInput<'static> {
        let process = self.servers.get_mut(name).expect("a known server");
        let clock = process.clock(now);
        let server = name.clone();
        match request {
            CoordinatorOutput::Heartbeat { request, .. } => {
                let answer = process.holder.heartbeat(clock, &request);
                CoordinatorInput::HeartbeatAnswered {
                    server,
                    answer,
                    sent_at: Duration::ZERO, // Set when the answer arrives.
                }
            }
            CoordinatorOutput::Grant { request, .. } => {
                let outcome = process.holder.grant(clock, &request);
                for fetch in outcome.fetch {
                    let answer =
                        self.hand_over(&fetch.shard, &fetch.previous.server, fetch.previous.epoch);
                    let process = self.process(name);
                    process
                        .holder
                        .complete_handover(clock, &fetch.shard, answer.as_ref());
                }
                CoordinatorInput::GrantAnswered {
                    server,
                    answer: outcome.answer,
                }
            }
            CoordinatorOutput::Release { request, .. } => CoordinatorInput::ReleaseAnswered {
                server,
                answer: process.holder.release(clock, &request),
            },
            CoordinatorOutput::Holdings { group, .. } => CoordinatorInput::HoldingsAnswered {
                server,
                answer: process.holder.holdings(clock, group),
            },
            CoordinatorOutput::Drain { request, .. } => {
                process.holder.drain(clock, request.draining);
                CoordinatorInput::DrainDone { server }
            }
            CoordinatorOutput::Propose(_) => unreachable!("proposals are not sent to servers"),
        }
    }

    fn hand_over(
        &mut self,
        shard: &HeldShard,
        previous: &ServerName,
        epoch: grebepin_schema::Epoch,
    ) -> Option<HandoverAnswer> {
        let now = self.now;
        let process = self
            .servers
            .get_mut(previous)
            .filter(|process| process.up)?;
        let key = ShardKey {
            service: shard.service.clone(),
            shard: shard.shard,
        };
        let clock = process.clock(now);
        Some(process.holder.handover(clock, &key, epoch))
    }
}

fn server_of(output: &CoordinatorOutput) -> ServerName {
    match output {
        CoordinatorOutput::Heartbeat { server, .. }
        | CoordinatorOutput::Grant { server, .. }
        | CoordinatorOutput::Release { server, .. }
        | CoordinatorOutput::Holdings { server, .. }
        | CoordinatorOutput::Drain { server, .. } => server.clone(),
        CoordinatorOutput::Propose(_) => unreachable!("proposals are not sent to servers"),
    }
}
