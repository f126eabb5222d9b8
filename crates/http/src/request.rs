//! Reads questions.
//!
//! Invariant: a head over its bound, a body over its bound or a body of unstated length is refused
//! before it is read.

use std::io::{self, BufRead, Read, Write};

use serde::de::DeserializeOwned;

use crate::options::ServerOptions;

const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

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
    /// The head is over its bound.
    #[error("head over the bound")]
    HeadTooLarge,
    /// The body is over its bound.
    #[error("body over the bound")]
    BodyTooLarge,
    /// The body states no length, or one that is none.
    #[error("body without a Content-Length in bytes")]
    LengthRequired,
}

impl MessageError {
    /// Status of the answer; none when there is nobody to answer.
    pub fn status(&self) -> Option<u16> {
        match self {
            Self::Closed | Self::Io(_) => None,
            Self::Malformed => Some(400),
            Self::LengthRequired => Some(411),
            Self::BodyTooLarge => Some(413),
            Self::HeadTooLarge => Some(431),
        }
    }
}

/// One request.
#[derive(Debug)]
pub struct HttpRequest {
    /// HTTP method.
    pub method: String,
    /// Path without the query.
    pub path: String,
    query: String,
    headers: Vec<(String, String)>,
    keep_alive: bool,
    /// Body.
    pub body: Vec<u8>,
}

impl HttpRequest {
    /// Reads one request within the bounds; asks on `writer` for a body that waits to be asked for.
    ///
    /// # Errors
    /// [`MessageError`] when the peer closes, is too slow, or sends what is no request within bounds.
    pub fn read(
        reader: &mut impl BufRead,
        writer: &mut impl Write,
        options: &ServerOptions,
    ) -> Result<Self, MessageError> {
        let head = read_head(reader, options.maximum_head)?;
        let mut request = parse_head(&head, options.maximum_headers)?;
        let length = request.body_length()?;
        if length > options.maximum_body {
            return Err(MessageError::BodyTooLarge);
        }
        if request.header_equals("Expect", "100-continue") {
            writer.write_all(CONTINUE)?;
        }
        request.body = vec![0; length];
        reader.read_exact(&mut request.body)?;
        Ok(request)
    }

    fn body_length(&self) -> Result<usize, MessageError> {
        if self.header("Transfer-Encoding").is_some() {
            return Err(MessageError::LengthRequired);
        }
        let mut lengths = self.header_values("Content-Length");
        let first = lengths.next();
        if lengths.any(|other| Some(other) != first) {
            return Err(MessageError::Malformed);
        }
        match first {
            None => Ok(0),
            Some(text) => text.parse().map_err(|_| MessageError::LengthRequired),
        }
    }

    fn header_equals(&self, name: &str, value: &str) -> bool {
        let found = self.header(name);
        found.is_some_and(|found| found.trim().eq_ignore_ascii_case(value))
    }

    /// A header's first value; names are compared without case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.header_values(name).next()
    }

    fn header_values<'a, 'b>(
        &'a self,
        name: &'b str,
    ) -> impl Iterator<Item = &'a str> + use<'a, 'b> {
        let headers = self.headers.iter();
        headers
            .filter(move |(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// A parameter of the query.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let mut pairs = form_urlencoded::parse(self.query.as_bytes());
        pairs
            .find(|(key, _)| key == name)
            .map(|(_, value)| value.into_owned())
    }

    /// The query's parameter, parsed.
    pub fn parse_parameter<T: std::str::FromStr>(&self, name: &str) -> Option<T> {
        self.parameter(name)?.parse().ok()
    }

    /// The body as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, serde_json::Error> {
        serde_json::from_slice(&self.body)
    }

    /// Whether the peer wants the connection closed after the answer.
    pub fn wants_close(&self) -> bool {
        !self.keep_alive || self.header_equals("Connection", "close")
    }
}

fn read_head(reader: &mut impl BufRead, maximum: usize) -> Result<Vec<u8>, MessageError> {
    let mut head = Vec::new();
    let mut limited = reader.take(maximum as u64);
    loop {
        let before = head.len();
        limited.read_until(b'\n', &mut head)?;
        let (earlier, line) = head.split_at(before);
        if is_empty(line) && earlier.iter().any(|byte| !byte.is_ascii_whitespace()) {
            return Ok(head);
        }
        match (head.len(), line.is_empty()) {
            (0, _) => return Err(MessageError::Closed),
            (length, _) if length >= maximum => return Err(MessageError::HeadTooLarge),
            (_, true) => return Err(MessageError::Io(io::ErrorKind::UnexpectedEof.into())),
            (_, false) => {}
        }
    }
}

/// Whether a line has nothing but its end.
fn is_empty(line: &[u8]) -> bool {
    matches!(line, b"\r\n" | b"\n")
}

fn parse_head(head: &[u8], maximum_headers: usize) -> Result<HttpRequest, MessageError> {
    let mut headers = vec![httparse::EMPTY_HEADER; maximum_headers];
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
    Ok(HttpRequest {
        method: method.to_owned(),
        path: path.to_owned(),
        query: query.to_owned(),
        keep_alive: request.version == Some(1),
        headers: headers.collect::<Result<_, MessageError>>()?,
        body: Vec::new(),
    })
}
