//! Heartbeat rounds of a leader. Each round has a number, which every append request carries, and a send
//! time.
//!
//! Invariant: the send time of a round is not later than the time at which any message with its number is
//! sent. Leases and reads derived from the responses of a majority are therefore conservative.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::limits::MAX_TRACKED_ROUNDS;

/// Send times of a leader's rounds, which are numbered from 1.
#[derive(Debug, Default)]
pub(crate) struct Rounds {
    current: u64,
    sent: BTreeMap<u64, Duration>,
}

impl Rounds {
    /// Starts a new round and removes the oldest send time beyond the maximum.
    pub fn begin(&mut self, now: Duration) {
        self.current += 1;
        self.sent.insert(self.current, now);
        if self.sent.len() > MAX_TRACKED_ROUNDS {
            self.sent.pop_first();
        }
    }

    /// Returns the number of the current round; 0 before the first.
    pub fn current(&self) -> u64 {
        self.current
    }

    /// Returns the send time of a round; `None` if the round was not started or its send time was removed.
    pub fn sent_at(&self, round: u64) -> Option<Duration> {
        self.sent.get(&round).copied()
    }

    /// Removes the send times of rounds before `round`.
    pub fn remove_before(&mut self, round: u64) {
        self.sent = self.sent.split_off(&round);
    }
}
