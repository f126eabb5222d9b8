//! Why the daemon can't start or stopped, and the exit code that says so.

use std::path::PathBuf;

use grebepin_settings::{SettingsError, SETTINGS_EXIT_CODE};
use grebepin_storage::DiskError;
use grebepin_telemetry::MetricsError;

use crate::node::error::NodeError;

/// Exit code when the data folder lost or changed bytes that had been synced.
pub const DAMAGED_EXIT_CODE: i32 = 3;

const FAILURE_EXIT_CODE: i32 = 1;

/// Why the daemon can't start or stopped.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The settings are refused.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The data folder can't be used.
    #[error("data folder {}: {source}", path.display())]
    Folder {
        /// The folder.
        path: PathBuf,
        /// Cause.
        source: DiskError,
    },
    /// The data folder is damaged.
    #[error(
        "data folder {}: {source}. Move the folder away, keep it for inspection, and start again \
         with an empty one: the replica then joins the group anew under another identity",
        path.display()
    )]
    Damaged {
        /// The folder.
        path: PathBuf,
        /// Cause.
        source: NodeError,
    },
    /// The replica can't start or go on.
    #[error(transparent)]
    Node(NodeError),
    /// An address can't be listened on.
    #[error("can't listen on {field} {address}: {reason}")]
    Listen {
        /// Field of the settings.
        field: &'static str,
        /// Its value.
        address: String,
        /// What the system says.
        reason: String,
    },
    /// A thread could not be started, or signals can't be caught.
    #[error("the system refused a thread or a signal handler: {0}")]
    System(#[from] std::io::Error),
    /// The metrics could not be set up.
    #[error(transparent)]
    Metrics(#[from] MetricsError),
    /// The control thread panicked.
    #[error("the control thread ended by a fault in the program")]
    Panicked,
}

impl RunError {
    /// Exit code of the process: 2 for settings, 3 for a damaged folder, 1 for anything else.
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
