//! Serialization of HTTP/1.1 responses to clients and of requests to servers.

use std::io::Write as _;
use std::time::Duration;

use grebepin_reactor::http::{Request, Response};
use grebepin_reactor::Connection;

use crate::headers::HeaderNames;
use crate::hop::{is_hop_field, write_answer_fields, AnsweringGateway, HopOutcome, HopRequest};

/// A response that the gateway generates itself, without a body.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LocalResponse {
    /// Status code; 503 promises that the request did not run and never will.
    pub status: u16,
    /// Time after which the client may retry a request that was not executed; sent as `Retry-After`.
    pub retry_after: Option<Duration>,
    /// Whether the connection is closed after the response.
    pub closes: bool,
    /// What another gateway is told that forwarded the request.
    pub hop_outcome: HopOutcome,
    /// Number of servers that the request was sent to.
    pub attempts: u32,
}

impl LocalResponse {
    /// A 503 response for a request that was not executed and never will be; without `retry_after` a retry
    /// has no better chance.
    pub fn not_run(retry_after: Option<Duration>) -> Self {
        Self {
            status: 503,
            retry_after,
            closes: false,
            hop_outcome: HopOutcome::of_status(503),
            attempts: 0,
        }
    }

    /// A response without `Retry-After` that keeps the connection open.
    pub fn status(status: u16) -> Self {
        Self {
            status,
            retry_after: None,
            closes: false,
            hop_outcome: HopOutcome::of_status(status),
            attempts: 0,
        }
    }

    /// The same response, after which the connection is closed.
    pub fn closing(self) -> Self {
        Self {
            closes: true,
            ..self
        }
    }
}

/// Writes a response of the gateway's own. An empty `request_id` is left out. `gateway` is this one if the
/// response goes to another gateway.
pub fn write_local_response(
    out: &mut Vec<u8>,
    response: LocalResponse,
    request_id: &str,
    names: &HeaderNames,
    gateway: Option<AnsweringGateway<'_>>,
) {
    let reason = reason_phrase(response.status);
    let _ = write!(out, "HTTP/1.1 {} {reason}\r\n", response.status);
    if !request_id.is_empty() {
        let _ = write!(out, "{}: {request_id}\r\n", names.request_id);
    }
    if let Some(after) = response.retry_after {
        let _ = write!(out, "Retry-After: {:.3}\r\n", after.as_secs_f64());
    }
    if let Some(gateway) = gateway {
        write_answer_fields(out, Some(response.hop_outcome), gateway);
    }
    let connection = connection_value(response.closes);
    let _ = write!(out, "Content-Length: 0\r\nConnection: {connection}\r\n\r\n");
}

/// Queues a server's response, without its hop-by-hop header fields. `gateway` is this one if the response goes to
/// another gateway.
pub fn queue_response(
    connection: &mut Connection,
    response: &Response,
    closes: bool,
    gateway: Option<AnsweringGateway<'_>>,
) {
    let out = connection.outbound();
    out.reserve(512);
    let reason = reason_phrase(response.status);
    let _ = write!(out, "HTTP/1.1 {} {reason}\r\n", response.status);
    let fields = response.fields.end_to_end();
    write_fields(out, fields.filter(|(name, _)| !is_hop_field(name)));
    if let Some(gateway) = gateway {
        write_answer_fields(out, None, gateway);
    }
    let value = connection_value(closes);
    if response.status != 204 && response.status != 304 {
        let _ = write!(out, "Content-Length: {}\r\n", response.body.len());
    }
    let _ = write!(out, "Connection: {value}\r\n\r\n");
    connection.queue_body(&response.body);
}

/// Queues a request to a server. The deadline and the expected instance replace the client's own header
/// fields of these names.
pub fn queue_request(
    connection: &mut Connection,
    request: &Request,
    names: &HeaderNames,
    time_left: Duration,
    instance: &str,
) {
    let out = connection.outbound();
    write_head(out, request, names, time_left, |_| true);
    let _ = write!(out, "{}: {instance}\r\n", names.expected_instance);
    end_head(out, request);
    connection.queue_body(&request.body);
}

/// Queues a request to another gateway.
pub fn queue_forwarded_request(
    connection: &mut Connection,
    request: &Request,
    names: &HeaderNames,
    time_left: Duration,
    hop: &HopRequest,
) {
    write_forwarded_head(connection.outbound(), request, names, time_left, hop);
    connection.queue_body(&request.body);
}

/// Writes the head of a request to another gateway. The deadline and the fields between gateways replace the client's
/// own header fields of these names.
pub fn write_forwarded_head(
    out: &mut Vec<u8>,
    request: &Request,
    names: &HeaderNames,
    time_left: Duration,
    hop: &HopRequest,
) {
    write_head(out, request, names, time_left, |name| !is_hop_field(name));
    hop.write(out);
    end_head(out, request);
}

/// Writes the request line, the client's fields that `is_kept` selects, and the deadline.
fn write_head(
    out: &mut Vec<u8>,
    request: &Request,
    names: &HeaderNames,
    time_left: Duration,
    is_kept: impl Fn(&str) -> bool,
) {
    out.reserve(512);
    let _ = write!(out, "{} {} HTTP/1.1\r\n", request.method, request.target);
    let own = |name: &str| {
        name.eq_ignore_ascii_case(names.deadline_ms)
            || name.eq_ignore_ascii_case(names.expected_instance)
    };
    let fields = request.fields.end_to_end();
    write_fields(out, fields.filter(|(name, _)| !own(name) && is_kept(name)));
    let milliseconds = time_left.as_millis().max(1);
    let _ = write!(out, "{}: {milliseconds}\r\n", names.deadline_ms);
}

/// Writes the length of the body, if there is one, and the end of the head.
fn end_head(out: &mut Vec<u8>, request: &Request) {
    let has_body = !request.body.is_empty() || !matches!(request.method.as_str(), "GET" | "HEAD");
    if has_body {
        let _ = write!(out, "Content-Length: {}\r\n", request.body.len());
    }
    out.extend_from_slice(b"\r\n");
}

fn write_fields<'a>(out: &mut Vec<u8>, fields: impl Iterator<Item = (&'a str, &'a [u8])>) {
    for (name, value) in fields {
        out.extend_from_slice(name.as_bytes());
        out.extend_from_slice(b": ");
        out.extend_from_slice(value);
        out.extend_from_slice(b"\r\n");
    }
}

fn connection_value(closes: bool) -> &'static str {
    match closes {
        true => "close",
        false => "keep-alive",
    }
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        202 => "Accepted",
        204 => "No Content",
        400 => "Bad Request",
        404 => "Not Found",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
