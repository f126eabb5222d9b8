//! Parser of requests.

use super::body::{BodyError, BodyReader, Framing};
use super::fields::{Fields, MAX_FIELDS};
use super::message_body::Body;
use crate::memory::{MemoryAccount, MemoryCharge};

/// Limits on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// Largest head in bytes.
    pub head_bytes: usize,
    /// Largest body in bytes.
    pub body_bytes: u64,
}

/// A complete request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Method, in the spelling of the request.
    pub method: String,
    /// Path and query as they were sent.
    pub target: String,
    /// Header fields of the request.
    pub fields: Fields,
    /// Body without its transfer coding.
    pub body: Body,
    /// Whether the client keeps the connection open for another request.
    pub keeps_alive: bool,
}

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadRequest {
    /// The head is not valid HTTP/1.
    #[error("malformed head")]
    MalformedHead,
    /// The head is longer than the limit.
    #[error("head is over the limit")]
    HeadTooLong,
    /// The length of the body is stated more than once or in an unsupported way.
    #[error("ambiguous length")]
    AmbiguousLength,
    /// The body is rejected.
    #[error(transparent)]
    Body(#[from] BodyError),
}

impl BadRequest {
    /// Status code of the response to such a request.
    pub fn status(self) -> u16 {
        match self {
            Self::HeadTooLong => 431,
            Self::Body(BodyError::TooLong) => 413,
            _ => 400,
        }
    }

    /// Whether the request is longer than the limits allow.
    pub fn is_over_limit(self) -> bool {
        matches!(self, Self::HeadTooLong | Self::Body(BodyError::TooLong))
    }
}

/// Parser of the requests on one connection.
#[derive(Debug, Default)]
pub struct RequestReader {
    partial: Option<(Request, BodyReader)>,
    continue_reported: bool,
    account: MemoryAccount,
}

impl RequestReader {
    /// A reader whose requests are charged to an account, until they are dropped.
    pub fn new(account: MemoryAccount) -> Self {
        Self {
            account,
            ..Self::default()
        }
    }

    /// Removes the next complete request from the buffer; `None` while it is incomplete.
    ///
    /// # Errors
    /// The request is rejected; the connection is unusable.
    pub fn take(
        &mut self,
        buffer: &mut Vec<u8>,
        limits: RequestLimits,
    ) -> Result<Option<Request>, BadRequest> {
        if self.partial.is_none() {
            self.partial = take_head(buffer, limits, &self.account)?;
        }
        let Some((_, body)) = &mut self.partial else {
            return Ok(None);
        };
        if !body.take(buffer)? {
            return Ok(None);
        }
        self.continue_reported = false;
        Ok(self.partial.take().map(|(mut request, body)| {
            request.body = body.finish();
            request
        }))
    }

    /// Bytes that are charged for an incomplete request, with the part that has not come if its length is known.
    pub fn charged_bytes(&self) -> usize {
        let partial = self.partial.as_ref();
        partial.map_or(0, |(_, body)| body.charged_bytes())
    }

    /// Drops a request that was read in part.
    pub fn abandon(&mut self) {
        self.partial = None;
    }

    /// Whether a request was read in part.
    pub fn is_partial(&self) -> bool {
        self.partial.is_some()
    }

    /// Whether the client waits for `100 Continue` before it sends the body; true at most once per request.
    pub fn wants_continue(&mut self) -> bool {
        let waits = self
            .partial
            .as_ref()
            .is_some_and(|(request, _)| request.fields.has_token("expect", "100-continue"));
        waits && !std::mem::replace(&mut self.continue_reported, true)
    }
}

fn take_head(
    buffer: &mut Vec<u8>,
    limits: RequestLimits,
    account: &MemoryAccount,
) -> Result<Option<(Request, BodyReader)>, BadRequest> {
    if buffer.is_empty() {
        return Ok(None);
    }
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
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
        body: Body::default(),
        keeps_alive,
    };
    buffer.drain(..length);
    let charge = MemoryCharge::new(account.clone());
    let body = BodyReader::new(framing, limits.body_bytes, charge, length);
    Ok(Some((request, body)))
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

/// The length in `Content-Length`; `None` without that field.
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
