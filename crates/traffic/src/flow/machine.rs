//! The state machine of one request at one router.
//!
//! Invariants: `not-run` is said only with proof that no attempt of the request ran; a request that
//! may not be repeated is sent again only after such proof; once nothing more is tried, the final
//! answer is given at once.

use std::time::Duration;

use grebepin_schema::{CancelAnswer, LogIndex, Outcome, Refusal, RejectKind, RequestState};

use super::failed_target::{Again, Failure, Tried};
use super::{FinalAnswer, FlowAction, FlowInput, OwnerLookup, RequestSpec, Target};
use crate::admission::AdmissionRefusal;

/// Longest time one request waits, in all, for the table to change or an owner to come back. It never
/// waits for longer than a part of its time left, so that enough is left to run it, or to be told early.
pub const MAX_WAIT: Duration = Duration::from_millis(1500);

/// Part of the time left, one in this many, for which a request waits at most.
const PATIENCE_PART: u32 = 2;

/// Pause before an owner is asked again at the same epoch: the time in which a new owner gets its grant.
/// A second pause lasts to the end of the patience.
pub const FIRST_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The same for an owner that releases the shard or fetches its record: most often it gives it away.
pub const RELEASE_RETRY_DELAY: Duration = Duration::from_millis(100);

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
const RETRY_AFTER_BUDGET: Duration = Duration::from_secs(1);

#[derive(Clone, Debug)]
enum State {
    LookingUp,
    Admitting(Target),
    Sending(Target),
    Cancelling(Target),
    /// With the owner that is asked again, if it was looked up already.
    AskingRetry(Option<Target>),
    Waiting(Failure),
    Finished(FinalAnswer),
}

/// One request on its way; feed it [`FlowInput`]s, do the [`FlowAction`]s.
#[derive(Clone, Debug)]
pub struct RequestFlow {
    spec: RequestSpec,
    state: State,
    sent: u32,
    doubt: bool,
    tried: Option<Tried>,
    patience_end: Option<Duration>,
    paused: bool,
}

impl RequestFlow {
    /// A request that arrived at `now`, with the first thing to do.
    pub fn start(spec: RequestSpec, now: Duration) -> (Self, FlowAction) {
        let mut flow = Self {
            spec,
            state: State::LookingUp,
            sent: 0,
            doubt: spec.attempt > 1,
            tried: None,
            patience_end: None,
            paused: false,
        };
        let action = flow.look_up(now);
        (flow, action)
    }

    /// Takes what happened; returns what to do next. An input that does not answer the last action
    /// ends the flow without a claim.
    pub fn step(&mut self, now: Duration, input: FlowInput) -> FlowAction {
        let state = std::mem::replace(&mut self.state, State::LookingUp);
        match (state, input) {
            (State::LookingUp, FlowInput::LookedUp(finding)) => self.found(now, finding),
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

    fn found(&mut self, now: Duration, finding: OwnerLookup) -> FlowAction {
        match finding {
            OwnerLookup::NoTable => self.finish(Failure::of(RejectKind::NoTable)),
            OwnerLookup::NoOwner { table_index } => {
                let until = self.patience_end(now);
                self.wait(now, table_index, until, Failure::of(RejectKind::NoOwner))
            }
            OwnerLookup::Owner(target) => self.found_owner(now, target),
        }
    }

    /// Another owner or epoch gets it at once, which costs nothing of the retry budget, since no
    /// server gets more requests by it. The same one gets it again only where that can help.
    fn found_owner(&mut self, now: Duration, target: Target) -> FlowAction {
        let Some(tried) = self.tried.take().filter(|tried| tried.is(&target)) else {
            self.paused = false;
            return self.admit(target);
        };
        match tried.again_at {
            Some(at) if now >= at => {
                self.state = State::AskingRetry(Some(target));
                FlowAction::TakeRetry
            }
            again_at => {
                let until = again_at.unwrap_or(self.patience_end(now));
                let newer_than = target.table_index;
                let failure = tried.failure;
                self.tried = Some(tried);
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
            FlowInput::NotSent => self.not_sent(now, target),
            FlowInput::Refused(refusal) => self.refused(now, target, refusal),
            FlowInput::Lost(_) => self.lost(now, target),
            _ => self.protocol_error(),
        }
    }

    /// An owner that cannot be reached is gone: when it comes back, it gets its shards at new epochs.
    fn not_sent(&mut self, now: Duration, target: Target) -> FlowAction {
        let failure = Failure::of(RejectKind::OwnerLost);
        self.not_run(now, target, failure, Again::Never)
    }

    fn refused(&mut self, now: Duration, target: Target, refusal: Refusal) -> FlowAction {
        let failure = Failure::of(RejectKind::OwnerRefused);
        match refusal {
            Refusal::Draining => self.not_run(now, target, failure, Again::Never),
            Refusal::WrongEpoch | Refusal::NoLease => {
                self.not_run(now, target, failure, Again::After(FIRST_RETRY_DELAY))
            }
            Refusal::Releasing => {
                self.not_run(now, target, failure, Again::After(RELEASE_RETRY_DELAY))
            }
            Refusal::Shed => self.shed(now, target),
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

    /// A server that has too much to do is asked once more.
    fn shed(&mut self, now: Duration, target: Target) -> FlowAction {
        let failure = Failure::after(RejectKind::OwnerRefused, RETRY_AFTER_SHED);
        if self.paused {
            return self.finish(failure);
        }
        self.not_run(now, target, failure, Again::After(FIRST_RETRY_DELAY))
    }

    fn lost(&mut self, now: Duration, target: Target) -> FlowAction {
        if self.spec.repeatable {
            self.doubt = true;
            return self.send_again(now, Failure::of(RejectKind::OutcomeUnknown));
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

    /// This send is proven not to have run: waits for another owner or epoch, or for the time to ask
    /// the same one again.
    fn not_run(
        &mut self,
        now: Duration,
        target: Target,
        failure: Failure,
        again: Again,
    ) -> FlowAction {
        let end = self.patience_end(now);
        if self.sent >= self.spec.max_sends || now >= end {
            return self.finish(failure);
        }
        let again_at = match (again, std::mem::replace(&mut self.paused, true)) {
            (Again::Never, _) => None,
            (Again::After(pause), false) => Some((now + pause).min(end)),
            (Again::After(_), true) => Some(end),
        };
        let newer_than = target.table_index;
        self.tried = Some(Tried {
            target,
            failure,
            again_at,
        });
        self.wait(now, newer_than, again_at.unwrap_or(end), failure)
    }

    /// Sends a request that may be repeated again, at once.
    fn send_again(&mut self, now: Duration, failure: Failure) -> FlowAction {
        if self.sent >= self.spec.max_sends || self.time_left(now) < LEAST_TIME_LEFT {
            return self.finish(failure);
        }
        self.state = State::AskingRetry(None);
        FlowAction::TakeRetry
    }

    fn retry(&mut self, now: Duration, resend: Option<Target>, allowed: bool) -> FlowAction {
        match (allowed, resend) {
            (false, _) => self.finish(Failure::after(RejectKind::RetryBudget, RETRY_AFTER_BUDGET)),
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

    /// End of all waiting of this request; fixed at the first wait.
    fn patience_end(&mut self, now: Duration) -> Duration {
        let patience = MAX_WAIT.min(self.time_left(now) / PATIENCE_PART);
        *self.patience_end.get_or_insert(now + patience)
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
