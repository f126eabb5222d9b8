//! The operators' HTTP interface, metrics and probes.
//!
//! Invariant: every request gets one JSON answer; a change whose outcome isn't known in time is
//! answered with `lost-leadership`, which tells the operator to send it again.

use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use grebepin_schema::limits::MAXIMUM_BUNDLE_BYTES;
use grebepin_schema::{ApiError, ApiErrorKind};
use grebepin_telemetry::metrics::METRICS_CONTENT_TYPE;
use rouille::{Request, Response};
use serde::de::DeserializeOwned;

use super::liveness::Liveness;
use super::message::{Inbox, Message, StopFlag};
use super::metrics::NodeGauges;
use crate::node::input::AdminRequest;
use crate::node::output::AdminAnswer;

/// Threads that serve operators.
const THREADS: usize = 16;

/// Longest wait for the outcome of a change.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Between two looks whether the process stops.
const STOP_POLL: Duration = Duration::from_millis(50);

/// The running interface.
pub(super) struct AdminServer {
    address: SocketAddr,
    thread: JoinHandle<()>,
}

/// What the interface needs.
#[derive(Clone)]
pub(super) struct AdminContext {
    pub(super) inbox: Inbox,
    pub(super) liveness: Liveness,
    pub(super) gauges: Arc<NodeGauges>,
}

impl AdminServer {
    /// Listens on `address`.
    pub(super) fn start(
        address: SocketAddr,
        context: AdminContext,
        stop: StopFlag,
    ) -> Result<Self, String> {
        let server = rouille::Server::new(address, move |request| answer(&context, request))
            .map_err(|error| error.to_string())?
            .pool_size(THREADS);
        let address = server.server_addr();
        let thread = thread::Builder::new()
            .name("admin".to_owned())
            .spawn(move || {
                while !stop.is_set() {
                    server.poll_timeout(STOP_POLL);
                }
                server.join();
            })
            .map_err(|error| error.to_string())?;
        Ok(Self { address, thread })
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits for the requests under way; the stop flag must be set before.
    pub(super) fn stop(self) {
        let _ = self.thread.join();
    }
}

fn answer(context: &AdminContext, request: &Request) -> Response {
    let result = match (request.method(), request.url().as_str()) {
        ("GET", "/live") => return live(context),
        ("GET", "/ready") => context.ask(AdminRequest::Ready),
        ("GET", "/metrics") => context.ask(AdminRequest::Metrics),
        ("GET", "/v1/identity") => context.ask(AdminRequest::Identity),
        ("GET", "/v1/status") => context.ask(AdminRequest::Status),
        ("GET", "/v1/bundle") => context.ask(AdminRequest::Bundle),
        ("POST", "/v1/found") => context.change(request, AdminRequest::Found),
        ("POST", "/v1/bundles") => context.change(request, |signed| {
            AdminRequest::SubmitBundle(Box::new(signed))
        }),
        ("POST", "/v1/drain") => context.change(request, AdminRequest::Drain),
        ("POST", "/v1/members/remove") => context.change(request, AdminRequest::RemoveMember),
        (_, path) => Err(error(
            ApiErrorKind::NotFound,
            format!("no {} {path}; see docs/operators", request.method()),
        )),
    };
    match result {
        Ok(answer) => success(context, &answer),
        Err(error) => Response::json(&error).with_status_code(status_code(error.kind)),
    }
}

impl AdminContext {
    fn change<T: DeserializeOwned>(
        &self,
        request: &Request,
        make: impl FnOnce(T) -> AdminRequest,
    ) -> Result<AdminAnswer, ApiError> {
        self.ask(make(read_body(request)?))
    }

    fn ask(&self, request: AdminRequest) -> Result<AdminAnswer, ApiError> {
        let (answer, answered) = crossbeam_channel::bounded(1);
        let unknown = || {
            error(
                ApiErrorKind::LostLeadership,
                "the replica stopped or found no outcome in time; send the same request again"
                    .to_owned(),
            )
        };
        self.inbox
            .send_timeout(Message::Admin { request, answer }, ANSWER_TIMEOUT)
            .map_err(|_| unknown())?;
        answered
            .recv_timeout(ANSWER_TIMEOUT)
            .unwrap_or_else(|_| Err(unknown()))
    }
}

fn read_body<T: DeserializeOwned>(request: &Request) -> Result<T, ApiError> {
    let limit = MAXIMUM_BUNDLE_BYTES as u64;
    let mut bytes = Vec::new();
    let body = request.data().ok_or_else(|| {
        let message = "the request has no body".to_owned();
        error(ApiErrorKind::BadRequest, message)
    })?;
    body.take(limit + 1)
        .read_to_end(&mut bytes)
        .map_err(|cause| error(ApiErrorKind::BadRequest, cause.to_string()))?;
    if bytes.len() as u64 > limit {
        let message = format!("the body is over the limit of {limit} bytes");
        return Err(error(ApiErrorKind::TooLarge, message));
    }
    serde_json::from_slice(&bytes)
        .map_err(|cause| error(ApiErrorKind::BadRequest, cause.to_string()))
}

fn live(context: &AdminContext) -> Response {
    match context.liveness.is_alive() {
        true => Response::text("live\n"),
        false => Response::text("the control thread does not answer\n").with_status_code(503),
    }
}

fn success(context: &AdminContext, answer: &AdminAnswer) -> Response {
    match answer {
        AdminAnswer::Founded(identity) | AdminAnswer::Identity(identity) => {
            Response::json(identity)
        }
        AdminAnswer::Rolled(answer) => Response::json(answer),
        AdminAnswer::Bundle(signed) => Response::json(signed),
        AdminAnswer::Status(status) => Response::json(status),
        AdminAnswer::Drained(answer) => Response::json(answer),
        AdminAnswer::Removed(answer) => Response::json(answer),
        AdminAnswer::Ready(true) => Response::text("ready\n"),
        AdminAnswer::Ready(false) => {
            Response::text("no leader is known, or entries wait to be applied\n")
                .with_status_code(503)
        }
        AdminAnswer::Metrics(metrics) => match context.gauges.render(metrics) {
            Ok(text) => Response::from_data(METRICS_CONTENT_TYPE, text),
            Err(cause) => Response::text(cause.to_string()).with_status_code(500),
        },
    }
}

fn error(kind: ApiErrorKind, message: String) -> ApiError {
    crate::node::api_error(kind, message)
}

fn status_code(kind: ApiErrorKind) -> u16 {
    match kind {
        ApiErrorKind::BadRequest | ApiErrorKind::InvalidBundle => 400,
        ApiErrorKind::BadSignature | ApiErrorKind::TooFewSignatures => 403,
        ApiErrorKind::NotFound | ApiErrorKind::UnknownServer | ApiErrorKind::UnknownMember => 404,
        ApiErrorKind::AlreadyFounded
        | ApiErrorKind::VersionConflict
        | ApiErrorKind::ParentMismatch
        | ApiErrorKind::MembershipBusy => 409,
        ApiErrorKind::TooLarge => 413,
        ApiErrorKind::Internal => 500,
        ApiErrorKind::NotLeader
        | ApiErrorKind::NoLeader
        | ApiErrorKind::NotFounded
        | ApiErrorKind::LostLeadership => 503,
    }
}
