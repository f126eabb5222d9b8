//! One process of a fleet: this executable again, in the role of a daemon.
//!
//! Invariant: a process that goes out of scope is killed and waited for.

use std::ffi::OsString;
use std::fs::File;
use std::path::Path;
use std::process::{Child, Command, Stdio};

/// Why a process could not be started or stopped.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// The process or its log file could not be created.
    #[error("process {name} could not be started: {source}")]
    Start {
        /// Name of the process.
        name: String,
        /// Cause.
        source: std::io::Error,
    },
    /// The process could not be killed.
    #[error("process {name} could not be killed: {source}")]
    Kill {
        /// Name of the process.
        name: String,
        /// Cause.
        source: std::io::Error,
    },
}

/// A running process of the fleet.
pub struct Process {
    name: String,
    child: Child,
}

impl Process {
    /// Starts this executable with `daemon` and `arguments`; its standard error goes to
    /// `FOLDER/NAME.log`.
    pub fn start(folder: &Path, name: &str, arguments: &[OsString]) -> Result<Self, ProcessError> {
        let fail = |source| ProcessError::Start {
            name: name.to_string(),
            source,
        };
        let log_path = folder.join(format!("{name}.log"));
        let log = File::options()
            .append(true)
            .create(true)
            .open(log_path)
            .map_err(fail)?;
        let executable = std::env::current_exe().map_err(fail)?;
        let child = Command::new(executable)
            .arg("daemon")
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(fail)?;
        Ok(Self {
            name: name.to_string(),
            child,
        })
    }

    /// Kills the process at once, as a machine's loss would.
    pub fn kill(&mut self) -> Result<(), ProcessError> {
        let result = self.child.kill().and_then(|()| self.child.wait().map(drop));
        result.map_err(|source| ProcessError::Kill {
            name: self.name.clone(),
            source,
        })
    }

    /// Name of the process.
    pub fn name(&self) -> &str {
        &self.name
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}
