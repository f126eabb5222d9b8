//! Why a router could not start or stopped.

use std::net::SocketAddr;

use grebepin_settings::{SettingsError, SETTINGS_EXIT_CODE};
use grebepin_telemetry::MetricsError;

/// Exit code of a daemon that failed for another reason than its settings.
const FAILURE_EXIT_CODE: i32 = 1;

/// Why a router could not start or stopped.
#[derive(Debug, thiserror::Error)]
pub enum RouterError {
    /// The settings are refused.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// An address cannot be listened on.
    #[error("cannot listen on {address}: {reason}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system says.
        reason: String,
    },
    /// A metric could not be registered.
    #[error(transparent)]
    Metrics(#[from] MetricsError),
    /// The system refused a thread or a signal handler.
    #[error("the system refused a thread or a signal handler: {0}")]
    System(#[from] std::io::Error),
}

impl RouterError {
    /// Exit code of the process: 2 for settings, 1 otherwise.
    pub fn exit_code(&self) -> i32 {
        match self {
            RouterError::Settings(_) => SETTINGS_EXIT_CODE,
            _ => FAILURE_EXIT_CODE,
        }
    }
}
