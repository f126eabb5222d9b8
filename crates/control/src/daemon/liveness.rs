//! Whether the control thread still turns.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Longest time between two turns of a live control thread, which wakes far more often.
const LONGEST_TURN: Duration = Duration::from_secs(2);

/// The time of the control thread's last turn.
#[derive(Clone, Debug)]
pub(super) struct Liveness {
    start: Instant,
    last_ms: Arc<AtomicU64>,
}

impl Liveness {
    pub(super) fn new(start: Instant) -> Self {
        Self {
            start,
            last_ms: Arc::default(),
        }
    }

    /// Time since the process started.
    pub(super) fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub(super) fn turn(&self, now: Duration) {
        self.last_ms
            .store(now.as_millis() as u64, Ordering::Relaxed);
    }

    pub(super) fn is_alive(&self) -> bool {
        let last = Duration::from_millis(self.last_ms.load(Ordering::Relaxed));
        self.now().saturating_sub(last) <= LONGEST_TURN
    }
}
