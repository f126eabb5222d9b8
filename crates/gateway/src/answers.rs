//! Bytes of answers and of requests to servers.

use std::io::Write as _;
use std::time::Duration;

use grebepin_reactor::http::{Request, Response};

use crate::headers::HeaderNames;

/// An answer of the gateway's own.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OwnAnswer {
    /// Status.
    pub status: u16,
    /// When the client may come back, for a request that did not run.
    pub retry_after: Option<Duration>,
    /// Whether the connection ends with it.
    pub closes: bool,
}

impl OwnAnswer {
    /// The request did not run and never will; its client may come back after a time, where there is one.
    pub fn not_run(retry_after: Option<Duration>) -> Self {
        Self {
            status: 503,
            retry_after,
            closes: false,
        }
    }

    /// An answer without a time to come back.
    pub fn status(status: u16) -> Self {
        Self {
            status,
            retry_after: None,
            closes: false,
        }
    }

    /// The same, ending the connection.
    pub fn closing(self) -> Self {
        Self {
            closes: true,
            ..self
        }
    }
}

/// Writes an answer of the gateway's own.
pub fn write_own(out: &mut Vec<u8>, answer: OwnAnswer, request_id: &str, names: &HeaderNames) {
    let reason = reason_phrase(answer.status);
    let _ = write!(out, "HTTP/1.1 {} {reason}\r\n", answer.status);
    if !request_id.is_empty() {
        let _ = write!(out, "{}: {request_id}\r\n", names.request_id);
    }
    if let Some(after) = answer.retry_after {
        let _ = write!(out, "Retry-After: {:.3}\r\n", after.as_secs_f64());
    }
    let connection = connection_value(answer.closes);
    let _ = write!(out, "Content-Length: 0\r\nConnection: {connection}\r\n\r\n");
}

/// Writes a server's answer.
pub fn write_response(out: &mut Vec<u8>, response: &Response, closes: bool) {
    let reason = reason_phrase(response.status);
    out.reserve(response.body.len() + 512);
    let _ = write!(out, "HTTP/1.1 {} {reason}\r\n", response.status);
    write_fields(out, response.fields.end_to_end());
    let connection = connection_value(closes);
    if response.status != 204 && response.status != 304 {
        let _ = write!(out, "Content-Length: {}\r\n", response.body.len());
    }
    let _ = write!(out, "Connection: {connection}\r\n\r\n");
    out.extend_from_slice(&response.body);
}

/// Writes a request to a server.
pub fn write_request(
    out: &mut Vec<u8>,
    request: &Request,
    names: &HeaderNames,
    time_left: Duration,
    instance: &str,
) {
    out.reserve(request.body.len() + 512);
    let _ = write!(out, "{} {} HTTP/1.1\r\n", request.method, request.target);
    let own = |name: &str| {
        name.eq_ignore_ascii_case(names.deadline_ms)
            || name.eq_ignore_ascii_case(names.expected_instance)
    };
    write_fields(
        out,
        request.fields.end_to_end().filter(|(name, _)| !own(name)),
    );
    let milliseconds = time_left.as_millis().max(1);
    let _ = write!(
        out,
        "{}: {milliseconds}\r\n{}: {instance}\r\n",
        names.deadline_ms, names.expected_instance
    );
    let has_body = !request.body.is_empty() || !matches!(request.method.as_str(), "GET" | "HEAD");
    if has_body {
        let _ = write!(out, "Content-Length: {}\r\n", request.body.len());
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(&request.body);
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
