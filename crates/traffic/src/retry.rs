//! Retry budget of one service.
//!
//! Invariant: over any time, retries are at most the stated percentage of first attempts plus a
//! fixed reserve, so retries cannot multiply an overload.

/// Hundredths of a retry in one retry.
const WHOLE: u64 = 100;

/// Retries that may be saved up, and that a fresh budget starts with.
const RESERVE_RETRIES: u64 = 10;

/// Token bucket: each first attempt pays in a part of a retry, each retry takes out a whole one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    percent: u64,
    hundredths: u64,
}

impl RetryBudget {
    /// A budget of `percent` retries per hundred first attempts, with its reserve full. With
    /// `percent` 0 there are no retries at all.
    pub fn new(percent: u32) -> Self {
        let hundredths = if percent == 0 {
            0
        } else {
            RESERVE_RETRIES * WHOLE
        };
        Self {
            percent: u64::from(percent),
            hundredths,
        }
    }

    /// Changes the percentage, as a new bundle may; what is saved up stays.
    pub fn set_percent(&mut self, percent: u32) {
        self.percent = u64::from(percent);
    }

    /// Counts a first attempt.
    pub fn record_first_attempt(&mut self) {
        self.hundredths = (self.hundredths + self.percent).min(RESERVE_RETRIES * WHOLE);
    }

    /// Takes one retry out; false when the budget is spent.
    pub fn try_take(&mut self) -> bool {
        if self.percent == 0 || self.hundredths < WHOLE {
            return false;
        }
        self.hundredths -= WHOLE;
        true
    }

    /// Whole retries left.
    pub fn left(&self) -> u64 {
        self.hundredths / WHOLE
    }
}
