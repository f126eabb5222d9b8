//! A caller's request as the router understands it.
//!
//! Invariant: a request whose headers do not parse is never sent on.

use std::time::{Duration, Instant};

use grebepin_schema::{RejectKind, RequestId};

use crate::http::RequestHead;

/// Header with the key.
pub const KEY: &str = "Grebepin-Key";
/// Header with the caller's identifier of the request.
pub const REQUEST_ID: &str = "Grebepin-Request-Id";
/// Header with the attempt: 2 and more when an earlier one may have run.
pub const ATTEMPT: &str = "Grebepin-Attempt";
/// Header with the time left to the caller's deadline, in ms.
pub const DEADLINE_MS: &str = "Grebepin-Deadline-Ms";

/// Longest key in bytes.
const MAXIMUM_KEY_BYTES: usize = 1024;

/// A caller's request.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Head as it came.
    pub head: RequestHead,
    /// Whole body.
    pub body: Vec<u8>,
    /// When its first byte came.
    pub arrived: Instant,
}

/// The headers that concern the router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerHeaders {
    /// Key.
    pub key: String,
    /// Identifier; `None` when the caller gave none.
    pub request_id: Option<RequestId>,
    /// 1 for the first attempt.
    pub attempt: u32,
    /// Time to the deadline from the request's arrival.
    pub deadline: Option<Duration>,
}

impl CallerHeaders {
    /// Reads the headers.
    ///
    /// # Errors
    /// [`RejectKind::MissingKey`] or [`RejectKind::BadHeader`].
    pub fn read(head: &RequestHead) -> Result<Self, RejectKind> {
        let attempt = number(head, ATTEMPT)?.unwrap_or(1);
        let attempt = u32::try_from(attempt).map_err(|_| RejectKind::BadHeader)?;
        if attempt == 0 {
            return Err(RejectKind::BadHeader);
        }
        Ok(Self {
            key: key(head)?,
            request_id: request_id(head)?,
            attempt,
            deadline: number(head, DEADLINE_MS)?.map(Duration::from_millis),
        })
    }
}

/// The caller's attempt as far as it can be read; for answers to requests that do not parse. A value
/// that does not parse counts as a resend, so that nothing is claimed of earlier attempts.
pub fn attempt_of(head: &RequestHead) -> u32 {
    match number(head, ATTEMPT) {
        Ok(None) => 1,
        Ok(Some(attempt)) => u32::try_from(attempt).unwrap_or(u32::MAX),
        Err(_) => u32::MAX,
    }
}

/// The caller's identifier of the request, if it parses.
pub fn request_id(head: &RequestHead) -> Result<Option<RequestId>, RejectKind> {
    match text(head, REQUEST_ID)? {
        None => Ok(None),
        Some(text) => text.parse().map(Some).map_err(|_| RejectKind::BadHeader),
    }
}

/// The key.
pub fn key(head: &RequestHead) -> Result<String, RejectKind> {
    let key = text(head, KEY)?.ok_or(RejectKind::MissingKey)?;
    match key.len() {
        0 => Err(RejectKind::MissingKey),
        1..=MAXIMUM_KEY_BYTES => Ok(key.to_string()),
        _ => Err(RejectKind::BadHeader),
    }
}

fn number(head: &RequestHead, name: &str) -> Result<Option<u64>, RejectKind> {
    match text(head, name)? {
        None => Ok(None),
        Some(text) => text.parse().map(Some).map_err(|_| RejectKind::BadHeader),
    }
}

/// A header that stands at most once, as text.
fn text<'a>(head: &'a RequestHead, name: &'a str) -> Result<Option<&'a str>, RejectKind> {
    let mut values = head.headers.values(name);
    let first = values.next();
    if values.next().is_some() {
        return Err(RejectKind::BadHeader);
    }
    first
        .map(|value| std::str::from_utf8(value).map_err(|_| RejectKind::BadHeader))
        .transpose()
}

/// Splits a target such as `/SERVICE/rest?query` into the service's name and the rest with its slash.
pub fn split_target(target: &str) -> Option<(&str, &str)> {
    let path = target.strip_prefix('/')?;
    let end = path.find(['/', '?']).unwrap_or(path.len());
    let (service, rest) = path.split_at(end);
    Some((service, if rest.is_empty() { "/" } else { rest }))
}
