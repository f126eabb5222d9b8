//! Why a link to a replica or relay was given up, and how often that is logged.

use std::collections::BTreeMap;
use std::time::Duration;

/// Interval between two log lines about one address: replicas that do not run are tried many times a second.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Reason for closing a link that was wanted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LinkFailure {
    /// It was not established in time.
    NotEstablished,
    /// Nothing was received for too long.
    Silent,
    /// The other side closed it, or it failed.
    Closed,
    /// It leads to a relay without contact to a leader.
    RelayNotFed,
}

impl LinkFailure {
    /// Text for logs.
    pub(super) fn reason(self) -> &'static str {
        match self {
            Self::NotEstablished => "not established",
            Self::Silent => "silent",
            Self::Closed => "closed",
            Self::RelayNotFed => "relay without a leader",
        }
    }
}

/// When a failure was last logged for each address.
#[derive(Debug, Default)]
pub(super) struct FailureLog {
    logged: BTreeMap<String, Duration>,
}

impl FailureLog {
    /// Whether a failure at an address may be logged now.
    pub(super) fn may_log(&mut self, now: Duration, address: &str) -> bool {
        self.logged.retain(|_, at| now < *at + LOG_INTERVAL);
        let may_log = !self.logged.contains_key(address);
        if may_log {
            self.logged.insert(address.to_owned(), now);
        }
        may_log
    }
}
