//! The replica as a process: one thread that serves every connection and owns the node.
//!
//! Invariant: the thread waits for nobody but its own disk; what a peer does not take is bounded
//! and then dropped.

mod bad_calls;
mod calls;
mod event_log;
mod feed;
mod housekeeping;
mod http_side;
mod link_side;
mod opening;
mod peers;
mod permitting;
mod relaying;
mod server;
mod signals;

use std::path::Path;
use std::thread;
use std::time::Duration;

use grebepin_storage::{DiskError, StorageError};
use grebepin_telemetry::{event, Event};

use crate::dialect::Dialect;
use crate::node::NodeError;
use crate::settings::SettingsError;
use server::Server;
use signals::Signals;

/// Why the process ends.
#[derive(Debug, thiserror::Error)]
pub enum DirectoryError {
    /// The settings can't be used.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// A socket can't be opened or polled.
    #[error("network: {0}")]
    Network(#[from] std::io::Error),
    /// The data folder can't be opened.
    #[error("data folder: {0}")]
    Disk(#[from] DiskError),
    /// The metrics can't be registered.
    #[error("metrics: {0}")]
    Metrics(#[from] grebepin_telemetry::MetricsError),
    /// The replica can't go on.
    #[error(transparent)]
    Node(#[from] NodeError),
}

/// Pause before a replica whose disk refused to write is opened anew.
const REOPEN_PAUSE: Duration = Duration::from_millis(300);

impl DirectoryError {
    /// Whether the disk refused an operation, which it may take later.
    fn is_refused_write(&self) -> bool {
        matches!(
            self,
            Self::Disk(DiskError::Io(_) | DiskError::Full)
                | Self::Node(NodeError::Storage(StorageError::Disk { .. }))
        )
    }

    /// Exit code of the process: 2 for settings, 1 for anything else.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Settings(_) => 2,
            _ => 1,
        }
    }
}

/// Runs a replica until it is asked to stop. One whose disk refuses to write is opened anew again
/// and again, as after a restart, until the disk takes writes.
///
/// # Errors
/// The settings or the network are of no use, or the folder holds what can't be read.
pub fn run(settings: &Path, dialect: &dyn Dialect) -> Result<(), DirectoryError> {
    let signals = Signals::listen()?;
    loop {
        let ended = Server::start(settings, dialect, &signals).and_then(Server::run);
        match ended {
            Err(error) if error.is_refused_write() => {
                event!(Event::DirectoryFailed, error = error);
                thread::sleep(REOPEN_PAUSE);
            }
            ended => return ended,
        }
    }
}
