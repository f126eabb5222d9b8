//! Writes answers.
//!
//! Invariant: an answer leaves whole, with its length.

use std::io::{self, Write};

use serde::Serialize;

/// One response.
#[derive(Debug)]
pub struct HttpResponse {
    status: u16,
    headers: Vec<(&'static str, String)>,
    body: Vec<u8>,
    /// Leaves also while transfers are held back.
    without_delay: bool,
}

impl HttpResponse {
    /// An empty answer with this status.
    pub fn new(status: u16) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body: Vec::new(),
            without_delay: false,
        }
    }

    /// Lets the answer leave also while transfers are held back.
    pub fn without_delay(mut self) -> Self {
        self.without_delay = true;
        self
    }

    /// Whether the answer waits while transfers are held back.
    pub fn may_be_delayed(&self) -> bool {
        !self.without_delay
    }

    /// An answer of plain text.
    pub fn text(status: u16, text: impl ToString) -> Self {
        let mut response = Self::new(status).with_header("Content-Type", "text/plain");
        response.body = text.to_string().into_bytes();
        response
    }

    /// An answer of JSON with status 200.
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

    /// An answer of these bytes.
    pub fn data(status: u16, content_type: &'static str, body: impl Into<Vec<u8>>) -> Self {
        let mut response = Self::new(status).with_header("Content-Type", content_type);
        response.body = body.into();
        response
    }

    /// The answer with one more header.
    pub fn with_header(mut self, name: &'static str, value: impl ToString) -> Self {
        self.headers.push((name, value.to_string()));
        self
    }

    /// The body.
    pub fn body(&self) -> &[u8] {
        &self.body
    }

    /// Writes the answer in one go.
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
