//! From a caller's whole request to its answer.
//!
//! Invariant: every refusal is immediate and tells when to come back.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use grebepin_schema::{RejectKind, RequestId};
use grebepin_traffic::{reply, RequestSpec};

use crate::answer::Answer;
use crate::forward::{forward, Routed};
use crate::lookup;
use crate::request::{attempt_of, request_id, split_target, CallerHeaders, CallerRequest};
use crate::shared::Shared;

/// Prefix of the router's own paths.
const OWN_PREFIX: &str = "/-/";

const RETRY_AFTER_START: Duration = Duration::from_millis(500);
const RETRY_AFTER_FULL: Duration = Duration::from_millis(200);

/// Number of the next request that came without an identifier.
static NEXT_REQUEST: AtomicU64 = AtomicU64::new(1);

/// Answers a request.
pub fn handle(shared: &Shared, request: &CallerRequest) -> Answer {
    if request.head.target.starts_with(OWN_PREFIX) {
        return lookup::answer(shared, request);
    }
    match route(shared, request) {
        Ok(routed) => run(shared, &routed),
        Err(kind) => refuse(shared, request, kind),
    }
}

/// The router's own answer to a request that was not sent.
pub fn refuse(shared: &Shared, request: &CallerRequest, kind: RejectKind) -> Answer {
    let retry_after = match kind {
        RejectKind::NoTable | RejectKind::RouterStopping => Some(RETRY_AFTER_START),
        RejectKind::QueueFull => Some(RETRY_AFTER_FULL),
        _ => None,
    };
    let answer = reply::rejected_before_send(kind, attempt_of(&request.head), retry_after);
    if let Some((service, _)) = split_target(&request.head.target) {
        if let Some(state) = shared.view().service(service) {
            let elapsed = request.arrived.elapsed().as_secs_f64();
            state.metrics.finished(&answer.outcome.to_string(), elapsed);
            state.metrics.rejected(&kind.to_string());
        }
    }
    let id = request_id(&request.head).ok().flatten();
    Answer::rejected(&answer, id.as_ref())
}

fn run(shared: &Shared, routed: &Routed<'_>) -> Answer {
    let Some(_permit) = shared.permit(routed.priority) else {
        return refuse(shared, routed.request, RejectKind::QueueFull);
    };
    routed.state.first_attempt();
    let (answer, last) = forward(shared, routed);
    let elapsed = routed.request.arrived.elapsed().as_secs_f64();
    routed
        .state
        .metrics
        .finished(&last.outcome.to_string(), elapsed);
    if let Some(kind) = last.reject {
        routed.state.metrics.rejected(&kind.to_string());
    }
    answer
}

fn route<'a>(shared: &Shared, request: &'a CallerRequest) -> Result<Routed<'a>, RejectKind> {
    if shared.is_closed() {
        return Err(RejectKind::RouterStopping);
    }
    let headers = CallerHeaders::read(&request.head)?;
    let view = shared.view();
    if !view.table.is_ready() {
        return Err(RejectKind::NoTable);
    }
    let (name, path) = split_target(&request.head.target).ok_or(RejectKind::UnknownService)?;
    let route = view.table.service(name).ok_or(RejectKind::UnknownService)?;
    let state = view.service(name).ok_or(RejectKind::UnknownService)?;
    let class = route
        .class(&request.head.method, path)
        .ok_or(RejectKind::UnknownClass)?;
    let longest = Duration::from_millis(class.deadline_ms.get());
    let wanted = headers.deadline.unwrap_or(shared.limits().default_deadline);
    Ok(Routed {
        request,
        service: route.service.name.clone(),
        state: state.clone(),
        key: headers.key,
        request_id: headers.request_id.unwrap_or_else(|| own_identifier(shared)),
        priority: class.priority,
        spec: RequestSpec {
            repeatable: class.repeatable,
            attempt: headers.attempt,
            deadline: shared.clock.time_of(request.arrived) + wanted.min(longest),
            max_sends: route.service.retry.attempts.get(),
        },
    })
}

/// An identifier for a request that came without one; unique over starts of the router.
fn own_identifier(shared: &Shared) -> RequestId {
    let number = NEXT_REQUEST.fetch_add(1, Ordering::Relaxed);
    let name = shared.settings.name.as_str();
    // A name is at most 63 characters, so the identifier is within its 128.
    format!("{name}:{:x}:{number}", shared.incarnation)
        .parse()
        .expect("a name and two numbers")
}
