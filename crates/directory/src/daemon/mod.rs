//! The replica process: one thread that serves all connections and owns the node.
//!
//! Invariant: the thread blocks on nothing but its own disk. Data that a peer does not read is buffered up to
//! a limit and then dropped.

mod bad_calls;
mod caller_memory;
mod callers;
mod calls;
mod confirming;
mod evacuation_calls;
mod event_log;
mod event_loop;
mod feed;
mod housekeeping;
mod http_connection;
mod link_connection;
mod opening;
mod peers;
mod permit_relay;
mod relaying;
mod signals;

use std::path::Path;
use std::thread;
use std::time::Duration;

use grebepin_storage::{DiskError, StorageError};
use grebepin_telemetry::{event, Event};

use crate::dialect::Dialect;
use crate::node::NodeError;
use crate::settings::SettingsError;
use event_loop::EventLoop;
use signals::Signals;

/// Why the process ends.
#[derive(Debug, thiserror::Error)]
pub enum DirectoryError {
    /// The settings cannot be used.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// A socket cannot be opened or polled.
    #[error("network: {0}")]
    Network(#[from] std::io::Error),
    /// The data folder cannot be opened.
    #[error("data folder: {0}")]
    Disk(#[from] DiskError),
    /// The metrics cannot be registered.
    #[error("metrics: {0}")]
    Metrics(#[from] grebepin_telemetry::MetricsError),
    /// The replica cannot continue.
    #[error(transparent)]
    Node(#[from] NodeError),
}

/// Delay before a replica is reopened after a failed disk operation.
const REOPEN_DELAY: Duration = Duration::from_millis(300);

impl DirectoryError {
    /// Whether a disk operation failed that may succeed later.
    fn is_disk_failure(&self) -> bool {
        matches!(
            self,
            Self::Disk(DiskError::Io(_) | DiskError::Full)
                | Self::Node(NodeError::Storage(StorageError::Disk { .. }))
        )
    }

    /// Exit code of the process: 2 for unusable settings, 1 for any other error.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Settings(_) => 2,
            _ => 1,
        }
    }
}

/// Runs a replica until the process is asked to stop. After a failed disk operation the replica is reopened,
/// as after a restart, until the disk accepts writes again.
///
/// # Errors
/// The settings or the network cannot be used, or the data folder cannot be read.
pub fn run(settings: &Path, dialect: &dyn Dialect) -> Result<(), DirectoryError> {
    let signals = Signals::listen()?;
    loop {
        let ended = EventLoop::start(settings, dialect, &signals).and_then(EventLoop::run);
        match ended {
            Err(error) if error.is_disk_failure() => {
                event!(Event::DirectoryFailed, error = error);
                thread::sleep(REOPEN_DELAY);
            }
            ended => return ended,
        }
    }
}
