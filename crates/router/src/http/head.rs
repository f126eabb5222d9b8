//! Request and answer heads: parsing, body framing and writing.
//!
//! Invariant: a head with an ambiguous body length is refused, so that the router and its peers never
//! disagree on where a message ends.

use super::connection::HttpError;

/// Maximum number of header lines in one head.
const MAX_HEADERS: usize = 64;

/// Smallest status code (RFC 9110, section 15). One below it is not an interim answer that another follows.
const MIN_STATUS: u16 = 100;

/// Headers that concern a single connection and are never forwarded.
const CONNECTION_HEADERS: [&str; 9] = [
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Header lines in the order of arrival.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(Vec<(String, Vec<u8>)>);

impl Headers {
    /// First value of a header as text; `None` if it is absent or not valid UTF-8.
    pub fn text(&self, name: &str) -> Option<&str> {
        let matches = |known: &str| known.eq_ignore_ascii_case(name);
        let (_, value) = self.0.iter().find(|(known, _)| matches(known))?;
        std::str::from_utf8(value).ok()
    }

    /// All values of a header; the name is compared case-insensitively.
    pub fn values<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        let matches = move |known: &str| known.eq_ignore_ascii_case(name);
        self.0
            .iter()
            .filter(move |(known, _)| matches(known))
            .map(|(_, value)| value.as_slice())
    }

    /// Headers to forward: neither connection headers nor `Grebepin-` headers.
    pub fn forwarded(&self) -> impl Iterator<Item = (&str, &[u8])> {
        let lists_connection_headers = self.values("connection").next().is_some();
        let is_forwarded = move |name: &str| {
            if lists_connection_headers && self.has_token("connection", name) {
                return false;
            }
            let is_grebepin_header =
                name.len() >= 9 && name.as_bytes()[..9].eq_ignore_ascii_case(b"grebepin-");
            !is_grebepin_header
                && !CONNECTION_HEADERS
                    .iter()
                    .any(|known| name.eq_ignore_ascii_case(known))
        };
        self.0
            .iter()
            .filter(move |(name, _)| is_forwarded(name))
            .map(|(name, value)| (name.as_str(), value.as_slice()))
    }

    fn from_parsed(headers: &[httparse::Header<'_>]) -> Self {
        let copy = |header: &httparse::Header<'_>| (header.name.to_string(), header.value.to_vec());
        Self(headers.iter().map(copy).collect())
    }

    fn has_token(&self, name: &str, token: &str) -> bool {
        self.values(name).any(|value| {
            value
                .split(|byte| *byte == b',')
                .any(|part| part.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
        })
    }

    /// `Ok(None)` if the head gives no body length.
    fn body_length(&self) -> Result<Option<BodyLength>, HttpError> {
        let mut lengths = self.values("content-length");
        let length = lengths.next();
        if lengths.next().is_some() {
            return Err(HttpError::Malformed);
        }
        let mut encodings = self.values("transfer-encoding");
        let encoding = encodings.next();
        match (length, encoding) {
            (None, None) => Ok(None),
            (Some(text), None) => Ok(Some(BodyLength::Known(parse_length(text)?))),
            (None, Some(b"chunked")) if encodings.next().is_none() => Ok(Some(BodyLength::Chunked)),
            _ => Err(HttpError::Malformed),
        }
    }
}

fn parse_length(text: &[u8]) -> Result<u64, HttpError> {
    let digits = !text.is_empty() && text.iter().all(u8::is_ascii_digit);
    let parsed = std::str::from_utf8(text)
        .ok()
        .and_then(|text| text.parse().ok());
    parsed.filter(|_| digits).ok_or(HttpError::Malformed)
}

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyLength {
    /// Fixed number of bytes, from `Content-Length`.
    Known(u64),
    /// Chunked transfer encoding, up to the empty chunk.
    Chunked,
    /// All bytes until the peer closes the connection; answers only.
    UntilClose,
}

/// Head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// Method, such as `GET`.
    pub method: String,
    /// Request target: path with query.
    pub target: String,
    /// All header lines, including those of the connection.
    pub headers: Headers,
    /// How the end of the body is determined.
    pub body: BodyLength,
    /// Whether the connection stays open after the answer.
    pub keep_alive: bool,
    /// Whether the peer waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
}

/// Head of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// Status, such as 200.
    pub status: u16,
    /// All header lines, including those of the connection.
    pub headers: Headers,
    /// How the end of the body is determined; known to be empty where the protocol forbids a body.
    pub body: BodyLength,
    /// Whether the connection stays open after the body.
    pub keep_alive: bool,
}

impl RequestHead {
    /// Parses a head at the start of `bytes` and returns it with its length. `Ok(None)` if it is incomplete.
    pub fn parse(bytes: &[u8]) -> Result<Option<(Self, usize)>, HttpError> {
        let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut lines);
        let length = match request.parse(bytes) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(HttpError::Malformed),
        };
        let headers = Headers::from_parsed(request.headers);
        let body = headers.body_length()?.unwrap_or(BodyLength::Known(0));
        let head = Self {
            method: request.method.unwrap_or_default().to_string(),
            target: request.path.unwrap_or_default().to_string(),
            keep_alive: is_persistent(request.version, &headers),
            expects_continue: headers.has_token("expect", "100-continue"),
            headers,
            body,
        };
        Ok(Some((head, length)))
    }
}

impl ResponseHead {
    /// Parses the head of an answer to a request with `method` at the start of `bytes` and returns it with
    /// its length. `Ok(None)` if it is incomplete.
    pub fn parse(bytes: &[u8], method: &str) -> Result<Option<(Self, usize)>, HttpError> {
        let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut lines);
        let length = match response.parse(bytes) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(HttpError::Malformed),
        };
        let status = response.code.unwrap_or_default();
        if status < MIN_STATUS {
            return Err(HttpError::Malformed);
        }
        let headers = Headers::from_parsed(response.headers);
        let declared_length = headers.body_length()?.unwrap_or(BodyLength::UntilClose);
        let without_body = method == "HEAD" || status < 200 || status == 204 || status == 304;
        let body = if without_body {
            BodyLength::Known(0)
        } else {
            declared_length
        };
        let head = Self {
            status,
            keep_alive: is_persistent(response.version, &headers) && body != BodyLength::UntilClose,
            headers,
            body,
        };
        Ok(Some((head, length)))
    }
}

fn is_persistent(version: Option<u8>, headers: &Headers) -> bool {
    match version {
        Some(1) => !headers.has_token("connection", "close"),
        _ => headers.has_token("connection", "keep-alive"),
    }
}

/// Appends one header line to a head.
pub fn put_header(head: &mut Vec<u8>, name: &str, value: &[u8]) {
    head.extend_from_slice(name.as_bytes());
    head.extend_from_slice(b": ");
    head.extend_from_slice(value);
    head.extend_from_slice(b"\r\n");
}
