//! Requests in progress at a router.

use std::time::Duration;

use grebepin_holder::Request;
use grebepin_schema::hashing::shard_of_key;
use grebepin_schema::{
    CancelAnswer, CancelRequest, LogIndex, Outcome, Refusal, ServerName, ServerStanding,
    ServiceName,
};
use grebepin_traffic::{
    AdmissionDecision, AdmissionEvent, AdmissionRefusal, FinalAnswer, FlowAction, FlowInput,
    LossReason, OwnerLookup, RequestFlow, RequestSpec, Target, Ticket, Verdict,
};

use super::router::{RouterActor, RouterEffect};
use crate::deployment::SERVICE;
use crate::message::{CallerRequest, RouterAnswer, RouterInput, WorkReply};

/// Maximum number of sends of one request by one router.
const SENDS: u32 = 3;

/// Time for which a draining owner still receives requests; defined by the product.
const DRAIN_GRACE: Duration = grebepin_traffic::flow::DRAIN_GRACE;

/// Key of a request in a server's admission queue.
pub(super) type Waiter = (ServerName, Ticket);

/// One request in progress.
pub(super) struct Flow {
    flow: RequestFlow,
    request: CallerRequest,
    deadline: Duration,
    /// Table index above which the flow is woken before its timer.
    waits_beyond: Option<LogIndex>,
}

/// One request or cancellation sent to a server.
pub(super) struct Exchange {
    flow: u64,
    server: ServerName,
    begun: Duration,
    cancels: bool,
}

impl RouterActor {
    pub(super) fn begin_flow(&mut self, now: Duration, request: CallerRequest) {
        let deadline = now + Duration::from_micros(request.deadline_us);
        let spec = RequestSpec {
            repeatable: request.repeatable,
            attempt: request.attempt,
            deadline,
            max_sends: SENDS,
        };
        self.retry.record_first_attempt();
        let (flow, action) = RequestFlow::start(spec, now);
        let number = self.next_number();
        let entry = Flow {
            flow,
            request,
            deadline,
            waits_beyond: None,
        };
        self.flows.insert(number, entry);
        self.run_actions(now, number, action);
    }

    /// Executes the actions of a flow until it waits for an input.
    fn run_actions(&mut self, now: Duration, number: u64, first: FlowAction) {
        let mut action = first;
        loop {
            let input = match action {
                FlowAction::Lookup => FlowInput::LookedUp(self.look_up_owner(now, number)),
                FlowAction::Admit(target) => match self.admit(now, number, &target) {
                    Some(input) => input,
                    None => return,
                },
                FlowAction::TakeRetry => FlowInput::Retry(self.retry.try_take()),
                FlowAction::Send { target, until } => {
                    return self.send_work(now, number, &target, until);
                }
                FlowAction::Cancel { target, until } => {
                    return self.send_cancel(now, number, &target, until);
                }
                FlowAction::Wait { newer_than, until } => {
                    if self.table.index() <= newer_than {
                        return self.wait(number, newer_than, until);
                    }
                    FlowInput::Woken
                }
                FlowAction::Finish(answer) => return self.finish_flow(number, answer),
            };
            action = match self.flows.get_mut(&number) {
                Some(flow) => flow.flow.step(now, input),
                None => return,
            };
        }
    }

    fn step(&mut self, now: Duration, number: u64, input: FlowInput) {
        if let Some(flow) = self.flows.get_mut(&number) {
            let action = flow.flow.step(now, input);
            self.run_actions(now, number, action);
        }
    }

    fn look_up_owner(&self, now: Duration, number: u64) -> OwnerLookup {
        if !self.table.is_ready() {
            return OwnerLookup::NoTable;
        }
        let table_index = self.table.index();
        let none = OwnerLookup::NoOwner { table_index };
        let Some(flow) = self.flows.get(&number) else {
            return none;
        };
        let Some(route) = self.table.service(SERVICE) else {
            return none;
        };
        let owner = route.owner(&flow.request.key);
        let Some((server, standing)) = owner.server else {
            return none;
        };
        let left = self
            .draining_since
            .get(&server.name)
            .is_some_and(|since| now.saturating_sub(*since) >= DRAIN_GRACE);
        if standing == ServerStanding::Gone || left {
            return none;
        }
        OwnerLookup::Owner(Target {
            shard: owner.shard,
            epoch: owner.epoch,
            server: server.name.clone(),
            address: server.address.clone(),
            table_index,
        })
    }

    /// Requests admission; returns the next input of the flow, or `None` while it waits in the server's queue.
    fn admit(&mut self, now: Duration, number: u64, target: &Target) -> Option<FlowInput> {
        let deadline = self.flows.get(&number)?.deadline;
        if let Verdict::FailFast { retry_after } = self.ejection.verdict(&target.server, now) {
            let refusal = AdmissionRefusal::Ejected { retry_after };
            return Some(FlowInput::NotAdmitted(refusal));
        }
        let Some(admission) = self.admissions.get_mut(&target.server) else {
            return Some(FlowInput::Admitted);
        };
        let priority = u32::from(self.flows.get(&number)?.request.repeatable);
        match admission.offer(now, priority, deadline) {
            AdmissionDecision::Admitted => Some(FlowInput::Admitted),
            AdmissionDecision::Refused(refusal) => Some(FlowInput::NotAdmitted(refusal)),
            AdmissionDecision::Waiting { ticket, displaced } => {
                self.waiters.insert((target.server.clone(), ticket), number);
                if let Some((ticket, refusal)) = displaced {
                    let events = vec![AdmissionEvent::Refused(ticket, refusal)];
                    self.admission_events(now, &target.server, events);
                }
                None
            }
        }
    }

    pub(super) fn admission_events(
        &mut self,
        now: Duration,
        server: &ServerName,
        events: Vec<AdmissionEvent>,
    ) {
        for event in events {
            let (ticket, input) = match event {
                AdmissionEvent::Admitted(ticket) => (ticket, FlowInput::Admitted),
                AdmissionEvent::Refused(ticket, refusal) => {
                    (ticket, FlowInput::NotAdmitted(refusal))
                }
            };
            if let Some(number) = self.waiters.remove(&(server.clone(), ticket)) {
                self.step(now, number, input);
            }
        }
    }

    fn send_work(&mut self, now: Duration, number: u64, target: &Target, until: Duration) {
        let exchange = self.begin_exchange(now, number, target, until, false);
        let Some(flow) = self.flows.get(&number) else {
            return;
        };
        let request = Request {
            service: service_name(),
            shard: shard_of_key(&flow.request.key, self.shards()),
            epoch: target.epoch,
            key: flow.request.key.clone(),
            request_id: flow.request.request.clone(),
            attempt: flow.request.attempt,
            repeatable: flow.request.repeatable,
            deadline_left: flow.deadline.saturating_sub(now),
        };
        self.effects.push(RouterEffect::Work {
            address: target.address.clone(),
            exchange,
            request,
        });
    }

    fn send_cancel(&mut self, now: Duration, number: u64, target: &Target, until: Duration) {
        let exchange = self.begin_exchange(now, number, target, until, true);
        let Some(flow) = self.flows.get(&number) else {
            return;
        };
        let request = CancelRequest {
            service: service_name(),
            shard: target.shard,
            epoch: target.epoch,
            request_id: flow.request.request.clone(),
        };
        self.effects.push(RouterEffect::Cancel {
            address: target.address.clone(),
            exchange,
            request,
            attempt: flow.request.attempt,
        });
    }

    fn begin_exchange(
        &mut self,
        now: Duration,
        flow: u64,
        target: &Target,
        until: Duration,
        cancels: bool,
    ) -> u64 {
        let exchange = self.next_number();
        let entry = Exchange {
            flow,
            server: target.server.clone(),
            begun: now,
            cancels,
        };
        self.exchanges.insert(exchange, entry);
        self.effects.push(RouterEffect::Timer {
            at: until,
            input: RouterInput::ExchangeTimeout(exchange),
        });
        exchange
    }

    fn wait(&mut self, number: u64, beyond: LogIndex, until: Duration) {
        if let Some(flow) = self.flows.get_mut(&number) {
            flow.waits_beyond = Some(beyond);
        }
        self.effects.push(RouterEffect::Timer {
            at: until,
            input: RouterInput::FlowWake(number),
        });
    }

    pub(super) fn wake_flow(&mut self, now: Duration, number: u64) {
        let Some(flow) = self.flows.get_mut(&number) else {
            return;
        };
        if flow.waits_beyond.take().is_some() {
            self.step(now, number, FlowInput::Woken);
        }
    }

    /// Wakes the flows whose awaited table index has been passed.
    pub(super) fn wake_for_table(&mut self, now: Duration) {
        let index = self.table.index();
        let due = self
            .flows
            .iter()
            .filter(|(_, flow)| flow.waits_beyond.is_some_and(|beyond| index > beyond));
        let due: Vec<u64> = due.map(|(number, _)| *number).collect();
        for number in due {
            self.wake_flow(now, number);
        }
    }

    pub(super) fn handle_reply(&mut self, now: Duration, exchange: u64, reply: WorkReply) {
        let Some(known) = self.exchanges.remove(&exchange) else {
            return;
        };
        let flow = self.flows.get(&known.flow);
        let own = flow.map(|flow| flow.request.request.clone());
        let input = match reply {
            WorkReply::Answered { request } if Some(&request) == own.as_ref() => {
                FlowInput::Answered
            }
            WorkReply::Answered { .. } => FlowInput::Lost(LossReason::Mismatched),
            WorkReply::Refused(refusal) => FlowInput::Refused(refusal),
            WorkReply::NotSent => FlowInput::NotSent,
            WorkReply::Broken => FlowInput::Lost(LossReason::Broken),
        };
        self.end_exchange(now, &known, &input);
        self.step(now, known.flow, input);
    }

    pub(super) fn exchange_timed_out(&mut self, now: Duration, exchange: u64) {
        let Some(known) = self.exchanges.remove(&exchange) else {
            return;
        };
        if known.cancels {
            return self.step(now, known.flow, FlowInput::Cancelled(None));
        }
        let input = FlowInput::Lost(LossReason::TimedOut);
        self.end_exchange(now, &known, &input);
        self.step(now, known.flow, input);
    }

    pub(super) fn handle_cancelled(
        &mut self,
        now: Duration,
        exchange: u64,
        answer: Option<CancelAnswer>,
    ) {
        if let Some(known) = self.exchanges.remove(&exchange) {
            self.step(now, known.flow, FlowInput::Cancelled(answer));
        }
    }

    /// Updates ejection and admission of the server with the result of an exchange, and releases its slot.
    fn end_exchange(&mut self, now: Duration, exchange: &Exchange, input: &FlowInput) {
        let server = &exchange.server;
        match input {
            FlowInput::Answered | FlowInput::Refused(_) => _ = self.ejection.record_success(server),
            _ => {
                _ = self
                    .ejection
                    .record_failure(server, now, self.admissions.len())
            }
        }
        let Some(admission) = self.admissions.get_mut(server) else {
            return;
        };
        if matches!(input, FlowInput::Refused(Refusal::Shed)) {
            admission.shed(now);
        }
        let events = match input {
            FlowInput::Answered => admission.finish(now, now.saturating_sub(exchange.begun)),
            _ => admission.finish_unused(now),
        };
        let server = server.clone();
        self.admission_events(now, &server, events);
    }

    fn finish_flow(&mut self, number: u64, answer: FinalAnswer) {
        let Some(flow) = self.flows.remove(&number) else {
            return;
        };
        let answered = answer.outcome == Outcome::Answered;
        self.effects.push(RouterEffect::Answer(RouterAnswer {
            answer_for: answered.then(|| flow.request.request.clone()),
            request: flow.request.request,
            attempt: flow.request.attempt,
            outcome: answer.outcome,
        }));
    }

    fn shards(&self) -> u32 {
        let route = self.table.service(SERVICE);
        route.map_or(1, |route| route.service.shards.get())
    }
}

fn service_name() -> ServiceName {
    SERVICE
        .parse()
        .expect("the simulated service has a valid name")
}
