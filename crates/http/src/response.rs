//! Responses and their encoding.
//!
//! Invariant: a response is sent completely, with a `Content-Length`.

use std::io::{self, Write};

use serde::Serialize;

/// An HTTP response.
#[derive(Debug)]
pub struct HttpResponse {
    status: u16,
    headers: Vec<(&'static str, String)>,
    body: Vec<u8>,
    /// Whether the response is sent without another call of `ServerHooks::before_transfer`.
    without_delay: bool,
}

impl HttpResponse {
    /// A response with this status code and an empty body.
    pub fn new(status: u16) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body: Vec::new(),
            without_delay: false,
        }
    }

    /// Sends the response without calling
    /// [`ServerHooks::before_transfer`](crate::ServerHooks::before_transfer) again, which may wait.
    pub fn without_delay(mut self) -> Self {
        self.without_delay = true;
        self
    }

    /// Whether [`ServerHooks::before_transfer`](crate::ServerHooks::before_transfer) is called before the
    /// response is sent.
    pub fn may_be_delayed(&self) -> bool {
        !self.without_delay
    }

    /// A response with a plain text body.
    pub fn text(status: u16, text: impl ToString) -> Self {
        let mut response = Self::new(status).with_header("Content-Type", "text/plain");
        response.body = text.to_string().into_bytes();
        response
    }

    /// A JSON response with status 200, or 500 with the error as text if the value can't be serialized.
    pub fn json(value: &impl Serialize) -> Self {
        match serde_json::to_vec(value) {
            Ok(body) => {
                let mut response = Self::new(200).with_header("Content-Type", "application/json");
                response.body = body;
                response
            }
            Err(error) => Self::text(500, error),
        }
    }

    /// A response with this body and content type.
    pub fn data(status: u16, content_type: &'static str, body: impl Into<Vec<u8>>) -> Self {
        let mut response = Self::new(status).with_header("Content-Type", content_type);
        response.body = body.into();
        response
    }

    /// Adds a header field; a field with the same name is kept.
    pub fn with_header(mut self, name: &'static str, value: impl ToString) -> Self {
        self.headers.push((name, value.to_string()));
        self
    }

    /// Body of the response.
    pub fn body(&self) -> &[u8] {
        &self.body
    }

    /// Encodes the response and sends it with a single write; `close` adds `Connection: close`.
    pub fn write(&self, stream: &mut impl Write, close: bool) -> io::Result<()> {
        let mut bytes = Vec::with_capacity(256 + self.body.len());
        write!(
            bytes,
            "HTTP/1.1 {} {}\r\n",
            self.status,
            reason_phrase(self.status)
        )?;
        for (name, value) in &self.headers {
            write!(bytes, "{name}: {value}\r\n")?;
        }
        if close {
            write!(bytes, "Connection: close\r\n")?;
        }
        write!(bytes, "Content-Length: {}\r\n\r\n", self.body.len())?;
        bytes.extend_from_slice(&self.body);
        stream.write_all(&bytes)?;
        stream.flush()
    }
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        204 => "No Content",
        400 => "Bad Request",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        409 => "Conflict",
        411 => "Length Required",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        503 => "Service Unavailable",
        _ => "Other",
    }
}
