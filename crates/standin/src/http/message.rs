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
pub(crate) enum MessageError {
    #[error("connection closed")]
    Closed,
    #[error("connection failed: {0}")]
    Io(#[from] io::Error),
    #[error("malformed message")]
    Malformed,
    #[error("message over the bound")]
    TooLarge,
    #[error("body without Content-Length")]
    LengthRequired,
}

/// One request.
#[derive(Debug)]
pub(crate) struct Question {
    pub(crate) method: String,
    /// Path without the query.
    pub(crate) path: String,
    query: String,
    headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
}

impl Question {
    /// Reads one request of at most `maximum_body` bytes of body.
    pub(crate) fn read(
        reader: &mut impl BufRead,
        maximum_body: usize,
    ) -> Result<Self, MessageError> {
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

    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub(crate) fn parameter(&self, name: &str) -> Option<String> {
        let mut pairs = form_urlencoded::parse(self.query.as_bytes());
        pairs
            .find(|(key, _)| key == name)
            .map(|(_, value)| value.into_owned())
    }

    /// The query's parameter, parsed.
    pub(crate) fn parsed<T: std::str::FromStr>(&self, name: &str) -> Option<T> {
        self.parameter(name)?.parse().ok()
    }

    pub(crate) fn json<T: DeserializeOwned>(&self) -> Result<T, serde_json::Error> {
        serde_json::from_slice(&self.body)
    }

    pub(crate) fn wants_close(&self) -> bool {
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
pub(crate) struct Answer {
    status: u16,
    headers: Vec<(&'static str, String)>,
    body: Vec<u8>,
    /// Leaves also while transfers are held back.
    at_once: bool,
}

impl Answer {
    pub(crate) fn new(status: u16) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body: Vec::new(),
            at_once: false,
        }
    }

    /// Lets the answer leave also while transfers are held back.
    pub(crate) fn at_once(mut self) -> Self {
        self.at_once = true;
        self
    }

    pub(crate) fn waits(&self) -> bool {
        !self.at_once
    }

    pub(crate) fn text(status: u16, text: impl ToString) -> Self {
        let mut answer = Self::new(status).with("Content-Type", "text/plain");
        answer.body = text.to_string().into_bytes();
        answer
    }

    pub(crate) fn json(value: &impl Serialize) -> Self {
        match serde_json::to_vec(value) {
            Ok(body) => {
                let mut answer = Self::new(200).with("Content-Type", "application/json");
                answer.body = body;
                answer
            }
            Err(error) => Self::text(500, error),
        }
    }

    pub(crate) fn with(mut self, name: &'static str, value: impl ToString) -> Self {
        self.headers.push((name, value.to_string()));
        self
    }

    /// Writes the answer in one go.
    pub(crate) fn write(&self, stream: &mut impl Write, close: bool) -> io::Result<()> {
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
