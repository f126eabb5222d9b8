//! Answers to callers.
//!
//! Invariant: every answer names its request where that is known, and its outcome.

use grebepin_schema::{Outcome, RejectKind, RequestId};
use grebepin_traffic::{reply, FinalAnswer};

use crate::http::head::put_header;
use crate::request::REQUEST_ID;

/// Header with the outcome.
pub const OUTCOME: &str = "Grebepin-Outcome";

const JSON: &[u8] = b"application/json";

/// An answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Status, such as 200.
    pub status: u16,
    /// Header lines, without those of the connection.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Whole body.
    pub body: Vec<u8>,
    /// Length to state in place of the body's, for answers to `HEAD`.
    pub stated_length: Option<u64>,
}

impl Answer {
    /// An answer without headers.
    pub fn new(status: u16, body: Vec<u8>) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body,
            stated_length: None,
        }
    }

    /// A JSON answer.
    pub fn json(status: u16, body: Vec<u8>) -> Self {
        let mut answer = Self::new(status, body);
        answer.add("Content-Type", JSON);
        answer
    }

    /// Adds a header line.
    pub fn add(&mut self, name: &str, value: &[u8]) {
        self.headers.push((name.to_string(), value.to_vec()));
    }

    /// The router's own answer to a request.
    pub fn rejected(answer: &FinalAnswer, request_id: Option<&RequestId>) -> Self {
        let kind = answer.reject.unwrap_or(RejectKind::OutcomeUnknown);
        let body = reply::reject_body(answer, request_id.cloned());
        let body = body.and_then(|body| serde_json::to_vec(&body).ok());
        let mut reply = Self::json(
            reply::status(kind, answer.outcome),
            body.unwrap_or_default(),
        );
        if let Some(time) = answer.retry_after {
            let seconds = reply::retry_after_seconds(time).to_string();
            reply.add("Retry-After", seconds.as_bytes());
        }
        reply.mark(answer.outcome, request_id);
        reply
    }

    /// Adds the outcome and the request's identifier.
    pub fn mark(&mut self, outcome: Outcome, request_id: Option<&RequestId>) {
        self.add(OUTCOME, outcome.to_string().as_bytes());
        if let Some(id) = request_id {
            self.add(REQUEST_ID, id.as_bytes());
        }
    }

    /// The whole answer as bytes.
    pub fn encode(&self, keep_alive: bool) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(256 + self.body.len());
        let line = format!("HTTP/1.1 {} {}\r\n", self.status, reason(self.status));
        bytes.extend_from_slice(line.as_bytes());
        for (name, value) in &self.headers {
            put_header(&mut bytes, name, value);
        }
        if self.status != 204 && self.status != 304 {
            let length = self.stated_length.unwrap_or(self.body.len() as u64);
            put_header(&mut bytes, "Content-Length", length.to_string().as_bytes());
        }
        let connection: &[u8] = if keep_alive { b"keep-alive" } else { b"close" };
        put_header(&mut bytes, "Connection", connection);
        bytes.extend_from_slice(b"\r\n");
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        202 => "Accepted",
        204 => "No Content",
        304 => "Not Modified",
        400 => "Bad Request",
        404 => "Not Found",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
