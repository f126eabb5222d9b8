//! Requests and their parsing.
//!
//! Invariant: a head or body over its limit, or a body of unknown length, is rejected before it is read.

use std::io::{self, BufRead, Read, Write};

use serde::de::DeserializeOwned;

use crate::options::ServerOptions;

const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Reason why no request could be read.
#[derive(Debug, thiserror::Error)]
pub enum MessageError {
    /// The peer closed the connection before sending a request.
    #[error("connection closed")]
    Closed,
    /// Reading or writing failed, or timed out.
    #[error("connection failed: {0}")]
    Io(#[from] io::Error),
    /// The bytes are not a valid request.
    #[error("malformed message")]
    Malformed,
    /// The head exceeds [`ServerOptions::maximum_head`].
    #[error("head over the bound")]
    HeadTooLarge,
    /// The body exceeds [`ServerOptions::maximum_body`].
    #[error("body over the bound")]
    BodyTooLarge,
    /// The `Content-Length` is not a number of bytes, or the body has a transfer encoding.
    #[error("body without a Content-Length in bytes")]
    LengthRequired,
}

impl MessageError {
    /// Status code of the response; `None` if the connection can't carry one.
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

/// An HTTP request.
#[derive(Debug)]
pub struct HttpRequest {
    /// Method in the request line, such as `GET`.
    pub method: String,
    /// Path of the request target, without the query; not percent-decoded.
    pub path: String,
    query: String,
    headers: Vec<(String, String)>,
    keep_alive: bool,
    /// Body of the request; empty if there is none.
    pub body: Vec<u8>,
}

impl HttpRequest {
    /// Reads one request within the limits. Sends `100 Continue` on `writer` if the peer waits for it before
    /// it sends the body.
    ///
    /// # Errors
    /// [`MessageError`] if the peer closes the connection, is too slow, or sends an invalid or too large
    /// request.
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

    /// First value of a header field; names are compared case-insensitively.
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

    /// Decoded value of the first query parameter with this name.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let mut pairs = form_urlencoded::parse(self.query.as_bytes());
        pairs
            .find(|(key, _)| key == name)
            .map(|(_, value)| value.into_owned())
    }

    /// Query parameter with this name, parsed; `None` if it is absent or can't be parsed.
    pub fn parse_parameter<T: std::str::FromStr>(&self, name: &str) -> Option<T> {
        self.parameter(name)?.parse().ok()
    }

    /// Parses the body as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, serde_json::Error> {
        serde_json::from_slice(&self.body)
    }

    /// Whether the connection must be closed after the response: the request is older than HTTP/1.1 or has
    /// `Connection: close`.
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

/// Whether a line consists of its line end only.
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
