//! Headers between routers and back ends, and the request they describe.
//!
//! Invariant: a request whose headers are missing or wrong is never begun.

use std::str::FromStr;
use std::time::Duration;

use grebepin_schema::{Epoch, RequestId, ServiceName, ShardId};

/// Service of the request.
pub const SERVICE: &str = "Grebepin-Service";
/// Shard of the request's key.
pub const SHARD: &str = "Grebepin-Shard";
/// Epoch at which the router believes the server to hold the shard.
pub const EPOCH: &str = "Grebepin-Epoch";
/// Key of the request.
pub const KEY: &str = "Grebepin-Key";
/// The caller's identifier of the request.
pub const REQUEST_ID: &str = "Grebepin-Request-Id";
/// 1 for the caller's first attempt, 2 and more for resends.
pub const ATTEMPT: &str = "Grebepin-Attempt";
/// Time left to the request's deadline, in ms.
pub const DEADLINE_MS: &str = "Grebepin-Deadline-Ms";
/// `true` when running the request twice does no harm.
pub const REPEATABLE: &str = "Grebepin-Repeatable";
/// Of an answer: why the request was not run.
pub const REFUSAL: &str = "Grebepin-Refusal";
/// Of an answer: `true` when an earlier attempt ran, so that this one did not run again.
pub const RAN_EARLIER: &str = "Grebepin-Ran-Earlier";

/// Longest key in bytes.
pub const MAXIMUM_KEY_BYTES: usize = 1024;

/// A request of a router.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Service asked.
    pub service: ServiceName,
    /// Shard of the key.
    pub shard: ShardId,
    /// Epoch the router knows.
    pub epoch: Epoch,
    /// Key.
    pub key: String,
    /// The caller's identifier.
    pub request_id: RequestId,
    /// 1 for the first attempt.
    pub attempt: u32,
    /// Whether running it twice does no harm.
    pub repeatable: bool,
    /// Time left to its deadline.
    pub deadline_left: Duration,
}

/// Why headers describe no request.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HeaderError {
    /// The header is not there.
    #[error("header {0} is missing")]
    Missing(&'static str),
    /// The header's value doesn't parse.
    #[error("header {0} does not parse")]
    Invalid(&'static str),
}

impl Request {
    /// Reads a request from its headers; `header` finds a value by name, without regard to case.
    ///
    /// # Errors
    /// The first header that is missing or wrong.
    pub fn from_headers<'a>(
        header: impl Fn(&'static str) -> Option<&'a str>,
    ) -> Result<Self, HeaderError> {
        let key = required(&header, KEY)?;
        if key.is_empty() || key.len() > MAXIMUM_KEY_BYTES {
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
