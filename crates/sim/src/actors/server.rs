//! A back-end server: the product's holder, driven by the simulator.
//!
//! Invariant: an effect is recorded only after the holder permitted it and before the request ends.

use std::collections::BTreeMap;
use std::time::Duration;

use grebepin_control::{BackEndAnswer, BackEndRequest, CallId};
use grebepin_holder::{
    Begun, Effect, Guards, HandoverFetch, Holder, HolderConfig, Permit, Request,
};
use grebepin_schema::{
    CancelAnswer, CancelRequest, EffectRecord, HandoverAnswer, HeldShard, Refusal, RequestId,
    ServerName, ShardKey, SocketAddress,
};

use crate::message::{Requester, ServerInput, WorkReply};
use crate::random::Random;

/// Service time of a request, in microseconds.
const SERVICE_TIME: [u64; 2] = [2_000, 25_000];

/// Service time of a slow request, in microseconds; often longer than its deadline.
const SLOW_SERVICE_TIME: [u64; 2] = [100_000, 1_600_000];

/// Percentage of slow requests.
const SLOW_PERCENT: u64 = 3;

/// Timeout of a fetch of a handover record, after which the fetch is repeated.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(500);

/// Output to be carried out by the simulator.
#[derive(Debug)]
pub enum ServerEffect {
    /// Respond to a call of a control leader.
    CallAnswer {
        /// Sender of the request.
        to: Requester,
        /// The call.
        call: CallId,
        /// The answer.
        answer: BackEndAnswer,
    },
    /// Respond to a router's request.
    WorkAnswer {
        /// Sender of the request.
        to: Requester,
        /// The exchange.
        exchange: u64,
        /// The answer.
        reply: WorkReply,
    },
    /// Respond to a router's cancellation.
    CancelAnswer {
        /// Sender of the request.
        to: Requester,
        /// The exchange.
        exchange: u64,
        /// The answer.
        answer: CancelAnswer,
    },
    /// Fetch a shard's handover record from its previous owner.
    FetchRecord {
        /// The previous owner.
        address: SocketAddress,
        /// The shard.
        key: ShardKey,
        /// Epoch at which it was released.
        epoch: grebepin_schema::Epoch,
        /// Shard and epoch of this server.
        granted: HeldShard,
    },
    /// Send a handover record to the next owner.
    Record {
        /// Sender of the request.
        to: Requester,
        /// Shard and epoch of the next owner.
        granted: HeldShard,
        /// The record.
        answer: HandoverAnswer,
    },
    /// Set a timer.
    Timer {
        /// Time at which it fires, on the server's clock.
        at: Duration,
        /// Input delivered then.
        input: ServerInput,
    },
    /// A request was started.
    WorkStarted(EffectRecord),
    /// A request ended without its effect.
    WorkEnded(EffectRecord),
    /// The effect of a request was made.
    EffectMade(EffectRecord),
}

/// A running request.
struct Running {
    permit: Permit,
    from: Requester,
    exchange: u64,
    record: EffectRecord,
}

/// State of a server process.
pub struct ServerActor {
    name: ServerName,
    holder: Holder,
    running: BTreeMap<u64, Running>,
    next_token: u64,
    random: Random,
    slots: usize,
    /// Whether heartbeats report no requests in flight.
    pub underreports_load: bool,
    /// Whether all requests are shed.
    pub sheds_all_work: bool,
    /// Whether some responses carry the identifier of another request.
    pub mismatches_answers: bool,
    /// Whether connections of the control group are refused.
    pub refuses_calls: bool,
    last_answered: Option<RequestId>,
}

impl ServerActor {
    /// A server without holdings or running requests.
    pub fn new(name: ServerName, boot: u64, guards: Guards, slots: usize, random: Random) -> Self {
        let config = HolderConfig {
            report_changes: true,
            guards,
            ..HolderConfig::new(boot)
        };
        Self {
            name,
            holder: Holder::new(config),
            running: BTreeMap::new(),
            next_token: 0,
            random,
            slots,
            underreports_load: false,
            sheds_all_work: false,
            mismatches_answers: false,
            refuses_calls: false,
            last_answered: None,
        }
    }

    /// The holder of the server.
    pub fn holder(&mut self) -> &mut Holder {
        &mut self.holder
    }

    /// Epoch at which it holds a shard; 0 for none.
    pub fn held_epoch(&self, key: &ShardKey) -> grebepin_schema::Epoch {
        self.holder.held_epoch(key)
    }

    /// Running requests with their senders and exchange numbers.
    pub fn running(&self) -> impl Iterator<Item = (Requester, u64, &EffectRecord)> {
        self.running
            .values()
            .map(|running| (running.from, running.exchange, &running.record))
    }

    /// Whether it holds no shard and runs no request, so that it can be stopped without interrupting anything.
    pub fn is_idle(&mut self, now: Duration) -> bool {
        self.holder.tick(now);
        self.running.is_empty() && self.holder.held_shards() == 0
    }

    /// Processes an input and returns the resulting effects.
    pub fn handle(&mut self, now: Duration, input: ServerInput) -> Vec<ServerEffect> {
        match input {
            ServerInput::Call {
                from,
                call,
                request,
            } => self.answer_call(now, from, call, request),
            ServerInput::Work {
                from,
                exchange,
                request,
            } => self.begin_work(now, from, exchange, &request),
            ServerInput::Cancel {
                from,
                exchange,
                request,
                attempt,
            } => vec![self.cancel(now, from, exchange, &request, attempt)],
            ServerInput::Handover {
                from,
                key,
                epoch,
                granted,
            } => vec![ServerEffect::Record {
                to: from,
                granted,
                answer: self.holder.handover(now, &key, epoch),
            }],
            ServerInput::HandedOver { granted, answer } => {
                self.holder
                    .complete_handover(now, &granted, answer.as_ref());
                Vec::new()
            }
            ServerInput::RecordTimeout(fetch) => self.fetch_again(now, fetch),
            ServerInput::WorkDone(token) => self.end_work(now, token),
        }
    }

    fn answer_call(
        &mut self,
        now: Duration,
        from: Requester,
        call: CallId,
        request: BackEndRequest,
    ) -> Vec<ServerEffect> {
        let mut effects = Vec::new();
        let answer = match request {
            BackEndRequest::Heartbeat(request) => {
                let mut answer = self.holder.heartbeat(now, &request);
                if self.underreports_load {
                    answer.in_flight = 0;
                }
                BackEndAnswer::Heartbeat(answer)
            }
            BackEndRequest::Grant(request) => {
                let outcome = self.holder.grant(now, &request);
                for fetch in outcome.fetch {
                    effects.extend(fetch_record(now, fetch));
                }
                BackEndAnswer::Grant(outcome.answer)
            }
            BackEndRequest::Release(request) => {
                BackEndAnswer::Release(self.holder.release(now, &request))
            }
            BackEndRequest::Holdings(group) => {
                BackEndAnswer::Holdings(self.holder.holdings(now, group))
            }
            BackEndRequest::Drain(request) => {
                self.holder.drain(now, request.draining);
                BackEndAnswer::Drain
            }
        };
        effects.push(ServerEffect::CallAnswer {
            to: from,
            call,
            answer,
        });
        effects
    }

    fn begin_work(
        &mut self,
        now: Duration,
        from: Requester,
        exchange: u64,
        request: &Request,
    ) -> Vec<ServerEffect> {
        let answer = |reply| ServerEffect::WorkAnswer {
            to: from,
            exchange,
            reply,
        };
        if self.sheds_all_work || self.running.len() >= self.slots {
            return vec![answer(WorkReply::Refused(Refusal::Shed))];
        }
        let permit = match self.holder.begin(now, request) {
            Ok(Begun::Run(permit)) => permit,
            Ok(Begun::RanEarlier) => {
                let reply = self.answered(&request.request_id);
                return vec![answer(reply)];
            }
            Err(refusal) => return vec![answer(WorkReply::Refused(refusal))],
        };
        self.next_token += 1;
        let record = self.effect_record(request);
        let running = Running {
            permit,
            from,
            exchange,
            record: record.clone(),
        };
        self.running.insert(self.next_token, running);
        let time = self.service_time();
        vec![
            ServerEffect::WorkStarted(record),
            ServerEffect::Timer {
                at: now + Duration::from_micros(time),
                input: ServerInput::WorkDone(self.next_token),
            },
        ]
    }

    fn end_work(&mut self, now: Duration, token: u64) -> Vec<ServerEffect> {
        let Some(running) = self.running.remove(&token) else {
            return Vec::new();
        };
        let mut effects = Vec::new();
        let reply = match self.holder.before_effect(now, &running.permit) {
            Ok(()) => {
                self.holder.finish(now, running.permit, Effect::Made);
                let reply = self.answered(&running.record.request_id);
                effects.push(ServerEffect::EffectMade(running.record));
                reply
            }
            Err(refusal) => {
                self.holder.finish(now, running.permit, Effect::NotMade);
                effects.push(ServerEffect::WorkEnded(running.record));
                WorkReply::Refused(refusal)
            }
        };
        effects.push(ServerEffect::WorkAnswer {
            to: running.from,
            exchange: running.exchange,
            reply,
        });
        effects
    }

    /// Lets requests proceed without a record that was not received in time. The fetch is repeated, since a
    /// lost owner may return with the record.
    fn fetch_again(&mut self, now: Duration, fetch: HandoverFetch) -> Vec<ServerEffect> {
        self.holder.complete_handover(now, &fetch.shard, None);
        match self.holder.wants_record(now, &fetch.shard) {
            true => fetch_record(now, fetch).into(),
            false => Vec::new(),
        }
    }

    fn cancel(
        &mut self,
        now: Duration,
        to: Requester,
        exchange: u64,
        request: &CancelRequest,
        attempt: u32,
    ) -> ServerEffect {
        ServerEffect::CancelAnswer {
            to,
            exchange,
            answer: self.holder.cancel(now, request, Some(attempt)),
        }
    }

    /// A complete response; with `mismatches_answers` set, some carry the identifier of the previous request.
    fn answered(&mut self, request: &RequestId) -> WorkReply {
        let previous = self.last_answered.replace(request.clone());
        let named = match previous {
            Some(previous) if self.mismatches_answers && self.random.chance(30) => previous,
            _ => request.clone(),
        };
        WorkReply::Answered { request: named }
    }

    fn service_time(&mut self) -> u64 {
        if self.random.chance(SLOW_PERCENT) {
            return self.random.range(SLOW_SERVICE_TIME);
        }
        self.random.range(SERVICE_TIME)
    }

    fn effect_record(&self, request: &Request) -> EffectRecord {
        EffectRecord {
            server: self.name.clone(),
            service: request.service.clone(),
            shard: request.shard,
            epoch: request.epoch,
            key: request.key.clone(),
            request_id: request.request_id.clone(),
            repeatable: request.repeatable,
        }
    }
}

fn fetch_record(now: Duration, fetch: HandoverFetch) -> [ServerEffect; 2] {
    let key = ShardKey {
        service: fetch.shard.service.clone(),
        shard: fetch.shard.shard,
    };
    [
        ServerEffect::FetchRecord {
            address: fetch.previous.address.clone(),
            key,
            epoch: fetch.previous.epoch,
            granted: fetch.shard.clone(),
        },
        ServerEffect::Timer {
            at: now + HANDOVER_TIMEOUT,
            input: ServerInput::RecordTimeout(fetch),
        },
    ]
}
