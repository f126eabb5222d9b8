//! Handles a completely read request: routing, permits, metrics and the answer.
//!
//! Invariant: a refusal is immediate; temporary conditions carry a retry delay.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use grebepin_schema::{RejectKind, RequestId};
use grebepin_traffic::{reply, RequestSpec};

use crate::answer::Answer;
use crate::forward::{forward, RoutedRequest};
use crate::lookup;
use crate::request::{attempt_of, request_id, split_target, CallerHeaders, CallerRequest};
use crate::shared::Shared;

/// Path prefix of the router's own endpoints.
const ROUTER_PATH_PREFIX: &str = "/-/";

const RETRY_AFTER_UNAVAILABLE: Duration = Duration::from_millis(500);
const RETRY_AFTER_FULL: Duration = Duration::from_millis(200);

/// Sequence number for the next generated request identifier.
static NEXT_REQUEST: AtomicU64 = AtomicU64::new(1);

/// Handles a request and returns its answer; blocks until the answer is complete.
pub fn handle(shared: &Shared, request: &CallerRequest) -> Answer {
    if request.head.target.starts_with(ROUTER_PATH_PREFIX) {
        return lookup::answer(shared, request);
    }
    match route(shared, request) {
        Ok(routed) => run(shared, &routed),
        Err(kind) => refuse(shared, request, kind),
    }
}

/// Rejects a request that was not sent, and counts it in the metrics of its service.
pub fn refuse(shared: &Shared, request: &CallerRequest, kind: RejectKind) -> Answer {
    let retry_after = match kind {
        RejectKind::NoTable | RejectKind::RouterStopping => Some(RETRY_AFTER_UNAVAILABLE),
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

fn run(shared: &Shared, routed: &RoutedRequest<'_>) -> Answer {
    let Some(_permit) = shared.permit(routed.priority) else {
        return refuse(shared, routed.request, RejectKind::QueueFull);
    };
    routed.state.record_first_attempt();
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

fn route<'a>(shared: &Shared, request: &'a CallerRequest) -> Result<RoutedRequest<'a>, RejectKind> {
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
    let class_limit = Duration::from_millis(class.deadline_ms.get());
    let requested = headers.deadline.unwrap_or(shared.limits().default_deadline);
    Ok(RoutedRequest {
        request,
        service: route.service.name.clone(),
        state: state.clone(),
        key: headers.key,
        request_id: headers
            .request_id
            .unwrap_or_else(|| generate_request_id(shared)),
        priority: class.priority,
        spec: RequestSpec {
            repeatable: class.repeatable,
            attempt: headers.attempt,
            deadline: shared.clock.time_of(request.arrived) + requested.min(class_limit),
            max_sends: route.service.retry.attempts.get(),
        },
    })
}

/// Generates an identifier for a request without one; unique across starts of the router.
fn generate_request_id(shared: &Shared) -> RequestId {
    let number = NEXT_REQUEST.fetch_add(1, Ordering::Relaxed);
    let name = shared.settings.name.as_str();
    // A router name has at most 63 characters, so the identifier stays within its limit of 128.
    format!("{name}:{:x}:{number}", shared.incarnation)
        .parse()
        .expect("a name and two numbers")
}
