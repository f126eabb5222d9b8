//! `GET /-/outcome/SERVICE/REQUEST-ID`: looks up the outcome of a request.
//!
//! Invariant: the answer comes from the current owner; without an owner it is an error.

use std::time::Instant;

use grebepin_schema::{
    OutcomeAnswer, OutcomeLookup, RejectKind, RequestId, RequestState, ServiceName,
};
use grebepin_traffic::{reply, OwnerLookup, Target};

use crate::answer::Answer;
use crate::back_end;
use crate::forward::find_owner;
use crate::request::{self, CallerRequest};
use crate::shared::Shared;

const OUTCOME_PREFIX: &str = "/-/outcome/";

/// Attempt number of a request of which nothing is known; it counts as a resend, with an unknown outcome.
const UNKNOWN_ATTEMPT: u32 = 2;

/// Priority of lookups, which never take the permits reserved for top-priority requests.
const LOOKUP_PRIORITY: u32 = 9;

/// Retry delay after a failed lookup.
const RETRY_AFTER: std::time::Duration = std::time::Duration::from_millis(500);

/// Answers a request to one of the router's own paths, below `/-/`.
pub fn answer(shared: &Shared, request: &CallerRequest) -> Answer {
    match look_up_state(shared, request) {
        Ok((state, id)) => state_answer(state, &id),
        Err(kind) => {
            let retry_after = match kind {
                RejectKind::NoTable
                | RejectKind::NoOwner
                | RejectKind::OwnerLost
                | RejectKind::QueueFull => Some(RETRY_AFTER),
                _ => None,
            };
            let last = reply::rejected_before_send(kind, UNKNOWN_ATTEMPT, retry_after);
            Answer::rejected(&last, None)
        }
    }
}

fn state_answer(state: RequestState, id: &RequestId) -> Answer {
    let body = serde_json::to_vec(&OutcomeLookup { state }).unwrap_or_default();
    let mut answer = Answer::json(200, body);
    answer.add(request::REQUEST_ID, id.as_bytes());
    answer
}

fn look_up_state(
    shared: &Shared,
    request: &CallerRequest,
) -> Result<(RequestState, RequestId), RejectKind> {
    let (service, id) = parse(&request.head.target)?;
    let key = request::key(&request.head)?;
    let view = shared.view();
    let target = match find_owner(&view, &service, &key) {
        OwnerLookup::NoTable => return Err(RejectKind::NoTable),
        OwnerLookup::NoOwner { .. } => return Err(RejectKind::NoOwner),
        OwnerLookup::Owner(target) => target,
    };
    let _permit = shared
        .permit(LOOKUP_PRIORITY)
        .ok_or(RejectKind::QueueFull)?;
    let upstream = view.upstream(&target.server).ok_or(RejectKind::NoOwner)?;
    let path = outcome_path(&service, &target, &id);
    let until = Instant::now() + shared.limits().default_deadline;
    let body = back_end::get(upstream.pool(), &path, until, shared.limits());
    let answer: Option<OutcomeAnswer> = body.and_then(|body| serde_json::from_slice(&body).ok());
    let answer = answer.ok_or(RejectKind::OwnerLost)?;
    Ok((answer.state, id))
}

fn outcome_path(service: &ServiceName, target: &Target, id: &RequestId) -> String {
    let service = service.as_str();
    let shard = target.shard.0;
    let id = id.as_str();
    format!("/grebepin/v1/outcome?service={service}&shard={shard}&request_id={id}")
}

fn parse(target: &str) -> Result<(ServiceName, RequestId), RejectKind> {
    let rest = target
        .strip_prefix(OUTCOME_PREFIX)
        .ok_or(RejectKind::BadHeader)?;
    let (service, id) = rest.split_once('/').ok_or(RejectKind::BadHeader)?;
    let service = service.parse().map_err(|_| RejectKind::UnknownService)?;
    let id = id.parse().map_err(|_| RejectKind::BadHeader)?;
    Ok((service, id))
}
