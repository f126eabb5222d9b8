//! A leader's rounds: each is a number that goes with every append request, and its send time.
//!
//! Invariant: the send time of a round is never later than the sending of any message that carries
//! it, so what is derived from a majority's answers errs towards the past.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::limits::REMEMBERED_ROUNDS;

/// Send times of a leader's rounds, from 1.
#[derive(Debug, Default)]
pub(crate) struct Rounds {
    current: u64,
    sent: BTreeMap<u64, Duration>,
}

impl Rounds {
    /// Begins a new round.
    pub fn begin(&mut self, now: Duration) {
        self.current += 1;
        self.sent.insert(self.current, now);
        if self.sent.len() > REMEMBERED_ROUNDS {
            self.sent.pop_first();
        }
    }

    /// The last round begun; 0 before the first.
    pub fn current(&self) -> u64 {
        self.current
    }

    /// When a round was sent; `None` for one that never was or is forgotten.
    pub fn sent_at(&self, round: u64) -> Option<Duration> {
        self.sent.get(&round).copied()
    }

    /// Forgets rounds before one.
    pub fn forget_before(&mut self, round: u64) {
        self.sent = self.sent.split_off(&round);
    }
}
