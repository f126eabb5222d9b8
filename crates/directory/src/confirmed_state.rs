//! How old a replicated state is: until when it is known to contain every acknowledged change.
//!
//! A source whose state is confirmed answers each report of a receiver with a [`Confirmation`]. It returns the time
//! that the receiver stated in the report, so only the receiver's own clock counts, and the time that either
//! message spent in queues makes the state older. The time at which a message arrived would not show that: a link
//! with seconds of queue delivers messages as often as an idle one.
//!
//! Invariant: a state is never taken for newer than it is.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Confirmations that are kept until the state has reached their log index.
const MAX_PENDING: usize = 16;

/// States that everything acknowledged before a time is in the log up to an index.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmation {
    /// Time that the receiver stated in the report that this answers, in milliseconds of the receiver's clock.
    pub sent_at_ms: u64,
    /// Age of the sender's state in milliseconds when it answered.
    pub age_ms: u64,
    /// Log index of the sender's state.
    pub applied: u64,
}

impl Confirmation {
    /// Answer to a report that was sent at `sent_at_ms`, by a sender with a state of this age and log index.
    pub fn new(sent_at_ms: u64, age: Duration, applied: u64) -> Self {
        // Rounded up, so that no state seems newer.
        let age_ms = age.as_nanos().div_ceil(1_000_000) as u64;
        Self {
            sent_at_ms,
            age_ms,
            applied,
        }
    }

    /// Time in the receiver's clock before which everything acknowledged is in the log up to `applied`.
    fn confirmed_at(self) -> Duration {
        Duration::from_millis(self.sent_at_ms.saturating_sub(self.age_ms))
    }
}

/// Until when a replicated state is known to contain every acknowledged change.
#[derive(Debug, Default)]
pub struct ConfirmedState {
    confirmed_at: Option<Duration>,
    /// Latest time that was confirmed for any log index.
    newest: Option<Duration>,
    /// Times confirmed for log indexes that the state had not reached, in the order of the indexes.
    pending: VecDeque<(u64, Duration)>,
}

impl ConfirmedState {
    /// Records a source's confirmation. `applied` is the log index of the own state. Returns whether the source knows
    /// of a later time than all before.
    pub fn record(&mut self, confirmation: Confirmation, applied: u64) -> bool {
        let confirmed_at = Some(confirmation.confirmed_at());
        let is_newest = confirmed_at > self.newest;
        self.newest = self.newest.max(confirmed_at);
        let newest = self.pending.back().map_or(0, |(index, _)| *index);
        let index = confirmation.applied.max(newest);
        if self.pending.len() < MAX_PENDING {
            let confirmed_at = confirmation.confirmed_at();
            self.pending.push_back((index, confirmed_at));
        }
        self.update(applied);
        is_newest
    }

    /// Records that the state has reached a log index.
    pub fn update(&mut self, applied: u64) {
        while let Some((index, at)) = self.pending.front().copied() {
            if index > applied {
                return;
            }
            self.pending.pop_front();
            self.confirmed_at = self.confirmed_at.max(Some(at));
        }
    }

    /// Records that the state contains everything acknowledged before `now`.
    pub fn confirm(&mut self, now: Duration) {
        self.pending.clear();
        self.confirmed_at = self.confirmed_at.max(Some(now));
    }

    /// Time since which acknowledged changes may be missing in the state; `None` if it was never confirmed.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        Some(now.saturating_sub(self.confirmed_at?))
    }
}

/// A time of this process's clock as it is stated in reports, rounded down so that no state seems newer.
pub fn report_time(now: Duration) -> u64 {
    now.as_millis() as u64
}
