//! Errors that end the router process.

use std::net::SocketAddr;

use grebepin_settings::{SettingsError, SETTINGS_EXIT_CODE};
use grebepin_telemetry::MetricsError;

/// Exit code for failures other than invalid settings.
const FAILURE_EXIT_CODE: i32 = 1;

/// Error that prevents a router from starting or ends it.
#[derive(Debug, thiserror::Error)]
pub enum RouterError {
    /// The settings are invalid or do not fit this machine.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A listener could not be bound.
    #[error("cannot listen on {address}: {reason}")]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Error text of the operating system.
        reason: String,
    },
    /// A metric could not be registered.
    #[error(transparent)]
    Metrics(#[from] MetricsError),
    /// A thread, a socket operation or a signal handler failed.
    #[error("the system refused a thread or a signal handler: {0}")]
    System(#[from] std::io::Error),
}

impl RouterError {
    /// Exit code of the process: 2 for invalid settings, 1 otherwise.
    pub fn exit_code(&self) -> i32 {
        match self {
            RouterError::Settings(_) => SETTINGS_EXIT_CODE,
            _ => FAILURE_EXIT_CODE,
        }
    }
}
