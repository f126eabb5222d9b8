//! Status, text and retry delay of the answers that a router gives itself.
//!
//! Invariant: each kind of rejection has one status and one text, which callers may rely on.

use std::time::Duration;

use grebepin_schema::{Outcome, Reject, RejectKind, RequestId};

use crate::flow::FinalAnswer;

const MILLISECONDS_PER_SECOND: u64 = 1000;

/// HTTP status of a rejection. An unknown outcome never gets a status that invites a plain retry; an
/// invalid request keeps its client error status.
pub fn status(kind: RejectKind, outcome: Outcome) -> u16 {
    match kind {
        RejectKind::MissingKey | RejectKind::BadHeader => 400,
        RejectKind::UnknownService | RejectKind::UnknownClass => 404,
        RejectKind::BodyTooLarge => 413,
        _ if outcome == Outcome::Unknown => 502,
        RejectKind::DeadlineTooNear => 504,
        RejectKind::OutcomeUnknown => 502,
        RejectKind::NoTable
        | RejectKind::NoOwner
        | RejectKind::QueueFull
        | RejectKind::RetryBudget
        | RejectKind::OwnerRefused
        | RejectKind::OwnerLost
        | RejectKind::RouterStopping => 503,
    }
}

/// Human-readable text of a rejection.
pub fn message(kind: RejectKind, outcome: Outcome) -> &'static str {
    if outcome == Outcome::Unknown {
        return "the request, or an earlier attempt of it, may have run; ask for its outcome at \
                /-/outcome/SERVICE/REQUEST-ID before sending it as a new request";
    }
    match kind {
        RejectKind::MissingKey => "the header Grebepin-Key is missing",
        RejectKind::BadHeader => "the request or one of its headers does not parse",
        RejectKind::UnknownService => "no service of this name; the path is /SERVICE/...",
        RejectKind::UnknownClass => "no class of the service fits this method and path",
        RejectKind::BodyTooLarge => "the body is over the router's limit",
        RejectKind::DeadlineTooNear => "too little time is left to answer by the deadline",
        RejectKind::NoTable => "the router has no routing table yet",
        RejectKind::NoOwner => "no server owns the key now",
        RejectKind::QueueFull => "too many requests wait",
        RejectKind::RetryBudget => "the service's retry budget is spent",
        RejectKind::OwnerRefused => "the owner refused the request",
        RejectKind::OwnerLost => "the owner of the key could not be reached",
        RejectKind::OutcomeUnknown => "the request may have run",
        RejectKind::RouterStopping => "the router is stopping",
    }
}

/// Value of the header `Retry-After`, in whole seconds, rounded up.
pub fn retry_after_seconds(retry_after: Duration) -> u64 {
    let milliseconds = retry_after.as_millis() as u64;
    milliseconds.div_ceil(MILLISECONDS_PER_SECOND).max(1)
}

/// Body of a router's own answer; `None` when the owner's answer is forwarded.
pub fn reject_body(answer: &FinalAnswer, request_id: Option<RequestId>) -> Option<Reject> {
    let kind = answer.reject?;
    Some(Reject {
        kind,
        outcome: answer.outcome,
        message: message(kind, answer.outcome).to_string(),
        request_id,
        retry_after_ms: answer.retry_after.map(|time| time.as_millis() as u64),
    })
}

/// Rejection of a request that was never sent. `attempt` is the caller's attempt number: above 1 the
/// outcome is unknown, because an earlier attempt may have run.
pub fn rejected_before_send(
    kind: RejectKind,
    attempt: u32,
    retry_after: Option<Duration>,
) -> FinalAnswer {
    let outcome = if attempt > 1 {
        Outcome::Unknown
    } else {
        Outcome::NotRun
    };
    FinalAnswer {
        outcome,
        reject: Some(kind),
        retry_after,
    }
}
