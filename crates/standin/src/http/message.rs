//! Reads questions and writes answers.
//!
//! Invariant: a head over its bound, a body over its bound or a body of unstated length is refused
//! before it is read.

use std::io::{self, BufRead, Read, Write};

use serde::de::DeserializeOwned;
use serde::Serialize;

const MAXIMUM_HEAD_BYTES: usize = 32 << 10;
const MAXIMUM_HEADERS: usize = 100;

/// Why a question can't be read.
#[derive(Debug, thiserror::Error)]
pub enum MessageError {
    /// The peer closed before a question.
    #[error("connection closed")]
    Closed,
    /// The connection failed.
    #[error("connection failed: {0}")]
    Io(#[from] io::Error),
    /// The bytes are no request.
    #[error("malformed message")]
    Malformed,
    /// The head or the body is over its bound.
    #[error("message over the bound")]
    TooLarge,
    /// The body states no length.
    #[error("body without Content-Length")]
    LengthRequired,
}

/// One request.
#[derive(Debug)]
pub struct Question {
    /// HTTP method.
    pub method: String,
    /// Path without the query.
    pub path: String,
    query: String,
    headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

impl Question {
    /// Reads one request of at most `maximum_body` bytes of body.
    pub fn read(reader: &mut impl BufRead, maximum_body: usize) -> Result<Self, MessageError> {
        let head = read_head(reader)?;
        let mut question = parse_head(&head)?;
        if question.header("Transfer-Encoding").is_some() {
            return Err(MessageError::LengthRequired);
        }
        let length = match question.header("Content-Length") {
            None => 0,
            Some(text) => text.parse().map_err(|_| MessageError::Malformed)?,
        };
        if length > maximum_body {
            return Err(MessageError::TooLarge);
        }
        question.body = vec![0; length];
        reader.read_exact(&mut question.body)?;
        Ok(question)
    }

    /// A header's value; names are compared without case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// A parameter of the query.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let mut pairs = form_urlencoded::parse(self.query.as_bytes());
        pairs
            .find(|(key, _)| key == name)
            .map(|(_, value)| value.into_owned())
    }

    /// The query's parameter, parsed.
    pub fn parsed<T: std::str::FromStr>(&self, name: &str) -> Option<T> {
        self.parameter(name)?.parse().ok()
    }

    /// The body as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, serde_json::Error> {
        serde_json::from_slice(&self.body)
    }

    /// Whether the peer wants the connection closed after the answer.
    pub fn wants_close(&self) -> bool {
        self.header("Connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

fn read_head(reader: &mut impl BufRead) -> Result<Vec<u8>, MessageError> {
    let mut head = Vec::new();
    let mut limited = reader.take(MAXIMUM_HEAD_BYTES as u64);
    loop {
        let before = head.len();
        limited.read_until(b'\n', &mut head)?;
        if head.is_empty() {
            return Err(MessageError::Closed);
        }
        if head.len() >= MAXIMUM_HEAD_BYTES {
            return Err(MessageError::TooLarge);
        }
        if head.len() == before {
            return Err(MessageError::Malformed);
        }
        if head.ends_with(b"\r\n\r\n") {
            return Ok(head);
        }
    }
}

fn parse_head(head: &[u8]) -> Result<Question, MessageError> {
    let mut headers = [httparse::EMPTY_HEADER; MAXIMUM_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let parsed = request.parse(head).map_err(|_| MessageError::Malformed)?;
    let (Some(method), Some(target), true) = (request.method, request.path, parsed.is_complete())
    else {
        return Err(MessageError::Malformed);
    };
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let headers = request.headers.iter().map(|header| {
        let value = std::str::from_utf8(header.value).map_err(|_| MessageError::Malformed)?;
        Ok((header.name.to_owned(), value.to_owned()))
    });
    Ok(Question {
        method: method.to_owned(),
        path: path.to_owned(),
        query: query.to_owned(),
        headers: headers.collect::<Result<_, MessageError>>()?,
        body: Vec::new(),
    })
}

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
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        411 => "Length Required",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        503 => "Service Unavailable",
        _ => "Other",
    }
}
