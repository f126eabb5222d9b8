//! The state machine of one request at one router.
//!
//! Invariants: `not-run` is said only with proof that no attempt of the request ran; a request that
//! may not be repeated is sent again only after such proof; once nothing more is tried, the final
//! answer is given at once.

use std::time::Duration;

use grebepin_schema::{CancelAnswer, LogIndex, Outcome, Refusal, RejectKind, RequestState};

use super::{FinalAnswer, Finding, FlowAction, FlowInput, RequestSpec, Target};
use crate::admission::AdmissionRefusal;

/// Longest time one request waits, in all, for the table to change or an owner to come back.
pub const PATIENCE: Duration = Duration::from_millis(500);

/// First pause before an owner that refused or could not be reached is asked again; each further one is longer.
pub const FIRST_PAUSE: Duration = Duration::from_millis(20);

/// How many times longer each further pause is.
const PAUSE_GROWTH: u32 = 3;

/// Longest time for the cancellation of a request.
pub const CANCEL_TIME: Duration = Duration::from_millis(100);

/// Time for which an owner that is leaving still gets requests for the shards it has not released.
pub const DRAIN_GRACE: Duration = Duration::from_secs(1);

/// Least time left with which a request is still sent.
const LEAST_TIME_LEFT: Duration = Duration::from_millis(1);

/// Part of the time left, one in this many, that is kept back for a cancellation.
const CANCEL_PART: u32 = 10;

const LONGEST_CANCEL_RESERVE: Duration = Duration::from_millis(50);
const RETRY_AFTER_SHED: Duration = Duration::from_millis(100);
const RETRY_AFTER_OWNER: Duration = Duration::from_millis(500);
const RETRY_AFTER_BUDGET: Duration = Duration::from_secs(1);

#[derive(Clone, Debug)]
enum State {
    LookingUp,
    Admitting(Target),
    Sending(Target),
    Cancelling(Target),
    AskingRetry {
        failure: Failure,
        beyond: Option<LogIndex>,
    },
    Waiting(Failure),
    Finished(FinalAnswer),
}

/// What the caller is told if nothing better comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Failure {
    kind: RejectKind,
    retry_after: Duration,
}

impl Failure {
    fn of(kind: RejectKind) -> Self {
        Self::after(kind, RETRY_AFTER_OWNER)
    }

    fn after(kind: RejectKind, retry_after: Duration) -> Self {
        Self { kind, retry_after }
    }
}

/// An ownership that is of no more use: its owner is gone or gives the shard away.
#[derive(Clone, Debug)]
struct Spent {
    target: Target,
    failure: Failure,
}

/// One request on its way; feed it [`FlowInput`]s, do the [`FlowAction`]s.
#[derive(Clone, Debug)]
pub struct RequestFlow {
    spec: RequestSpec,
    state: State,
    sent: u32,
    doubt: bool,
    spent: Option<Spent>,
    patience_end: Option<Duration>,
    pause: Duration,
}

impl RequestFlow {
    /// A request that arrived at `now`, with the first thing to do.
    pub fn start(spec: RequestSpec, now: Duration) -> (Self, FlowAction) {
        let mut flow = Self {
            spec,
            state: State::LookingUp,
            sent: 0,
            doubt: spec.attempt > 1,
            spent: None,
            patience_end: None,
            pause: FIRST_PAUSE,
        };
        let action = flow.look_up(now);
        (flow, action)
    }

    /// Takes what happened; returns what to do next. An input that does not answer the last action
    /// ends the flow without a claim.
    pub fn step(&mut self, now: Duration, input: FlowInput) -> FlowAction {
        let state = std::mem::replace(&mut self.state, State::LookingUp);
        match (state, input) {
            (State::LookingUp, FlowInput::Found(finding)) => self.found(now, finding),
            (State::Admitting(target), FlowInput::Admitted) => self.send(now, target),
            (State::Admitting(_), FlowInput::NotAdmitted(refusal)) => self.not_admitted(refusal),
            (State::Admitting(target), FlowInput::NotSent) => {
                self.await_change(now, target, Failure::of(RejectKind::OwnerLost))
            }
            (State::Sending(target), input) => self.sent(now, target, input),
            (State::Cancelling(target), FlowInput::Cancelled(answer)) => {
                self.cancelled(&target, answer)
            }
            (State::AskingRetry { failure, beyond }, FlowInput::Retry(allowed)) => {
                self.retry(now, failure, beyond, allowed)
            }
            (State::Waiting(_), FlowInput::Woken) => self.look_up(now),
            (State::Waiting(failure), FlowInput::CannotWait) => self.finish(failure),
            (State::Finished(answer), _) => self.finish_with(answer),
            _ => self.protocol_error(),
        }
    }

    /// Times the request was sent.
    pub fn times_sent(&self) -> u32 {
        self.sent
    }

    fn look_up(&mut self, now: Duration) -> FlowAction {
        if self.time_left(now) < LEAST_TIME_LEFT {
            return self.finish(Failure::after(
                RejectKind::DeadlineTooNear,
                RETRY_AFTER_SHED,
            ));
        }
        self.state = State::LookingUp;
        FlowAction::Lookup
    }

    fn found(&mut self, now: Duration, finding: Finding) -> FlowAction {
        match finding {
            Finding::NoTable => self.finish(Failure::of(RejectKind::NoTable)),
            Finding::NoOwner { table_index } => {
                let until = self.patience_end(now);
                self.wait(now, table_index, until, Failure::of(RejectKind::NoOwner))
            }
            Finding::Owner(target) => match self.spent.take() {
                Some(spent) if spent.is(&target) => self.await_change(now, target, spent.failure),
                _ => {
                    self.state = State::Admitting(target.clone());
                    FlowAction::Admit(target)
                }
            },
        }
    }

    fn not_admitted(&mut self, refusal: AdmissionRefusal) -> FlowAction {
        let (kind, retry_after) = match refusal {
            AdmissionRefusal::QueueFull { retry_after } => (RejectKind::QueueFull, retry_after),
            AdmissionRefusal::DeadlineTooNear { retry_after } => {
                (RejectKind::DeadlineTooNear, retry_after)
            }
            AdmissionRefusal::Ejected { retry_after } => (RejectKind::OwnerLost, retry_after),
        };
        self.finish(Failure::after(kind, retry_after))
    }

    fn send(&mut self, now: Duration, target: Target) -> FlowAction {
        if self.time_left(now) < LEAST_TIME_LEFT {
            return self.finish(Failure::after(
                RejectKind::DeadlineTooNear,
                RETRY_AFTER_SHED,
            ));
        }
        self.sent += 1;
        let until = self.spec.deadline - self.cancel_reserve(now);
        self.state = State::Sending(target.clone());
        FlowAction::Send { target, until }
    }

    fn sent(&mut self, now: Duration, target: Target, input: FlowInput) -> FlowAction {
        match input {
            FlowInput::Answered => self.finish_with(FinalAnswer {
                outcome: Outcome::Answered,
                reject: None,
                retry_after: None,
            }),
            FlowInput::NotSent => {
                self.await_change(now, target, Failure::of(RejectKind::OwnerLost))
            }
            FlowInput::Refused(refusal) => self.refused(now, target, refusal),
            FlowInput::Lost(_) => self.lost(now, target),
            _ => self.protocol_error(),
        }
    }

    fn refused(&mut self, now: Duration, target: Target, refusal: Refusal) -> FlowAction {
        let failure = Failure::of(RejectKind::OwnerRefused);
        let beyond = Some(target.table_index);
        match refusal {
            Refusal::Releasing | Refusal::Draining => self.await_change(now, target, failure),
            Refusal::WrongEpoch | Refusal::NoLease => self.ask_retry(now, failure, beyond),
            Refusal::Shed => {
                let shed = Failure::after(RejectKind::OwnerRefused, RETRY_AFTER_SHED);
                self.ask_retry(now, shed, beyond)
            }
            Refusal::Deadline => self.finish(Failure::after(
                RejectKind::DeadlineTooNear,
                RETRY_AFTER_SHED,
            )),
            Refusal::Cancelled => {
                self.doubt &= self.spec.repeatable;
                self.finish(failure)
            }
            Refusal::BadRequest => self.finish(failure),
            Refusal::AlreadyRunning | Refusal::RecordIncomplete => {
                self.doubt = true;
                self.finish(Failure::of(RejectKind::OutcomeUnknown))
            }
        }
    }

    fn lost(&mut self, now: Duration, target: Target) -> FlowAction {
        if self.spec.repeatable {
            self.doubt = true;
            return self.ask_retry(now, Failure::of(RejectKind::OutcomeUnknown), None);
        }
        if self.time_left(now) < LEAST_TIME_LEFT {
            self.doubt = true;
            return self.finish(Failure::of(RejectKind::OutcomeUnknown));
        }
        let until = self.spec.deadline.min(now + CANCEL_TIME);
        self.state = State::Cancelling(target.clone());
        FlowAction::Cancel { target, until }
    }

    /// A tombstone at the epoch of the send proves that neither this attempt nor an earlier one ran,
    /// and that none will: a back end answers `not-run` only when it knows this.
    fn cancelled(&mut self, target: &Target, answer: Option<CancelAnswer>) -> FlowAction {
        let proof = answer.is_some_and(|answer| {
            answer.state == RequestState::NotRun && answer.epoch == target.epoch
        });
        if proof {
            self.doubt = false;
            return self.finish(Failure::of(RejectKind::OwnerLost));
        }
        self.doubt = true;
        self.finish(Failure::of(RejectKind::OutcomeUnknown))
    }

    /// Sends it again only to another owner or epoch, which costs nothing of the retry budget: no
    /// server gets more requests by it.
    fn await_change(&mut self, now: Duration, target: Target, failure: Failure) -> FlowAction {
        if self.sent >= self.spec.sends {
            return self.finish(failure);
        }
        let until = self.patience_end(now);
        let beyond = target.table_index;
        self.spent = Some(Spent { target, failure });
        self.wait(now, beyond, until, failure)
    }

    /// Sends it again, after a pause or a change of the table above `beyond`; at once without one.
    fn ask_retry(
        &mut self,
        now: Duration,
        failure: Failure,
        beyond: Option<LogIndex>,
    ) -> FlowAction {
        let sent_enough = self.sent >= self.spec.sends;
        if sent_enough || self.time_left(now) < LEAST_TIME_LEFT || now >= self.patience_end(now) {
            return self.finish(failure);
        }
        self.state = State::AskingRetry { failure, beyond };
        FlowAction::TakeRetry
    }

    fn retry(
        &mut self,
        now: Duration,
        failure: Failure,
        beyond: Option<LogIndex>,
        allowed: bool,
    ) -> FlowAction {
        if !allowed {
            return self.finish(Failure::after(RejectKind::RetryBudget, RETRY_AFTER_BUDGET));
        }
        let Some(beyond) = beyond else {
            return self.look_up(now);
        };
        let until = (now + self.pause).min(self.patience_end(now));
        self.pause *= PAUSE_GROWTH;
        self.wait(now, beyond, until, failure)
    }

    fn wait(
        &mut self,
        now: Duration,
        beyond: LogIndex,
        until: Duration,
        failure: Failure,
    ) -> FlowAction {
        if now >= until {
            return self.finish(failure);
        }
        self.state = State::Waiting(failure);
        FlowAction::Wait { beyond, until }
    }

    /// End of all waiting of this request; fixed at the first wait.
    fn patience_end(&mut self, now: Duration) -> Duration {
        let latest = self.spec.deadline.saturating_sub(LEAST_TIME_LEFT);
        *self
            .patience_end
            .get_or_insert((now + PATIENCE).min(latest))
    }

    fn cancel_reserve(&self, now: Duration) -> Duration {
        if self.spec.repeatable {
            return Duration::ZERO;
        }
        (self.time_left(now) / CANCEL_PART).min(LONGEST_CANCEL_RESERVE)
    }

    fn time_left(&self, now: Duration) -> Duration {
        self.spec.deadline.saturating_sub(now)
    }

    fn protocol_error(&mut self) -> FlowAction {
        self.doubt |= self.sent > 0;
        self.finish(Failure::of(RejectKind::OutcomeUnknown))
    }

    fn finish(&mut self, failure: Failure) -> FlowAction {
        let outcome = if self.doubt {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        };
        self.finish_with(FinalAnswer {
            outcome,
            reject: Some(failure.kind),
            retry_after: Some(failure.retry_after),
        })
    }

    fn finish_with(&mut self, answer: FinalAnswer) -> FlowAction {
        self.state = State::Finished(answer);
        FlowAction::Finish(answer)
    }
}

impl Spent {
    fn is(&self, target: &Target) -> bool {
        self.target.server == target.server && self.target.epoch == target.epoch
    }
}
