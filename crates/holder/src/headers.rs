//! Headers of requests from routers to back ends, and their parsing.
//!
//! Invariant: a request with missing or invalid headers is never begun.

use std::str::FromStr;
use std::time::Duration;

use grebepin_schema::{Epoch, RequestId, ServiceName, ShardId};

/// Service to which the request goes.
pub const SERVICE: &str = "Grebepin-Service";
/// Shard of the request's key.
pub const SHARD: &str = "Grebepin-Shard";
/// Epoch at which the server holds the shard according to the router's routing data.
pub const EPOCH: &str = "Grebepin-Epoch";
/// Key of the request, which determines its shard.
pub const KEY: &str = "Grebepin-Key";
/// Identifier of the request, chosen by the caller and the same for all attempts.
pub const REQUEST_ID: &str = "Grebepin-Request-Id";
/// Number of the attempt: 1 for the caller's first, 2 and above for resends.
pub const ATTEMPT: &str = "Grebepin-Attempt";
/// Time left until the request's deadline, in milliseconds.
pub const DEADLINE_MS: &str = "Grebepin-Deadline-Ms";
/// `true` if running the request more than once does no harm.
pub const REPEATABLE: &str = "Grebepin-Repeatable";
/// Response header: why the request was not run.
pub const REFUSAL: &str = "Grebepin-Refusal";
/// Response header: `true` if an earlier attempt ran, so that this one was not run.
pub const RAN_EARLIER: &str = "Grebepin-Ran-Earlier";

/// Longest key in bytes.
pub const MAX_KEY_BYTES: usize = 1024;

/// A request from a router, as described by its headers.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Service to which the request goes.
    pub service: ServiceName,
    /// Shard of the key.
    pub shard: ShardId,
    /// Epoch of the shard in the router's routing data.
    pub epoch: Epoch,
    /// Key, of 1 to [`MAX_KEY_BYTES`] bytes.
    pub key: String,
    /// Identifier chosen by the caller, the same for all attempts.
    pub request_id: RequestId,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Whether running the request more than once does no harm.
    pub repeatable: bool,
    /// Time left until its deadline.
    pub deadline_left: Duration,
}

/// Error in the headers of a request.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HeaderError {
    /// A required header is absent.
    #[error("header {0} is missing")]
    Missing(&'static str),
    /// A header has an invalid value.
    #[error("header {0} does not parse")]
    Invalid(&'static str),
}

impl Request {
    /// Parses a request from its headers. `header` looks up a value by name, ignoring case.
    ///
    /// # Errors
    /// The first header that is missing or invalid.
    pub fn from_headers<'a>(
        header: impl Fn(&'static str) -> Option<&'a str>,
    ) -> Result<Self, HeaderError> {
        let key = required(&header, KEY)?;
        if key.is_empty() || key.len() > MAX_KEY_BYTES {
            return Err(HeaderError::Invalid(KEY));
        }
        let request = Self {
            service: parsed(&header, SERVICE)?,
            shard: ShardId(parsed(&header, SHARD)?),
            epoch: Epoch(parsed(&header, EPOCH)?),
            key: key.to_owned(),
            request_id: parsed(&header, REQUEST_ID)?,
            attempt: parsed(&header, ATTEMPT)?,
            repeatable: parsed(&header, REPEATABLE)?,
            deadline_left: Duration::from_millis(parsed(&header, DEADLINE_MS)?),
        };
        if request.attempt == 0 {
            return Err(HeaderError::Invalid(ATTEMPT));
        }
        Ok(request)
    }
}

fn required<'a>(
    header: &impl Fn(&'static str) -> Option<&'a str>,
    name: &'static str,
) -> Result<&'a str, HeaderError> {
    header(name).ok_or(HeaderError::Missing(name))
}

fn parsed<'a, T: FromStr>(
    header: &impl Fn(&'static str) -> Option<&'a str>,
    name: &'static str,
) -> Result<T, HeaderError> {
    required(header, name)?
        .parse()
        .map_err(|_| HeaderError::Invalid(name))
}
