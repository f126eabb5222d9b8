//! Requests to stop and to reload, as the system's signals bring them.

use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use signal_hook::consts::{SIGHUP, SIGTERM};

/// Signals that came; they outlive a replica that is opened anew.
#[derive(Clone, Debug)]
pub(super) struct Signals {
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl Signals {
    /// Begins to listen.
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

    /// Whether the process was asked to reload since the last look.
    pub(super) fn take_reload(&self) -> bool {
        self.reload.swap(false, Ordering::Relaxed)
    }
}
