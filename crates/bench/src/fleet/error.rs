//! Why a fleet could not be run.

use std::path::PathBuf;

use grebepin_admin_client::ClientError;
use grebepin_check::ReadError;

use super::deployment::DeploymentError;
use super::layout::LayoutError;
use super::process::ProcessError;

/// Why a fleet could not be run.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// The deployment's folder is unusable.
    #[error(transparent)]
    Deployment(#[from] DeploymentError),
    /// Files or ports could not be had.
    #[error(transparent)]
    Layout(#[from] LayoutError),
    /// A process could not be started or signalled.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// The control group refused or could not be reached.
    #[error(transparent)]
    Control(#[from] ClientError),
    /// A settings file could not be written as TOML.
    #[error("settings of {name} can't be written: {source}")]
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
    /// The experiment's file does not fit the schema.
    #[error("{path}: {source}")]
    Experiment {
        /// File.
        path: PathBuf,
        /// Cause.
        source: toml::de::Error,
    },
    /// A step names a process that the deployment does not have.
    #[error("no process is named {name}; known: {known}")]
    UnknownProcess {
        /// Name in the step.
        name: String,
        /// Names of the fleet.
        known: String,
    },
    /// A step names a bundle that the deployment does not have.
    #[error("the deployment has no bundle of version {version}")]
    UnknownBundle {
        /// Version in the step.
        version: u64,
    },
    /// A load names a service that the first bundle does not have.
    #[error("the first bundle has no service {service}")]
    UnknownService {
        /// Service in the load.
        service: String,
    },
    /// The fleet did not become ready.
    #[error("{what} was not ready within {seconds} s; see the logs in {folder}")]
    NotReady {
        /// What was waited for.
        what: String,
        /// How long.
        seconds: u64,
        /// Folder of the logs.
        folder: PathBuf,
    },
    /// A record could not be written.
    #[error("a record of the run can't be written: {0}")]
    Record(std::io::Error),
    /// A history file can't be read.
    #[error("{path}: {source}")]
    History {
        /// File.
        path: PathBuf,
        /// Cause.
        source: ReadError,
    },
}
