//! The replica as a process: one thread that serves every connection and owns the node.
//!
//! Invariant: the thread waits for nobody but its own disk; what a peer does not take is bounded
//! and then dropped.

mod calls;
mod event_log;
mod feed;
mod http_side;
mod link_side;
mod peers;
mod server;

use std::path::Path;

use grebepin_storage::DiskError;

use crate::dialect::Dialect;
use crate::node::NodeError;
use crate::settings::SettingsError;
use server::Server;

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

impl DirectoryError {
    /// Exit code of the process: 2 for settings, 1 for anything else.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Settings(_) => 2,
            _ => 1,
        }
    }
}

/// Runs a replica until it is asked to stop.
///
/// # Errors
/// The settings, the network or the disk are of no use.
pub fn run(settings: &Path, dialect: &dyn Dialect) -> Result<(), DirectoryError> {
    Server::start(settings, dialect)?.run()
}
