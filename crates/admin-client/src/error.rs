//! Errors of calls to the admin interface.

use std::fmt;
use std::net::SocketAddr;

use grebepin_schema::{ApiError, ApiErrorKind};

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The client was created without an address.
    #[error("no control replica address given; name one with --control")]
    NoAddresses,
    /// The replica could not be reached, or the connection failed before the whole response was read.
    #[error("control replica {address} can't be reached: {source}")]
    Unreachable {
        /// Admin address of the replica.
        address: SocketAddr,
        /// Cause.
        source: Box<ureq::Error>,
    },
    /// The response body does not have the expected form.
    #[error(
        "control replica {address} returned HTTP status {status} with an unexpected body: {reason}"
    )]
    Malformed {
        /// Admin address of the replica.
        address: SocketAddr,
        /// HTTP status code.
        status: u16,
        /// Why the body could not be parsed.
        reason: String,
    },
    /// The replica refused the request with a typed reason.
    #[error("{}: {} (control replica {address})", error.kind, error.message)]
    Refused {
        /// Admin address of the replica.
        address: SocketAddr,
        /// Error body of the response.
        error: Box<ApiError>,
    },
    /// No replica answered as leader within the search time.
    #[error("no control replica answered as leader:{}", describe(attempts))]
    NoLeader {
        /// Last failure of each replica that was tried.
        attempts: Vec<Attempt>,
    },
    /// The request could not be serialized as JSON.
    #[error("request can't be serialized: {0}")]
    Encode(serde_json::Error),
}

impl ClientError {
    /// The typed reason when a replica refused the request; `None` for every other error.
    pub fn kind(&self) -> Option<ApiErrorKind> {
        match self {
            Self::Refused { error, .. } => Some(error.kind),
            _ => None,
        }
    }

    /// Whether the request may have reached the replica before the connection failed.
    fn may_have_arrived(source: &ureq::Error) -> bool {
        match source {
            ureq::Error::Io(error) => error.kind() != std::io::ErrorKind::ConnectionRefused,
            ureq::Error::Timeout(ureq::Timeout::Connect) => false,
            ureq::Error::ConnectionFailed => false,
            _ => true,
        }
    }

    /// Whether the request may have taken effect although it failed.
    pub fn outcome_is_unknown(&self) -> bool {
        match self {
            Self::Unreachable { source, .. } => Self::may_have_arrived(source),
            Self::Malformed { .. } => true,
            Self::Refused { error, .. } => error.kind == ApiErrorKind::LostLeadership,
            Self::NoLeader { attempts } => {
                attempts.iter().any(|attempt| attempt.outcome_is_unknown)
            }
            Self::NoAddresses | Self::Encode(_) => false,
        }
    }
}

/// Failure of a request at one replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Admin address of the replica.
    pub address: SocketAddr,
    /// Error message.
    pub reason: String,
    /// Whether this request, or an earlier one to the same replica, may have taken effect.
    pub outcome_is_unknown: bool,
}

impl fmt::Display for Attempt {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.reason)
    }
}

fn describe(attempts: &[Attempt]) -> String {
    attempts
        .iter()
        .map(|attempt| format!("\n  {attempt}"))
        .collect()
}
