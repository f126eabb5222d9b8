//! Errors of running a fleet.

use std::path::PathBuf;

use grebepin_admin_client::ClientError;
use grebepin_check::ReadError;

use super::deployment::DeploymentError;
use super::layout::LayoutError;
use super::process::ProcessError;

/// Why a fleet could not be run.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// The deployment's folder could not be loaded.
    #[error(transparent)]
    Deployment(#[from] DeploymentError),
    /// A file could not be written, or too few ports are free.
    #[error(transparent)]
    Layout(#[from] LayoutError),
    /// A process could not be started or signalled.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// The control group refused a request or could not be reached.
    #[error(transparent)]
    Control(#[from] ClientError),
    /// Settings could not be serialized as TOML.
    #[error("settings of {name} can't be serialized: {source}")]
    Settings {
        /// Process.
        name: String,
        /// Cause.
        source: toml::ser::Error,
    },
    /// The experiment's file can't be read.
    #[error("{path}: {source}")]
    ExperimentFile {
        /// File.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// The experiment's file does not match the schema.
    #[error("{path}: {source}")]
    Experiment {
        /// File.
        path: PathBuf,
        /// Cause.
        source: toml::de::Error,
    },
    /// A process name that the deployment does not have.
    #[error("no process is named {name}; known: {known}")]
    UnknownProcess {
        /// The unknown name.
        name: String,
        /// Names that the deployment has, separated by commas.
        known: String,
    },
    /// A step names a bundle that the deployment does not have.
    #[error("the deployment has no bundle of version {version}")]
    UnknownBundle {
        /// The missing version.
        version: u64,
    },
    /// A load names a service that the first bundle does not have.
    #[error("the first bundle has no service {service}")]
    UnknownService {
        /// Service in the load.
        service: String,
    },
    /// A condition of the fleet was not met in time.
    #[error("{what} was not ready within {seconds} s; see the logs in {folder}")]
    NotReady {
        /// The condition.
        what: String,
        /// Timeout in seconds.
        seconds: u64,
        /// Folder of the logs.
        folder: PathBuf,
    },
    /// A history file could not be written or opened.
    #[error("history of the run can't be accessed: {0}")]
    Record(std::io::Error),
    /// A history file can't be parsed.
    #[error("{path}: {source}")]
    History {
        /// File.
        path: PathBuf,
        /// Cause.
        source: ReadError,
    },
}
