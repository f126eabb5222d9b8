//! Requests as a server reads them.

use super::body::{BodyError, BodyReader, Framing};
use super::fields::{Fields, MAXIMUM_FIELDS};

/// Bounds on one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// Bytes of its head.
    pub head_bytes: usize,
    /// Bytes of its body.
    pub body_bytes: u64,
}

/// One whole request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Method.
    pub method: String,
    /// Path and query, as they were sent.
    pub target: String,
    /// Header fields.
    pub fields: Fields,
    /// Body, without its framing.
    pub body: Vec<u8>,
    /// Whether the client keeps the connection for a next request.
    pub keeps_alive: bool,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadRequest {
    /// The head does not read as HTTP/1.
    #[error("malformed head")]
    MalformedHead,
    /// The head is longer than the limit.
    #[error("head is over the limit")]
    HeadTooLong,
    /// The length of the body is stated in no way, or in two.
    #[error("ambiguous length")]
    AmbiguousLength,
    /// The body is of no use.
    #[error(transparent)]
    Body(#[from] BodyError),
}

impl BadRequest {
    /// Status that tells the client.
    pub fn status(self) -> u16 {
        match self {
            Self::HeadTooLong => 431,
            Self::Body(BodyError::TooLong) => 413,
            _ => 400,
        }
    }
}

/// Reads the requests of one connection.
#[derive(Debug, Default)]
pub struct RequestReader {
    begun: Option<(Request, BodyReader)>,
    asked_to_continue: bool,
}

impl RequestReader {
    /// Takes the next whole request out of the buffer; `None` while it is incomplete.
    ///
    /// # Errors
    /// The request is refused; the connection is of no further use.
    pub fn take(
        &mut self,
        buffer: &mut Vec<u8>,
        limits: RequestLimits,
    ) -> Result<Option<Request>, BadRequest> {
        if self.begun.is_none() {
            self.begun = take_head(buffer, limits)?;
        }
        let Some((_, body)) = &mut self.begun else {
            return Ok(None);
        };
        if !body.take(buffer)? {
            return Ok(None);
        }
        self.asked_to_continue = false;
        Ok(self.begun.take().map(|(mut request, body)| {
            request.body = body.body;
            request
        }))
    }

    /// Whether some of a request has been read, and not all.
    pub fn is_within(&self) -> bool {
        self.begun.is_some()
    }

    /// Whether the client waits to be told to send the body; true once for each request.
    pub fn wants_continue(&mut self) -> bool {
        let waits = self
            .begun
            .as_ref()
            .is_some_and(|(request, _)| request.fields.has_token("expect", "100-continue"));
        waits && !std::mem::replace(&mut self.asked_to_continue, true)
    }
}

fn take_head(
    buffer: &mut Vec<u8>,
    limits: RequestLimits,
) -> Result<Option<(Request, BodyReader)>, BadRequest> {
    if buffer.is_empty() {
        return Ok(None);
    }
    let mut fields = [httparse::EMPTY_HEADER; MAXIMUM_FIELDS];
    let mut parsed = httparse::Request::new(&mut fields);
    let status = match parsed.parse(buffer) {
        Ok(status) => status,
        Err(httparse::Error::TooManyHeaders) => return Err(BadRequest::HeadTooLong),
        Err(_) => return Err(BadRequest::MalformedHead),
    };
    let length = match status {
        httparse::Status::Complete(length) if length <= limits.head_bytes => length,
        httparse::Status::Partial if buffer.len() <= limits.head_bytes => return Ok(None),
        _ => return Err(BadRequest::HeadTooLong),
    };
    let fields = Fields::from_parsed(parsed.headers);
    let framing = framing(&fields)?;
    let is_latest = parsed.version == Some(1);
    let keeps_alive = match is_latest {
        true => !fields.has_token("connection", "close"),
        false => fields.has_token("connection", "keep-alive"),
    };
    let request = Request {
        method: parsed.method.unwrap_or_default().to_owned(),
        target: parsed.path.unwrap_or_default().to_owned(),
        fields,
        body: Vec::new(),
        keeps_alive,
    };
    buffer.drain(..length);
    Ok(Some((request, BodyReader::new(framing, limits.body_bytes))))
}

fn framing(fields: &Fields) -> Result<Framing, BadRequest> {
    let codings = fields.all("transfer-encoding").count();
    let length = stated_length(fields)?;
    match (codings, length) {
        (0, length) => Ok(Framing::Length(length.unwrap_or(0))),
        (1, None) if fields.get("transfer-encoding").is_some_and(is_chunked) => {
            Ok(Framing::Chunked)
        }
        _ => Err(BadRequest::AmbiguousLength),
    }
}

fn is_chunked(coding: &str) -> bool {
    coding.eq_ignore_ascii_case("chunked")
}

/// The one length that the fields state; `None` when they state none.
pub(super) fn stated_length(fields: &Fields) -> Result<Option<u64>, BadRequest> {
    let mut stated = None;
    for value in fields.all("content-length") {
        let text = std::str::from_utf8(value).map_err(|_| BadRequest::AmbiguousLength)?;
        let text = text.trim();
        let all_digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
        if !all_digits || stated.is_some() {
            return Err(BadRequest::AmbiguousLength);
        }
        stated = Some(text.parse().map_err(|_| BadRequest::AmbiguousLength)?);
    }
    Ok(stated)
}
