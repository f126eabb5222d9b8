//! Writes answers.
//!
//! Invariant: an answer leaves whole, with its length.

use std::io::{self, Write};

use serde::Serialize;

/// One response.
#[derive(Debug)]
pub struct Answer {
    status: u16,
    headers: Vec<(&'static str, String)>,
    body: Vec<u8>,
    /// Leaves also while transfers are held back.
    at_once: bool,
}

impl Answer {
    /// An empty answer with this status.
    pub fn new(status: u16) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body: Vec::new(),
            at_once: false,
        }
    }

    /// Lets the answer leave also while transfers are held back.
    pub fn at_once(mut self) -> Self {
        self.at_once = true;
        self
    }

    /// Whether the answer waits while transfers are held back.
    pub fn waits(&self) -> bool {
        !self.at_once
    }

    /// An answer of plain text.
    pub fn text(status: u16, text: impl ToString) -> Self {
        let mut answer = Self::new(status).with("Content-Type", "text/plain");
        answer.body = text.to_string().into_bytes();
        answer
    }

    /// An answer of JSON with status 200.
    pub fn json(value: &impl Serialize) -> Self {
        match serde_json::to_vec(value) {
            Ok(body) => {
                let mut answer = Self::new(200).with("Content-Type", "application/json");
                answer.body = body;
                answer
            }
            Err(error) => Self::text(500, error),
        }
    }

    /// An answer of these bytes.
    pub fn data(status: u16, content_type: &'static str, body: impl Into<Vec<u8>>) -> Self {
        let mut answer = Self::new(status).with("Content-Type", content_type);
        answer.body = body.into();
        answer
    }

    /// The answer with one more header.
    pub fn with(mut self, name: &'static str, value: impl ToString) -> Self {
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
            reason(self.status)
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

fn reason(status: u16) -> &'static str {
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
