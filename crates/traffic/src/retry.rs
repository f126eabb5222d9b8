//! Retry budget of one service.
//!
//! Invariant: over any period, retries are at most the configured percentage of first attempts plus a
//! fixed reserve, so retries cannot amplify an overload.

/// The bucket counts in hundredths of a retry.
const HUNDREDTHS_PER_RETRY: u64 = 100;

/// Capacity of the bucket in retries; a new budget starts full.
const RESERVE_RETRIES: u64 = 10;

/// Token bucket: each first attempt adds a fraction of a retry, each retry removes a whole one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    percent: u64,
    hundredths: u64,
}

impl RetryBudget {
    /// A budget of `percent` retries per hundred first attempts, with a full reserve. With `percent` 0
    /// no retry is ever allowed.
    pub fn new(percent: u32) -> Self {
        let hundredths = if percent == 0 {
            0
        } else {
            RESERVE_RETRIES * HUNDREDTHS_PER_RETRY
        };
        Self {
            percent: u64::from(percent),
            hundredths,
        }
    }

    /// Changes the percentage, for example for a new bundle; the accumulated retries are kept.
    pub fn set_percent(&mut self, percent: u32) {
        self.percent = u64::from(percent);
    }

    /// Adds the fraction of a retry that one first attempt earns.
    pub fn record_first_attempt(&mut self) {
        self.hundredths =
            (self.hundredths + self.percent).min(RESERVE_RETRIES * HUNDREDTHS_PER_RETRY);
    }

    /// Takes one retry; false if the budget is exhausted.
    pub fn try_take(&mut self) -> bool {
        if self.percent == 0 || self.hundredths < HUNDREDTHS_PER_RETRY {
            return false;
        }
        self.hundredths -= HUNDREDTHS_PER_RETRY;
        true
    }

    /// Number of whole retries available.
    pub fn remaining(&self) -> u64 {
        self.hundredths / HUNDREDTHS_PER_RETRY
    }
}
