//! Drives the state machine of one request with real clocks and sockets.
//!
//! Invariant: each action of the flow is done once and answered with what really happened.

use std::sync::Arc;
use std::time::{Duration, Instant};

use grebepin_schema::{Outcome, Refusal, RequestId, ServerStanding, ServiceName};
use grebepin_telemetry::{event, Event};
use grebepin_traffic::flow::DRAIN_GRACE;
use grebepin_traffic::{
    AdmissionRefusal, FinalAnswer, FlowAction, FlowInput, LossReason, OwnerLookup, RequestFlow,
    RequestSpec, Target, Verdict,
};

use crate::answer::Answer;
use crate::back_end::{self, Outgoing, SendResult};
use crate::load::Ending;
use crate::pool::ConnectError;
use crate::request::CallerRequest;
use crate::shared::Shared;
use crate::upstream::{Denied, Gate, Slot, Use};
use crate::view::{ServiceState, View};

/// Time given to a server below which a time-out says nothing about the server.
const TELLING_TIME: Duration = Duration::from_millis(100);

/// A caller's request with everything that is decided before it is sent.
pub struct Routed<'a> {
    /// As it came.
    pub request: &'a CallerRequest,
    /// Service.
    pub service: ServiceName,
    /// State of the service.
    pub state: Arc<ServiceState>,
    /// Key.
    pub key: String,
    /// Identifier.
    pub request_id: RequestId,
    /// 0 is served first.
    pub priority: u32,
    /// What the flow must know.
    pub spec: RequestSpec,
}

/// Sends a request to the owner of its key; gives the answer for the caller and what it rests on.
pub fn forward(shared: &Shared, routed: &Routed<'_>) -> (Answer, FinalAnswer) {
    let mut trip = Trip {
        shared,
        routed,
        view: shared.view(),
        gate: None,
        slot: None,
        answer: None,
    };
    let (mut flow, mut action) = RequestFlow::start(routed.spec, shared.now());
    loop {
        let input = match action {
            FlowAction::Finish(last) => return (trip.finish(&last), last),
            FlowAction::Lookup => FlowInput::LookedUp(trip.look_up()),
            FlowAction::Admit(target) => trip.admit(&target),
            FlowAction::Send { target, until } => trip.send(&target, until),
            FlowAction::Cancel { target, until } => trip.cancel(&target, until),
            FlowAction::Wait { newer_than, until } => {
                match shared.wait_for_table(newer_than, shared.clock.instant(until)) {
                    true => FlowInput::Woken,
                    false => FlowInput::CannotWait,
                }
            }
            FlowAction::TakeRetry => trip.take_retry(),
        };
        action = flow.step(shared.now(), input);
    }
}

struct Trip<'a> {
    shared: &'a Shared,
    routed: &'a Routed<'a>,
    view: Arc<View>,
    gate: Option<Arc<Gate>>,
    slot: Option<Slot>,
    answer: Option<Answer>,
}

impl Trip<'_> {
    fn look_up(&mut self) -> OwnerLookup {
        self.view = self.shared.view();
        find(&self.view, &self.routed.service, &self.routed.key)
    }

    fn admit(&mut self, target: &Target) -> FlowInput {
        let now = self.shared.now();
        if let Verdict::FailFast { retry_after } = self.routed.state.verdict(&target.server, now) {
            return FlowInput::NotAdmitted(AdmissionRefusal::Ejected { retry_after });
        }
        let Some(gate) = self.view.gate(&target.server) else {
            return FlowInput::NotSent;
        };
        let waiting = &self.routed.state.metrics.waiting;
        waiting.inc();
        let moved = || self.has_moved(target);
        let entered = gate.enter(self.routed.priority, self.routed.spec.deadline, &moved);
        waiting.dec();
        self.gate = Some(Arc::clone(gate));
        match entered {
            Ok(slot) => {
                self.slot = Some(slot);
                FlowInput::Admitted
            }
            Err(Denied::Refused(refusal)) => FlowInput::NotAdmitted(refusal),
            Err(Denied::Moved) => FlowInput::NotSent,
        }
    }

    fn send(&mut self, target: &Target, until: Duration) -> FlowInput {
        let Some(gate) = self.gate.clone() else {
            return FlowInput::NotSent;
        };
        let in_flight = &self.routed.state.metrics.in_flight;
        in_flight.inc();
        let started = Instant::now();
        let until = self.shared.clock.instant(until);
        let limits = self.shared.limits();
        let moved = || self.has_moved(target);
        let outgoing = self.outgoing();
        let result = back_end::send(gate.link(), &outgoing, target, until, limits, &moved);
        in_flight.dec();
        let given = until.saturating_duration_since(started);
        self.count(target, &result, started.elapsed());
        self.judge(&gate, target, &result, given);
        self.give_slot_back(&result);
        match result {
            // The server is there, but has no connection left: as if it had refused for too much work.
            SendResult::NotSent(ConnectError::Exhausted) => FlowInput::Refused(Refusal::Shed),
            SendResult::NotSent(_) => FlowInput::NotSent,
            SendResult::Refused(refusal) => FlowInput::Refused(refusal),
            SendResult::Lost(reason) => FlowInput::Lost(reason),
            SendResult::Answered(answer) => {
                self.answer = Some(answer);
                FlowInput::Answered
            }
        }
    }

    /// Whether the table in force has another ownership of the shard.
    fn has_moved(&self, target: &Target) -> bool {
        let view = self.shared.view();
        let route = view.table.service(&self.routed.service);
        route.is_none_or(|route| route.owner_of_shard(target.shard).epoch != target.epoch)
    }

    fn cancel(&self, target: &Target, until: Duration) -> FlowInput {
        let until = self.shared.clock.instant(until);
        let limits = self.shared.limits();
        let link = self.gate.as_ref().map(|gate| gate.link());
        let answer =
            link.and_then(|link| back_end::cancel(link, &self.outgoing(), target, until, limits));
        FlowInput::Cancelled(answer)
    }

    fn take_retry(&self) -> FlowInput {
        let allowed = self.routed.state.take_retry();
        if allowed {
            self.routed.state.metrics.retries.inc();
        }
        FlowInput::Retry(allowed)
    }

    fn finish(&mut self, last: &FinalAnswer) -> Answer {
        let id = Some(&self.routed.request_id);
        match self
            .answer
            .take()
            .filter(|_| last.outcome == Outcome::Answered)
        {
            Some(mut answer) => {
                answer.mark(Outcome::Answered, id);
                answer
            }
            None => Answer::rejected(last, id),
        }
    }

    fn outgoing(&self) -> Outgoing<'_> {
        Outgoing {
            head: &self.routed.request.head,
            body: &self.routed.request.body,
            service: &self.routed.service,
            key: &self.routed.key,
            request_id: &self.routed.request_id,
            attempt: self.routed.spec.attempt,
            repeatable: self.routed.spec.repeatable,
        }
    }

    fn count(&self, target: &Target, result: &SendResult, busy: Duration) {
        let ending = match result {
            SendResult::Answered(_) => Ending::Answered,
            SendResult::Refused(_) => Ending::Refused,
            SendResult::Lost(_) | SendResult::NotSent(_) => Ending::Failed,
        };
        let service = &self.routed.service;
        self.shared
            .load
            .count(&target.server, service, target.shard, ending, busy);
    }

    /// Counts for or against the server, by what this router saw.
    fn judge(&self, gate: &Gate, target: &Target, result: &SendResult, given: Duration) {
        let failed = match result {
            SendResult::Answered(_) | SendResult::Refused(_) => false,
            SendResult::NotSent(ConnectError::Failed(_)) => true,
            SendResult::NotSent(_) => return,
            SendResult::Lost(LossReason::TimedOut) if given < TELLING_TIME => return,
            SendResult::Lost(LossReason::Mismatched) => {
                self.shared.metrics.mismatched_answers.inc();
                event!(Event::AnswerMismatched, server = target.server.as_str());
                true
            }
            SendResult::Lost(_) => true,
        };
        let pool = self.view.table.service(&self.routed.service);
        let pool = pool.map_or(0, |route| route.service.servers.len());
        let now = self.shared.now();
        let state = &self.routed.state;
        if !failed {
            if state.ejection(|ejection| ejection.record_success(&target.server)) {
                gate.warm_up();
                event!(Event::ServerReadmitted, server = target.server.as_str());
            }
        } else if state.ejection(|ejection| ejection.record_failure(&target.server, now, pool)) {
            event!(Event::ServerEjected, server = target.server.as_str());
        }
    }

    fn give_slot_back(&mut self, result: &SendResult) {
        let used = match result {
            SendResult::Answered(_) | SendResult::Lost(_) => Use::Taken,
            SendResult::Refused(Refusal::Shed) => Use::Shed,
            SendResult::Refused(_) | SendResult::NotSent(_) => Use::Unused,
        };
        if let Some(slot) = self.slot.take() {
            slot.finish(used);
        }
    }
}

/// What the table in force says of a key.
pub fn find(view: &View, service: &ServiceName, key: &str) -> OwnerLookup {
    let table_index = view.table.index();
    if !view.table.is_ready() {
        return OwnerLookup::NoTable;
    }
    let nobody = OwnerLookup::NoOwner { table_index };
    let Some(route) = view.table.service(service) else {
        return nobody;
    };
    let owner = route.owner(key);
    let Some((server, standing)) = owner.server else {
        return nobody;
    };
    let leaving = view.gate(&server.name).and_then(|gate| gate.draining_for());
    let usable = match standing {
        ServerStanding::Active => true,
        ServerStanding::Draining => leaving.is_none_or(|time| time < DRAIN_GRACE),
        ServerStanding::Gone => false,
    };
    if !usable {
        return nobody;
    }
    OwnerLookup::Owner(Target {
        shard: owner.shard,
        epoch: owner.epoch,
        server: server.name.clone(),
        address: server.address.clone(),
        table_index,
    })
}
