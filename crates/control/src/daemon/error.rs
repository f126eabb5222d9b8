//! Errors of the daemon and their exit codes.

use std::path::PathBuf;

use grebepin_settings::{SettingsError, SETTINGS_EXIT_CODE};
use grebepin_storage::DiskError;
use grebepin_telemetry::MetricsError;

use crate::node::error::NodeError;

/// Exit code for a data directory in which synced bytes were lost or changed.
pub const DAMAGED_EXIT_CODE: i32 = 3;

const FAILURE_EXIT_CODE: i32 = 1;

/// Error that prevented the daemon from starting or made it stop.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The settings are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The data directory can't be opened.
    #[error("data folder {}: {source}", path.display())]
    Folder {
        /// Path of the data directory.
        path: PathBuf,
        /// Cause.
        source: DiskError,
    },
    /// Synced data in the data directory was lost or changed.
    #[error(
        "data folder {}: {source}. Move the folder away, keep it for inspection, and start again \
         with an empty one: the replica then joins the group anew under another identity",
        path.display()
    )]
    Damaged {
        /// Path of the data directory.
        path: PathBuf,
        /// Cause.
        source: NodeError,
    },
    /// The node can't start or continue, for a reason other than damage.
    #[error(transparent)]
    Node(NodeError),
    /// Listening on an address failed.
    #[error("can't listen on {field} {address}: {reason}")]
    Listen {
        /// Name of the settings field.
        field: &'static str,
        /// The address in the field.
        address: String,
        /// Error of the operating system.
        reason: String,
    },
    /// Starting a thread, installing a signal handler or querying a socket failed.
    #[error("can't start a thread, install a signal handler or query a socket: {0}")]
    System(#[from] std::io::Error),
    /// Registering the metrics failed.
    #[error(transparent)]
    Metrics(#[from] MetricsError),
    /// The control thread panicked.
    #[error("the control thread panicked")]
    Panicked,
}

impl RunError {
    /// Exit code of the process: 2 for invalid settings, 3 for a damaged data directory, 1 for any other
    /// error.
    pub fn exit_code(&self) -> i32 {
        match self {
            Self::Settings(_) => SETTINGS_EXIT_CODE,
            Self::Damaged { .. } => DAMAGED_EXIT_CODE,
            _ => FAILURE_EXIT_CODE,
        }
    }

    pub(super) fn node(path: PathBuf, error: NodeError) -> Self {
        match error.is_damage() {
            true => Self::Damaged {
                path,
                source: error,
            },
            false => Self::Node(error),
        }
    }
}
