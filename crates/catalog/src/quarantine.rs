//! Quarantine of requests that crash the servers that execute them. Gateways send such a request to no
//! server.

use std::collections::VecDeque;
use std::fmt;

use serde::{Deserialize, Serialize};

/// Maximum number of quarantined requests. Adding another one removes the oldest.
const MAX_QUARANTINED: usize = 256;

/// Identifies requests that make a server execute the same work, independent of the client and the attempt.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(u64, u64);

impl Fingerprint {
    /// Creates a fingerprint from a 128-bit hash of the parts of a request that determine its work.
    pub fn from_hash(hash: u128) -> Self {
        Self((hash >> u64::BITS) as u64, hash as u64)
    }
}

/// Writes the upper 64 bits in hexadecimal, which is the form used in logs.
impl fmt::Display for Fingerprint {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{:016x}", self.0)
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, out)
    }
}

/// A request that was added to or removed from the quarantine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineChange {
    /// Identifies the request.
    pub fingerprint: Fingerprint,
    /// True if the request was added, false if it was removed.
    pub quarantined: bool,
}

/// Quarantined requests, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Quarantine {
    requests: VecDeque<Fingerprint>,
}

impl Quarantine {
    /// Returns whether no request is quarantined.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns whether a request is quarantined.
    pub fn contains(&self, fingerprint: Fingerprint) -> bool {
        self.requests.contains(&fingerprint)
    }

    /// Iterates over the quarantined requests, oldest first.
    pub fn requests(&self) -> impl Iterator<Item = Fingerprint> + '_ {
        self.requests.iter().copied()
    }

    /// Adds or removes a request and returns the changes, which include the oldest request if adding
    /// exceeded the maximum.
    pub(crate) fn set(
        &mut self,
        fingerprint: Fingerprint,
        quarantined: bool,
    ) -> Vec<QuarantineChange> {
        if self.contains(fingerprint) == quarantined {
            return Vec::new();
        }
        let mut changes = vec![QuarantineChange {
            fingerprint,
            quarantined,
        }];
        if !quarantined {
            self.requests.retain(|request| *request != fingerprint);
            return changes;
        }
        self.requests.push_back(fingerprint);
        if self.requests.len() > MAX_QUARANTINED {
            let oldest = self.requests.pop_front();
            changes.extend(oldest.map(|fingerprint| QuarantineChange {
                fingerprint,
                quarantined: false,
            }));
        }
        changes
    }
}
