//! Admin HTTP interface: operators' requests, metrics and health probes.
//!
//! Invariant: every request gets one response; a change whose outcome isn't known before the timeout is
//! answered with `lost-leadership`, which tells the operator to send it again.

use std::net::{TcpListener, TcpStream};
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::time::Duration;

use grebepin_http::{serve, HttpRequest, HttpResponse, MessageError, ServerHooks, ServerOptions};
use grebepin_schema::limits::MAX_BUNDLE_BYTES;
use grebepin_schema::{ApiError, ApiErrorKind};
use grebepin_telemetry::metrics::METRICS_CONTENT_TYPE;
use serde::de::DeserializeOwned;
use serde::Serialize;

use super::liveness::Liveness;
use super::message::{Inbox, Message, StopFlag};
use super::metrics::NodeGauges;
use super::sockets::Acceptor;
use crate::node::api_error;
use crate::node::input::AdminRequest;
use crate::node::output::AdminAnswer;

/// Maximum concurrent connections of operators and probes.
const CONNECTION_LIMIT: usize = 128;

/// Limits of one connection; the acceptor enforces the number of connections.
const OPTIONS: ServerOptions = ServerOptions {
    connections: CONNECTION_LIMIT,
    maximum_head: 16 << 10,
    maximum_headers: 64,
    maximum_body: MAX_BUNDLE_BYTES,
    idle_timeout: Some(Duration::from_secs(10)),
    transfer_timeout: Duration::from_secs(10),
};

const JSON: &str = "application/json";
const TEXT: &str = "text/plain; charset=utf-8";

/// Timeout of a request to the control thread, including the commit of a change.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// State shared by the connections of the admin interface.
#[derive(Clone)]
pub(super) struct AdminContext {
    pub(super) inbox: Inbox,
    pub(super) liveness: Liveness,
    pub(super) gauges: Arc<NodeGauges>,
}

/// Starts to accept connections of operators and probes.
pub(super) fn listen(
    listener: TcpListener,
    context: AdminContext,
    stop: StopFlag,
) -> std::io::Result<Acceptor> {
    Acceptor::start(
        "admin",
        listener,
        CONNECTION_LIMIT,
        stop,
        move |_, stream: TcpStream| {
            // No stop flag is needed: the acceptor ends connections by shutting down their read side.
            serve(stream, &OPTIONS, &context, &AtomicBool::new(false)).ok();
        },
    )
}

impl ServerHooks for AdminContext {
    fn respond(&self, request: HttpRequest) -> HttpResponse {
        answer(self, &request)
    }

    fn respond_to_invalid(&self, status: u16, error: &MessageError) -> HttpResponse {
        json(
            status,
            &api_error(ApiErrorKind::BadRequest, error.to_string()),
        )
    }
}

fn answer(context: &AdminContext, request: &HttpRequest) -> HttpResponse {
    let result = match (request.method.as_str(), request.path.as_str()) {
        ("GET", "/live") => return live(context),
        ("GET", "/ready") => context.ask(AdminRequest::Ready),
        ("GET", "/metrics") => context.ask(AdminRequest::Metrics),
        ("GET", "/v1/identity") => context.ask(AdminRequest::Identity),
        ("GET", "/v1/status") => context.ask(AdminRequest::Status),
        ("GET", "/v1/table") => context.ask(AdminRequest::Table),
        ("GET", "/v1/bundle") => context.ask(AdminRequest::Bundle),
        ("POST", "/v1/found") => context.change(request, AdminRequest::Found),
        ("POST", "/v1/bundles") => context.change(request, |signed| {
            AdminRequest::SubmitBundle(Box::new(signed))
        }),
        ("POST", "/v1/drain") => context.change(request, AdminRequest::Drain),
        ("POST", "/v1/members/remove") => context.change(request, AdminRequest::RemoveMember),
        (method, path) => Err(api_error(
            ApiErrorKind::NotFound,
            format!("no {method} {path}; see docs/operators"),
        )),
    };
    match result {
        Ok(answer) => success(context, &answer),
        Err(error) => json(status_code(error.kind), &error),
    }
}

impl AdminContext {
    fn change<T: DeserializeOwned>(
        &self,
        request: &HttpRequest,
        make: impl FnOnce(T) -> AdminRequest,
    ) -> Result<AdminAnswer, ApiError> {
        self.ask(make(read_body(request)?))
    }

    fn ask(&self, request: AdminRequest) -> Result<AdminAnswer, ApiError> {
        let (answer, answered) = crossbeam_channel::bounded(1);
        let unknown = || {
            api_error(
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

fn read_body<T: DeserializeOwned>(request: &HttpRequest) -> Result<T, ApiError> {
    serde_json::from_slice(&request.body)
        .map_err(|cause| api_error(ApiErrorKind::BadRequest, cause.to_string()))
}

fn live(context: &AdminContext) -> HttpResponse {
    match context.liveness.is_alive() {
        true => text(200, "live\n"),
        false => text(503, "the control thread does not answer\n"),
    }
}

fn success(context: &AdminContext, answer: &AdminAnswer) -> HttpResponse {
    match answer {
        AdminAnswer::Founded(identity) | AdminAnswer::Identity(identity) => json(200, identity),
        AdminAnswer::Rolled(answer) => json(200, answer),
        AdminAnswer::Table(table) => json(200, table),
        AdminAnswer::Bundle(signed) => json(200, signed),
        AdminAnswer::Status(status) => json(200, status),
        AdminAnswer::Drained(answer) => json(200, answer),
        AdminAnswer::Removed(answer) => json(200, answer),
        AdminAnswer::Ready(true) => text(200, "ready\n"),
        AdminAnswer::Ready(false) => {
            text(503, "no leader is known, or entries wait to be applied\n")
        }
        AdminAnswer::Metrics(metrics) => match context.gauges.render(metrics) {
            Ok(body) => HttpResponse::data(200, METRICS_CONTENT_TYPE, body),
            Err(cause) => text(500, &cause.to_string()),
        },
    }
}

fn json(status: u16, value: &impl Serialize) -> HttpResponse {
    match serde_json::to_vec(value) {
        Ok(body) => HttpResponse::data(status, JSON, body),
        Err(cause) => text(500, &cause.to_string()),
    }
}

fn text(status: u16, body: &str) -> HttpResponse {
    HttpResponse::data(status, TEXT, body)
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
