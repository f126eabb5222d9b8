//! Answers to callers.
//!
//! Invariant: every answer carries its outcome, and its request identifier where that is known.

use grebepin_schema::{Outcome, RejectKind, RequestId};
use grebepin_traffic::{reply, FinalAnswer};

use crate::http::head::put_header;
use crate::request::REQUEST_ID;

/// Answer header with the outcome of the request.
pub const OUTCOME: &str = "Grebepin-Outcome";

const JSON: &[u8] = b"application/json";

/// An answer to a caller, complete with its body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status, such as 200.
    pub status: u16,
    /// Header lines, without connection headers and `Content-Length`.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Complete body; empty for answers to `HEAD`.
    pub body: Vec<u8>,
    /// `Content-Length` to send instead of the body's size, for answers to `HEAD`.
    pub content_length: Option<u64>,
}

impl Answer {
    /// Creates an answer without headers.
    pub fn new(status: u16, body: Vec<u8>) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body,
            content_length: None,
        }
    }

    /// Creates an answer with a JSON body.
    pub fn json(status: u16, body: Vec<u8>) -> Self {
        let mut answer = Self::new(status, body);
        answer.add("Content-Type", JSON);
        answer
    }

    /// Appends a header line; existing lines of the same name stay.
    pub fn add(&mut self, name: &str, value: &[u8]) {
        self.headers.push((name.to_string(), value.to_vec()));
    }

    /// Creates the router's own answer to a request that it rejects.
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
        reply.add_outcome(answer.outcome, request_id);
        reply
    }

    /// Adds the headers with the outcome and the request identifier.
    pub fn add_outcome(&mut self, outcome: Outcome, request_id: Option<&RequestId>) {
        self.add(OUTCOME, outcome.to_string().as_bytes());
        if let Some(id) = request_id {
            self.add(REQUEST_ID, id.as_bytes());
        }
    }

    /// Serializes head and body.
    pub fn encode(&self, keep_alive: bool) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(256 + self.body.len());
        let line = format!(
            "HTTP/1.1 {} {}\r\n",
            self.status,
            reason_phrase(self.status)
        );
        bytes.extend_from_slice(line.as_bytes());
        for (name, value) in &self.headers {
            put_header(&mut bytes, name, value);
        }
        if self.status != 204 && self.status != 304 {
            let length = self.content_length.unwrap_or(self.body.len() as u64);
            put_header(&mut bytes, "Content-Length", length.to_string().as_bytes());
        }
        let connection: &[u8] = if keep_alive { b"keep-alive" } else { b"close" };
        put_header(&mut bytes, "Connection", connection);
        bytes.extend_from_slice(b"\r\n");
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

fn reason_phrase(status: u16) -> &'static str {
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
