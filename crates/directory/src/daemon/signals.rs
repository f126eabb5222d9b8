//! Requests to stop and to reload, received as SIGTERM and SIGHUP.

use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use signal_hook::consts::{SIGHUP, SIGTERM};

/// Pending signals. They persist when the replica is reopened.
#[derive(Clone, Debug)]
pub(super) struct Signals {
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl Signals {
    /// Installs the signal handlers.
    pub(super) fn listen() -> io::Result<Self> {
        let signals = Self {
            stop: Arc::new(AtomicBool::new(false)),
            reload: Arc::new(AtomicBool::new(false)),
        };
        signal_hook::flag::register(SIGTERM, Arc::clone(&signals.stop))?;
        signal_hook::flag::register(SIGHUP, Arc::clone(&signals.reload))?;
        Ok(signals)
    }

    /// Whether the process was asked to stop.
    pub(super) fn stop(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    /// Whether the process was asked to reload since the last call.
    pub(super) fn take_reload(&self) -> bool {
        self.reload.swap(false, Ordering::Relaxed)
    }
}
