//! Liveness check of the control thread.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Maximum time between two iterations of a live control thread, which normally wakes several times a second.
const LIVENESS_TIMEOUT: Duration = Duration::from_secs(2);

/// Time of the control thread's last iteration, shared with the admin interface.
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

    /// Time since `start`, the clock of the node.
    pub(super) fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Records an iteration of the control thread.
    pub(super) fn record(&self, now: Duration) {
        self.last_ms
            .store(now.as_millis() as u64, Ordering::Relaxed);
    }

    pub(super) fn is_alive(&self) -> bool {
        let last = Duration::from_millis(self.last_ms.load(Ordering::Relaxed));
        self.now().saturating_sub(last) <= LIVENESS_TIMEOUT
    }
}
