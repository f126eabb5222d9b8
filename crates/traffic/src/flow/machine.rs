//! The state machine of one request at one router.
//!
//! Invariants: `not-run` is reported only with proof that no attempt of the request ran; a request that
//! is not repeatable is resent only after such proof; the final answer is given as soon as no further
//! send is possible.

use std::time::Duration;

use grebepin_schema::{CancelAnswer, LogIndex, Outcome, Refusal, RejectKind, RequestState};

use super::failed_target::{FailedTarget, Failure, SameOwnerRetry};
use super::{FinalAnswer, FlowAction, FlowInput, OwnerLookup, RequestSpec, Target};
use crate::admission::AdmissionRefusal;

/// Maximum total time that one request waits for a table change or for the same owner to accept it. The
/// wait is also limited to a fraction of the time left before the deadline, which leaves time to run the
/// request or to report the failure early.
pub const MAX_WAIT: Duration = Duration::from_millis(1500);

/// A request waits for at most the time left before its deadline divided by this.
const MAX_WAIT_DIVISOR: u32 = 2;

/// Delay before a request is resent to the same owner at the same epoch: the time in which a new owner
/// receives its grant. A second delay lasts to the end of the total wait.
pub const FIRST_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Delay before a resend to an owner that is releasing the shard or fetching its record. It is longer,
/// because such a shard usually moves to another owner.
pub const RELEASE_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Timeout of the cancellation of a request.
pub const CANCEL_TIMEOUT: Duration = Duration::from_millis(100);

/// Time for which a draining owner still receives requests for the shards that it has not released.
pub const DRAIN_GRACE: Duration = Duration::from_secs(1);

/// A request with less time left before its deadline is not sent.
const MIN_TIME_TO_SEND: Duration = Duration::from_millis(1);

/// The time left before the deadline divided by this is reserved for a cancellation.
const CANCEL_RESERVE_DIVISOR: u32 = 10;

const MAX_CANCEL_RESERVE: Duration = Duration::from_millis(50);
const RETRY_AFTER_SHED: Duration = Duration::from_millis(100);
const RETRY_AFTER_BUDGET: Duration = Duration::from_secs(1);

#[derive(Clone, Debug)]
enum State {
    LookingUp,
    Admitting(Target),
    Sending(Target),
    Cancelling(Target),
    /// Holds the owner to resend to, if it has been looked up already.
    AskingRetry(Option<Target>),
    Waiting(Failure),
    Finished(FinalAnswer),
}

/// State machine of one request: takes [`FlowInput`]s and returns [`FlowAction`]s.
#[derive(Clone, Debug)]
pub struct RequestFlow {
    spec: RequestSpec,
    state: State,
    sent: u32,
    may_have_run: bool,
    failed_target: Option<FailedTarget>,
    wait_end: Option<Duration>,
    delayed_once: bool,
}

impl RequestFlow {
    /// Starts the flow of a request that arrived at `now`; returns it with the first action.
    pub fn start(spec: RequestSpec, now: Duration) -> (Self, FlowAction) {
        let mut flow = Self {
            spec,
            state: State::LookingUp,
            sent: 0,
            may_have_run: spec.attempt > 1,
            failed_target: None,
            wait_end: None,
            delayed_once: false,
        };
        let action = flow.look_up(now);
        (flow, action)
    }

    /// Applies the result of the last action and returns the next one. An input that does not belong to
    /// the last action ends the flow; the outcome is then unknown if the request was sent.
    pub fn step(&mut self, now: Duration, input: FlowInput) -> FlowAction {
        let state = std::mem::replace(&mut self.state, State::LookingUp);
        match (state, input) {
            (State::LookingUp, FlowInput::LookedUp(lookup)) => self.found(now, lookup),
            (State::Admitting(target), FlowInput::Admitted) => self.send(now, target),
            (State::Admitting(_), FlowInput::NotAdmitted(refusal)) => self.not_admitted(refusal),
            (State::Admitting(target), FlowInput::NotSent) => self.not_sent(now, target),
            (State::Sending(target), input) => self.sent(now, target, input),
            (State::Cancelling(target), FlowInput::Cancelled(answer)) => {
                self.cancelled(&target, answer)
            }
            (State::AskingRetry(resend), FlowInput::Retry(allowed)) => {
                self.retry(now, resend, allowed)
            }
            (State::Waiting(_), FlowInput::Woken) => self.look_up(now),
            (State::Waiting(failure), FlowInput::CannotWait) => self.finish(failure),
            (State::Finished(answer), _) => self.finish_with(answer),
            _ => self.protocol_error(),
        }
    }

    /// Number of sends, including those that failed before the first byte.
    pub fn times_sent(&self) -> u32 {
        self.sent
    }

    fn look_up(&mut self, now: Duration) -> FlowAction {
        if self.time_left(now) < MIN_TIME_TO_SEND {
            return self.finish(Failure::with_retry_after(
                RejectKind::DeadlineTooNear,
                RETRY_AFTER_SHED,
            ));
        }
        self.state = State::LookingUp;
        FlowAction::Lookup
    }

    fn found(&mut self, now: Duration, lookup: OwnerLookup) -> FlowAction {
        match lookup {
            OwnerLookup::NoTable => self.finish(Failure::new(RejectKind::NoTable)),
            OwnerLookup::NoOwner { table_index } => {
                let until = self.wait_end(now);
                self.wait(now, table_index, until, Failure::new(RejectKind::NoOwner))
            }
            OwnerLookup::Owner(target) => self.found_owner(now, target),
        }
    }

    /// Sends the request to a different owner or epoch at once. That takes nothing from the retry budget,
    /// because no server receives more requests through it. The same owner at the same epoch receives the
    /// request again only where the failure may be temporary.
    fn found_owner(&mut self, now: Duration, target: Target) -> FlowAction {
        let Some(failed) = self
            .failed_target
            .take()
            .filter(|failed| failed.is_ownership_of(&target))
        else {
            self.delayed_once = false;
            return self.admit(target);
        };
        match failed.retry_at {
            Some(at) if now >= at => {
                self.state = State::AskingRetry(Some(target));
                FlowAction::TakeRetry
            }
            retry_at => {
                let until = retry_at.unwrap_or(self.wait_end(now));
                let newer_than = target.table_index;
                let failure = failed.failure;
                self.failed_target = Some(failed);
                self.wait(now, newer_than, until, failure)
            }
        }
    }

    fn admit(&mut self, target: Target) -> FlowAction {
        self.state = State::Admitting(target.clone());
        FlowAction::Admit(target)
    }

    fn not_admitted(&mut self, refusal: AdmissionRefusal) -> FlowAction {
        let (kind, retry_after) = match refusal {
            AdmissionRefusal::QueueFull { retry_after } => (RejectKind::QueueFull, retry_after),
            AdmissionRefusal::DeadlineTooNear { retry_after } => {
                (RejectKind::DeadlineTooNear, retry_after)
            }
            AdmissionRefusal::Ejected { retry_after } => (RejectKind::OwnerLost, retry_after),
        };
        self.finish(Failure::with_retry_after(kind, retry_after))
    }

    fn send(&mut self, now: Duration, target: Target) -> FlowAction {
        if self.time_left(now) < MIN_TIME_TO_SEND {
            return self.finish(Failure::with_retry_after(
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
            FlowInput::NotSent => self.not_sent(now, target),
            FlowInput::Refused(refusal) => self.refused(now, target, refusal),
            FlowInput::Lost(_) => self.lost(now, target),
            _ => self.protocol_error(),
        }
    }

    /// An unreachable owner is not retried at the same epoch: when it returns, its shards get new epochs.
    fn not_sent(&mut self, now: Duration, target: Target) -> FlowAction {
        let failure = Failure::new(RejectKind::OwnerLost);
        self.not_run(now, target, failure, SameOwnerRetry::Never)
    }

    fn refused(&mut self, now: Duration, target: Target, refusal: Refusal) -> FlowAction {
        let failure = Failure::new(RejectKind::OwnerRefused);
        match refusal {
            Refusal::Draining => self.not_run(now, target, failure, SameOwnerRetry::Never),
            Refusal::WrongEpoch | Refusal::NoLease => self.not_run(
                now,
                target,
                failure,
                SameOwnerRetry::After(FIRST_RETRY_DELAY),
            ),
            Refusal::Releasing => self.not_run(
                now,
                target,
                failure,
                SameOwnerRetry::After(RELEASE_RETRY_DELAY),
            ),
            Refusal::Shed => self.shed(now, target),
            Refusal::Deadline => self.finish(Failure::with_retry_after(
                RejectKind::DeadlineTooNear,
                RETRY_AFTER_SHED,
            )),
            Refusal::Cancelled => {
                self.may_have_run &= self.spec.repeatable;
                self.finish(failure)
            }
            Refusal::BadRequest => self.finish(failure),
            Refusal::AlreadyRunning | Refusal::RecordIncomplete => {
                self.may_have_run = true;
                self.finish(Failure::new(RejectKind::OutcomeUnknown))
            }
        }
    }

    /// Retries once at a server that shed the request because of overload.
    fn shed(&mut self, now: Duration, target: Target) -> FlowAction {
        let failure = Failure::with_retry_after(RejectKind::OwnerRefused, RETRY_AFTER_SHED);
        if self.delayed_once {
            return self.finish(failure);
        }
        self.not_run(
            now,
            target,
            failure,
            SameOwnerRetry::After(FIRST_RETRY_DELAY),
        )
    }

    fn lost(&mut self, now: Duration, target: Target) -> FlowAction {
        if self.spec.repeatable {
            self.may_have_run = true;
            return self.send_again(now, Failure::new(RejectKind::OutcomeUnknown));
        }
        if self.time_left(now) < MIN_TIME_TO_SEND {
            self.may_have_run = true;
            return self.finish(Failure::new(RejectKind::OutcomeUnknown));
        }
        let until = self.spec.deadline.min(now + CANCEL_TIMEOUT);
        self.state = State::Cancelling(target.clone());
        FlowAction::Cancel { target, until }
    }

    /// A tombstone at the epoch of the send proves that neither this attempt nor an earlier one ran, and
    /// that none will run: a back end answers `not-run` only when it has established this.
    fn cancelled(&mut self, target: &Target, answer: Option<CancelAnswer>) -> FlowAction {
        let proof = answer.is_some_and(|answer| {
            answer.state == RequestState::NotRun && answer.epoch == target.epoch
        });
        if proof {
            self.may_have_run = false;
            return self.finish(Failure::new(RejectKind::OwnerLost));
        }
        self.may_have_run = true;
        self.finish(Failure::new(RejectKind::OutcomeUnknown))
    }

    /// Handles a send that provably was not run: waits for another owner or epoch, or until the same
    /// owner may be retried.
    fn not_run(
        &mut self,
        now: Duration,
        target: Target,
        failure: Failure,
        same_owner: SameOwnerRetry,
    ) -> FlowAction {
        let end = self.wait_end(now);
        if self.sent >= self.spec.max_sends || now >= end {
            return self.finish(failure);
        }
        let retry_at = match (same_owner, std::mem::replace(&mut self.delayed_once, true)) {
            (SameOwnerRetry::Never, _) => None,
            (SameOwnerRetry::After(delay), false) => Some((now + delay).min(end)),
            (SameOwnerRetry::After(_), true) => Some(end),
        };
        let newer_than = target.table_index;
        self.failed_target = Some(FailedTarget {
            target,
            failure,
            retry_at,
        });
        self.wait(now, newer_than, retry_at.unwrap_or(end), failure)
    }

    /// Resends a repeatable request without a delay.
    fn send_again(&mut self, now: Duration, failure: Failure) -> FlowAction {
        if self.sent >= self.spec.max_sends || self.time_left(now) < MIN_TIME_TO_SEND {
            return self.finish(failure);
        }
        self.state = State::AskingRetry(None);
        FlowAction::TakeRetry
    }

    fn retry(&mut self, now: Duration, resend: Option<Target>, allowed: bool) -> FlowAction {
        match (allowed, resend) {
            (false, _) => self.finish(Failure::with_retry_after(
                RejectKind::RetryBudget,
                RETRY_AFTER_BUDGET,
            )),
            (true, Some(target)) => self.admit(target),
            (true, None) => self.look_up(now),
        }
    }

    fn wait(
        &mut self,
        now: Duration,
        newer_than: LogIndex,
        until: Duration,
        failure: Failure,
    ) -> FlowAction {
        if now >= until {
            return self.finish(failure);
        }
        self.state = State::Waiting(failure);
        FlowAction::Wait { newer_than, until }
    }

    /// Time at which all waits of this request end; fixed at the first wait.
    fn wait_end(&mut self, now: Duration) -> Duration {
        let max_wait = MAX_WAIT.min(self.time_left(now) / MAX_WAIT_DIVISOR);
        *self.wait_end.get_or_insert(now + max_wait)
    }

    fn cancel_reserve(&self, now: Duration) -> Duration {
        if self.spec.repeatable {
            return Duration::ZERO;
        }
        (self.time_left(now) / CANCEL_RESERVE_DIVISOR).min(MAX_CANCEL_RESERVE)
    }

    fn time_left(&self, now: Duration) -> Duration {
        self.spec.deadline.saturating_sub(now)
    }

    fn protocol_error(&mut self) -> FlowAction {
        self.may_have_run |= self.sent > 0;
        self.finish(Failure::new(RejectKind::OutcomeUnknown))
    }

    fn finish(&mut self, failure: Failure) -> FlowAction {
        let outcome = if self.may_have_run {
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
