//! Fault injection: freezing the server, and false health and load reports.
//!
//! Invariant: a frozen server reads, writes and changes nothing, but its clock continues.

use std::sync::{Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

use super::FalseReport;
use crate::lock;

/// Maximum duration of a freeze.
const MAX_FREEZE: Duration = Duration::from_secs(600);

/// Injected faults of one server.
#[derive(Debug)]
pub(crate) struct Faults {
    frozen_until: Mutex<Option<Instant>>,
    unfrozen: Condvar,
    false_report: Mutex<FalseReport>,
}

impl Faults {
    pub(crate) fn new(false_report: FalseReport) -> Self {
        Self {
            frozen_until: Mutex::new(None),
            unfrozen: Condvar::new(),
            false_report: Mutex::new(false_report),
        }
    }

    /// Freezes the server for `time` from now. Zero ends a freeze.
    pub(crate) fn freeze(&self, time: Duration) {
        let until = Instant::now() + time.min(MAX_FREEZE);
        *lock(&self.frozen_until) = Some(until);
        self.unfrozen.notify_all();
    }

    /// Blocks while the server is frozen.
    pub(crate) fn wait_while_frozen(&self) {
        let mut until = lock(&self.frozen_until);
        while let Some(end) = *until {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                *until = None;
                return;
            }
            let wait_result = self.unfrozen.wait_timeout(until, left);
            until = wait_result.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    pub(crate) fn false_report(&self) -> FalseReport {
        *lock(&self.false_report)
    }

    pub(crate) fn set_false_report(&self, false_report: FalseReport) {
        *lock(&self.false_report) = false_report;
    }
}
