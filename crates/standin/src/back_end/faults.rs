//! Faults that can be switched on: a freeze, and misleading reports.
//!
//! Invariant: a frozen server reads, writes and changes nothing, while its clock goes on.

use std::sync::{Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

use super::Lie;
use crate::lock;

/// Longest freeze.
const LONGEST_FREEZE: Duration = Duration::from_secs(600);

/// Switches of one server.
#[derive(Debug)]
pub(crate) struct Faults {
    frozen_until: Mutex<Option<Instant>>,
    thawed: Condvar,
    lie: Mutex<Lie>,
}

impl Faults {
    pub(crate) fn new(lie: Lie) -> Self {
        Self {
            frozen_until: Mutex::new(None),
            thawed: Condvar::new(),
            lie: Mutex::new(lie),
        }
    }

    /// Freezes the server for `time` from now; zero thaws it.
    pub(crate) fn freeze(&self, time: Duration) {
        let until = Instant::now() + time.min(LONGEST_FREEZE);
        *lock(&self.frozen_until) = Some(until);
        self.thawed.notify_all();
    }

    /// Waits while the server is frozen.
    pub(crate) fn wait_while_frozen(&self) {
        let mut until = lock(&self.frozen_until);
        while let Some(end) = *until {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                *until = None;
                return;
            }
            let waited = self.thawed.wait_timeout(until, left);
            until = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    pub(crate) fn lie(&self) -> Lie {
        *lock(&self.lie)
    }

    pub(crate) fn set_lie(&self, lie: Lie) {
        *lock(&self.lie) = lie;
    }
}
