//! Heads of requests and answers: parsing, framing of the body, writing.
//!
//! Invariant: a head whose body's length is ambiguous is refused, so two programs never disagree
//! about where a message ends.

use super::connection::HttpError;

/// Most header lines of one head.
const MAXIMUM_HEADERS: usize = 64;

/// Headers that concern one connection only and are never passed on.
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

/// Header lines in the order they came.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(Vec<(String, Vec<u8>)>);

impl Headers {
    /// The first value of a header as text; `None` when absent or not ASCII text.
    pub fn text(&self, name: &str) -> Option<&str> {
        let fits = |known: &str| known.eq_ignore_ascii_case(name);
        let (_, value) = self.0.iter().find(|(known, _)| fits(known))?;
        std::str::from_utf8(value).ok()
    }

    /// Every value of a header.
    pub fn values<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        let fits = move |known: &str| known.eq_ignore_ascii_case(name);
        self.0
            .iter()
            .filter(move |(known, _)| fits(known))
            .map(|(_, value)| value.as_slice())
    }

    /// Headers that are passed on: neither of one connection nor of grebepin.
    pub fn passed_on(&self) -> impl Iterator<Item = (&str, &[u8])> {
        let named = self.values("connection").next().is_some();
        let kept = move |name: &str| {
            if named && self.has_token("connection", name) {
                return false;
            }
            let own = name.len() >= 9 && name.as_bytes()[..9].eq_ignore_ascii_case(b"grebepin-");
            !own && !CONNECTION_HEADERS
                .iter()
                .any(|known| name.eq_ignore_ascii_case(known))
        };
        self.0
            .iter()
            .filter(move |(name, _)| kept(name))
            .map(|(name, value)| (name.as_str(), value.as_slice()))
    }

    fn copied(headers: &[httparse::Header<'_>]) -> Self {
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

    /// `Ok(None)` when no length is stated.
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

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyLength {
    /// This many bytes.
    Known(u64),
    /// Chunks, the last one empty.
    Chunked,
    /// All bytes until the peer closes; answers only.
    UntilClose,
}

/// Head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// Method, such as `GET`.
    pub method: String,
    /// Path with query.
    pub target: String,
    /// Header lines.
    pub headers: Headers,
    /// Length of the body.
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
    /// Header lines.
    pub headers: Headers,
    /// Length of the body.
    pub body: BodyLength,
    /// Whether the connection stays open after the body.
    pub keep_alive: bool,
}

impl RequestHead {
    /// Parses a head at the start of `bytes`; with its length in bytes. `Ok(None)` when it isn't whole.
    pub fn parse(bytes: &[u8]) -> Result<Option<(Self, usize)>, HttpError> {
        let mut lines = [httparse::EMPTY_HEADER; MAXIMUM_HEADERS];
        let mut request = httparse::Request::new(&mut lines);
        let length = match request.parse(bytes) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(HttpError::Malformed),
        };
        let headers = Headers::copied(request.headers);
        let body = headers.body_length()?.unwrap_or(BodyLength::Known(0));
        let head = Self {
            method: request.method.unwrap_or_default().to_string(),
            target: request.path.unwrap_or_default().to_string(),
            keep_alive: keeps_alive(request.version, &headers),
            expects_continue: headers.has_token("expect", "100-continue"),
            headers,
            body,
        };
        Ok(Some((head, length)))
    }
}

impl ResponseHead {
    /// Parses a head at the start of `bytes`, of an answer to a request with `method`; with its length
    /// in bytes. `Ok(None)` when it isn't whole.
    pub fn parse(bytes: &[u8], method: &str) -> Result<Option<(Self, usize)>, HttpError> {
        let mut lines = [httparse::EMPTY_HEADER; MAXIMUM_HEADERS];
        let mut response = httparse::Response::new(&mut lines);
        let length = match response.parse(bytes) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(HttpError::Malformed),
        };
        let status = response.code.unwrap_or_default();
        let headers = Headers::copied(response.headers);
        let stated = headers.body_length()?.unwrap_or(BodyLength::UntilClose);
        let without_body = method == "HEAD" || status < 200 || status == 204 || status == 304;
        let body = if without_body {
            BodyLength::Known(0)
        } else {
            stated
        };
        let head = Self {
            status,
            keep_alive: keeps_alive(response.version, &headers) && body != BodyLength::UntilClose,
            headers,
            body,
        };
        Ok(Some((head, length)))
    }
}

fn keeps_alive(version: Option<u8>, headers: &Headers) -> bool {
    match version {
        Some(1) => !headers.has_token("connection", "close"),
        _ => headers.has_token("connection", "keep-alive"),
    }
}

/// Adds one header line to a head that is being written.
pub fn put_header(head: &mut Vec<u8>, name: &str, value: &[u8]) {
    head.extend_from_slice(name.as_bytes());
    head.extend_from_slice(b": ");
    head.extend_from_slice(value);
    head.extend_from_slice(b"\r\n");
}
