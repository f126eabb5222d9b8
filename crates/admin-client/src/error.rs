//! How a call to the admin interface fails.

use std::fmt;
use std::net::SocketAddr;

use grebepin_schema::{ApiError, ApiErrorKind};

/// Why a call gave no answer.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// No address to ask was given.
    #[error("no control replica to ask; name one with --control")]
    NoAddresses,
    /// The replica could not be reached, or the connection failed before the whole answer came.
    #[error("control replica {address} can't be reached: {source}")]
    Unreachable {
        /// Replica asked.
        address: SocketAddr,
        /// What went wrong.
        source: Box<ureq::Error>,
    },
    /// The answer is not of the expected form.
    #[error("control replica {address} answered {status} in an unknown form: {reason}")]
    Malformed {
        /// Replica asked.
        address: SocketAddr,
        /// HTTP status.
        status: u16,
        /// What is wrong with the body.
        reason: String,
    },
    /// The replica refused with a typed reason.
    #[error("{}: {} (control replica {address})", error.kind, error.message)]
    Refused {
        /// Replica asked.
        address: SocketAddr,
        /// Its reason.
        error: Box<ApiError>,
    },
    /// No replica answered as leader within the time.
    #[error("no control replica answered as leader:{}", describe(attempts))]
    NoLeader {
        /// The last failure at each replica asked.
        attempts: Vec<Attempt>,
    },
    /// The request can't be written as JSON.
    #[error("request does not encode: {0}")]
    Encode(serde_json::Error),
}

impl ClientError {
    /// The typed reason, when a replica refused with one.
    pub fn kind(&self) -> Option<ApiErrorKind> {
        match self {
            Self::Refused { error, .. } => Some(error.kind),
            _ => None,
        }
    }

    /// Whether the request may have reached the replica.
    fn may_have_arrived(source: &ureq::Error) -> bool {
        match source {
            ureq::Error::Io(error) => error.kind() != std::io::ErrorKind::ConnectionRefused,
            ureq::Error::Timeout(ureq::Timeout::Connect) => false,
            ureq::Error::ConnectionFailed => false,
            _ => true,
        }
    }

    /// Whether the request may have taken effect though no answer came.
    pub fn outcome_is_unknown(&self) -> bool {
        match self {
            Self::Unreachable { source, .. } => Self::may_have_arrived(source),
            Self::Malformed { .. } => true,
            Self::Refused { error, .. } => error.kind == ApiErrorKind::LostLeadership,
            Self::NoLeader { attempts } => attempts.iter().any(|one| one.outcome_is_unknown),
            Self::NoAddresses | Self::Encode(_) => false,
        }
    }
}

/// How asking one replica failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Replica asked.
    pub address: SocketAddr,
    /// What went wrong.
    pub reason: String,
    /// Whether the request may have taken effect there.
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
