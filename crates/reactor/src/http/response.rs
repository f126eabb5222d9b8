//! Parser of responses.

use super::body::{BodyError, BodyReader, Framing};
use super::fields::{Fields, MAX_FIELDS};
use super::message_body::Body;
use super::request::stated_length;
use crate::memory::{MemoryAccount, MemoryCharge};

/// Largest head of a response in bytes. A head without an end is rejected once more bytes than that are buffered.
pub const MAX_RESPONSE_HEAD_BYTES: usize = 64 << 10;

/// Largest number of interim responses before a response. A server that sends them without end keeps its caller busy and
/// never answers.
const MAX_INTERIM_RESPONSES: u32 = 32;

/// Smallest status code.
const MIN_STATUS: u16 = 100;

/// A complete response.
#[derive(Clone, Debug)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Header fields of the response.
    pub fields: Fields,
    /// Body without its transfer coding.
    pub body: Body,
    /// Whether the server keeps the connection open for another request.
    pub keeps_alive: bool,
}

/// Why a response is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadResponse {
    /// The head is not valid HTTP/1.
    #[error("malformed head")]
    MalformedHead,
    /// The status code is below 100, so that no client could read the response (RFC 9110, section 15).
    #[error("status code is below 100")]
    InvalidStatus,
    /// The length of the body is stated more than once or in an unsupported way.
    #[error("ambiguous length")]
    AmbiguousLength,
    /// More interim responses came than a server has reason to send.
    #[error("too many interim responses")]
    TooManyInterim,
    /// The connection was closed before the response was complete.
    #[error("answer was cut off")]
    CutOff,
    /// The body is rejected.
    #[error(transparent)]
    Body(#[from] BodyError),
}

/// Parser of the responses on one connection.
#[derive(Debug, Default)]
pub struct ResponseReader {
    partial: Option<(Response, BodyReader)>,
    /// Number of interim responses since the last response.
    interim: u32,
    account: MemoryAccount,
}

impl ResponseReader {
    /// A reader whose responses are charged to an account, until they are dropped.
    pub fn new(account: MemoryAccount) -> Self {
        Self {
            account,
            ..Self::default()
        }
    }

    /// Removes the next complete response from the buffer; `None` while it is incomplete. `has_body` is false
    /// for the response to a request whose method has none.
    ///
    /// # Errors
    /// The response is rejected; the connection is unusable.
    pub fn take(
        &mut self,
        buffer: &mut Vec<u8>,
        has_body: bool,
        limit: u64,
    ) -> Result<Option<Response>, BadResponse> {
        while self.partial.is_none() {
            match take_head(buffer, has_body, limit, &self.account)? {
                None => return Ok(None),
                // An interim response says nothing about the outcome of the request.
                Some((head, _)) if (100..200).contains(&head.status) => {
                    self.interim += 1;
                    if self.interim > MAX_INTERIM_RESPONSES {
                        return Err(BadResponse::TooManyInterim);
                    }
                }
                head => self.partial = head,
            }
        }
        let Some((_, body)) = &mut self.partial else {
            return Ok(None);
        };
        match body.take(buffer)? {
            true => Ok(self.finish()),
            false => Ok(None),
        }
    }

    /// Handles an orderly close of the connection. Returns the response that is delimited by it, if one was
    /// being read.
    ///
    /// # Errors
    /// The connection was closed before the response was complete.
    pub fn end(&mut self, rest: &[u8]) -> Result<Option<Response>, BadResponse> {
        match &self.partial {
            Some((_, body)) if body.ends_with_connection() => Ok(self.finish()),
            Some(_) => Err(BadResponse::CutOff),
            None if !rest.is_empty() => Err(BadResponse::CutOff),
            None => Ok(None),
        }
    }

    /// Bytes that are charged for an incomplete response, with the part that has not come if its length is known.
    pub fn charged_bytes(&self) -> usize {
        let partial = self.partial.as_ref();
        partial.map_or(0, |(_, body)| body.charged_bytes())
    }

    /// Whether the head of a response was read and its body is incomplete.
    pub fn is_partial(&self) -> bool {
        self.partial.is_some()
    }

    fn finish(&mut self) -> Option<Response> {
        self.interim = 0;
        self.partial.take().map(|(mut response, body)| {
            if body.ends_with_connection() {
                response.keeps_alive = false;
            }
            response.body = body.finish();
            response
        })
    }
}

fn take_head(
    buffer: &mut Vec<u8>,
    has_body: bool,
    limit: u64,
    account: &MemoryAccount,
) -> Result<Option<(Response, BodyReader)>, BadResponse> {
    if buffer.is_empty() {
        return Ok(None);
    }
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut parsed = httparse::Response::new(&mut fields);
    let status = parsed
        .parse(buffer)
        .map_err(|_| BadResponse::MalformedHead)?;
    let length = match status {
        httparse::Status::Complete(length) => length,
        httparse::Status::Partial if buffer.len() <= MAX_RESPONSE_HEAD_BYTES => return Ok(None),
        httparse::Status::Partial => return Err(BadResponse::MalformedHead),
    };
    let fields = Fields::from_parsed(parsed.headers);
    let code = parsed.code.unwrap_or_default();
    if code < MIN_STATUS {
        return Err(BadResponse::InvalidStatus);
    }
    let bodiless = !has_body || code == 204 || code == 304 || (100..200).contains(&code);
    let framing = match bodiless {
        true => Framing::Length(0),
        false => framing(&fields)?,
    };
    let keeps_alive = match parsed.version {
        Some(1) => !fields.has_token("connection", "close"),
        _ => fields.has_token("connection", "keep-alive"),
    };
    let response = Response {
        status: code,
        fields,
        body: Body::default(),
        keeps_alive,
    };
    buffer.drain(..length);
    let charge = MemoryCharge::new(account.clone());
    Ok(Some((
        response,
        BodyReader::new(framing, limit, charge, length),
    )))
}

fn framing(fields: &Fields) -> Result<Framing, BadResponse> {
    let length = stated_length(fields).map_err(|_| BadResponse::AmbiguousLength)?;
    let coding = fields.get("transfer-encoding");
    match (coding, length) {
        (None, Some(length)) => Ok(Framing::Length(length)),
        (None, None) => Ok(Framing::UntilClose),
        (Some(coding), None) if coding.eq_ignore_ascii_case("chunked") => Ok(Framing::Chunked),
        (Some(_), _) => Err(BadResponse::AmbiguousLength),
    }
}
