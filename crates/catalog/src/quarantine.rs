//! Requests that crash the servers which run them, and that no gateway sends any more.

use std::collections::VecDeque;
use std::fmt;

use serde::{Deserialize, Serialize};

/// Requests that are quarantined at most; the oldest gives way.
const MOST_QUARANTINED: usize = 256;

/// What a request is, whoever tries it and however often: a hash of what makes a server run the same work.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(u64, u64);

impl Fingerprint {
    /// From a hash of 128 bits.
    pub fn from_hash(hash: u128) -> Self {
        Self((hash >> u64::BITS) as u64, hash as u64)
    }
}

/// As logs show it: the first half.
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

/// A request that is quarantined from now on, or no longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineChange {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Whether it is quarantined now.
    pub quarantined: bool,
}

/// The requests that are quarantined, the oldest first.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Quarantine {
    requests: VecDeque<Fingerprint>,
}

impl Quarantine {
    /// Whether no request is quarantined.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Whether a request is quarantined.
    pub fn contains(&self, fingerprint: Fingerprint) -> bool {
        self.requests.contains(&fingerprint)
    }

    /// Every request that is quarantined, the oldest first.
    pub fn requests(&self) -> impl Iterator<Item = Fingerprint> + '_ {
        self.requests.iter().copied()
    }

    /// Quarantines a request, or no longer; what changed.
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
            self.requests.retain(|one| *one != fingerprint);
            return changes;
        }
        self.requests.push_back(fingerprint);
        if self.requests.len() > MOST_QUARANTINED {
            let oldest = self.requests.pop_front();
            changes.extend(oldest.map(|fingerprint| QuarantineChange {
                fingerprint,
                quarantined: false,
            }));
        }
        changes
    }
}
