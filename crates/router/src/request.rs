//! A caller's request and its routing headers.
//!
//! Invariant: a request with invalid routing headers is never forwarded.

use std::time::{Duration, Instant};

use grebepin_schema::{RejectKind, RequestId};

use crate::http::RequestHead;

/// Request header with the key that determines the shard.
pub const KEY: &str = "Grebepin-Key";
/// Header with the request identifier; answers carry it too.
pub const REQUEST_ID: &str = "Grebepin-Request-Id";
/// Request header with the attempt number; 2 or more if an earlier attempt may have run.
pub const ATTEMPT: &str = "Grebepin-Attempt";
/// Request header with the time left until the caller's deadline, in ms.
pub const DEADLINE_MS: &str = "Grebepin-Deadline-Ms";

/// Maximum key length in bytes.
const MAX_KEY_BYTES: usize = 1024;

/// A caller's request as received.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Parsed head.
    pub head: RequestHead,
    /// Complete body.
    pub body: Vec<u8>,
    /// Time at which its first byte arrived.
    pub arrived: Instant,
}

/// Parsed routing headers of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerHeaders {
    /// Key that determines the shard.
    pub key: String,
    /// Request identifier; `None` if the caller sent none.
    pub request_id: Option<RequestId>,
    /// Attempt number; 1 for the first attempt.
    pub attempt: u32,
    /// Time from the request's arrival to its deadline; `None` if the caller set none.
    pub deadline: Option<Duration>,
}

impl CallerHeaders {
    /// Parses the routing headers.
    ///
    /// # Errors
    /// [`RejectKind::MissingKey`] without a key, [`RejectKind::BadHeader`] for any other invalid header.
    pub fn read(head: &RequestHead) -> Result<Self, RejectKind> {
        let attempt = numeric_header(head, ATTEMPT)?.unwrap_or(1);
        let attempt = u32::try_from(attempt).map_err(|_| RejectKind::BadHeader)?;
        if attempt == 0 {
            return Err(RejectKind::BadHeader);
        }
        Ok(Self {
            key: key(head)?,
            request_id: request_id(head)?,
            attempt,
            deadline: numeric_header(head, DEADLINE_MS)?.map(Duration::from_millis),
        })
    }
}

/// The caller's attempt number, for answers to invalid requests. An invalid value counts as a resend, so
/// that the router does not report earlier attempts as not run.
pub fn attempt_of(head: &RequestHead) -> u32 {
    match numeric_header(head, ATTEMPT) {
        Ok(None) => 1,
        Ok(Some(attempt)) => u32::try_from(attempt).unwrap_or(u32::MAX),
        Err(_) => u32::MAX,
    }
}

/// The caller's request identifier; `Ok(None)` if absent, an error if invalid.
pub fn request_id(head: &RequestHead) -> Result<Option<RequestId>, RejectKind> {
    match single_header(head, REQUEST_ID)? {
        None => Ok(None),
        Some(text) => text.parse().map(Some).map_err(|_| RejectKind::BadHeader),
    }
}

/// The key; an error if it is missing, empty or too long.
pub fn key(head: &RequestHead) -> Result<String, RejectKind> {
    let key = single_header(head, KEY)?.ok_or(RejectKind::MissingKey)?;
    match key.len() {
        0 => Err(RejectKind::MissingKey),
        1..=MAX_KEY_BYTES => Ok(key.to_string()),
        _ => Err(RejectKind::BadHeader),
    }
}

fn numeric_header(head: &RequestHead, name: &str) -> Result<Option<u64>, RejectKind> {
    match single_header(head, name)? {
        None => Ok(None),
        Some(text) => text.parse().map(Some).map_err(|_| RejectKind::BadHeader),
    }
}

/// Value of a header that must occur at most once, as text.
fn single_header<'a>(head: &'a RequestHead, name: &'a str) -> Result<Option<&'a str>, RejectKind> {
    let mut values = head.headers.values(name);
    let first = values.next();
    if values.next().is_some() {
        return Err(RejectKind::BadHeader);
    }
    first
        .map(|value| std::str::from_utf8(value).map_err(|_| RejectKind::BadHeader))
        .transpose()
}

/// Splits a target such as `/SERVICE/rest?query` into the service name and the rest with its slash.
pub fn split_target(target: &str) -> Option<(&str, &str)> {
    let path = target.strip_prefix('/')?;
    let end = path.find(['/', '?']).unwrap_or(path.len());
    let (service, rest) = path.split_at(end);
    Some((service, if rest.is_empty() { "/" } else { rest }))
}
