//! One process of a fleet: this executable again, in the role of a daemon.
//!
//! Invariant: a process that goes out of scope is killed and waited for.

use std::ffi::OsString;
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{kill_process, Pid, Signal};

const POLL: Duration = Duration::from_millis(20);

/// Why a process could not be started or signalled.
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
    /// The process could not be signalled or waited for.
    #[error("process {name} could not be signalled: {source}")]
    Signal {
        /// Name of the process.
        name: String,
        /// Cause.
        source: std::io::Error,
    },
    /// The process did not end in time.
    #[error("process {name} did not end within {waited:?}")]
    StillRunning {
        /// Name of the process.
        name: String,
        /// How long it was waited for.
        waited: Duration,
    },
}

/// How to start a process.
#[derive(Clone, Debug)]
pub struct ProcessPlan {
    /// Name, also of its log file.
    pub name: String,
    /// Folder of the log file.
    pub folder: PathBuf,
    /// Role and flags, behind `daemon`.
    pub arguments: Vec<OsString>,
}

/// A running process.
#[derive(Debug)]
pub struct Process {
    plan: ProcessPlan,
    child: Child,
}

impl Process {
    /// Starts this executable with `daemon` and the plan's arguments; standard error goes to
    /// `FOLDER/NAME.log`.
    pub fn start(plan: ProcessPlan) -> Result<Self, ProcessError> {
        let child = spawn(&plan.folder, &plan).map_err(|source| ProcessError::Start {
            name: plan.name.clone(),
            source,
        })?;
        Ok(Self { plan, child })
    }

    /// How it was started.
    pub fn plan(&self) -> &ProcessPlan {
        &self.plan
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Whether the process has not ended.
    pub fn is_running(&mut self) -> Result<bool, ProcessError> {
        match self.child.try_wait() {
            Ok(status) => Ok(status.is_none()),
            Err(source) => Err(self.signal_error(source)),
        }
    }

    /// Kills the process at once, as a machine's loss would, and waits for its end.
    pub fn kill(&mut self) -> Result<(), ProcessError> {
        let killed = self.child.kill().and_then(|()| self.child.wait().map(drop));
        killed.map_err(|source| self.signal_error(source))
    }

    /// Stops the process where it stands (SIGSTOP).
    pub fn freeze(&self) -> Result<(), ProcessError> {
        self.signal(Signal::STOP)
    }

    /// Lets a frozen process go on (SIGCONT).
    pub fn resume(&self) -> Result<(), ProcessError> {
        self.signal(Signal::CONT)
    }

    /// Asks the process to end (SIGTERM) and waits for its end.
    pub fn stop(&mut self, patience: Duration) -> Result<(), ProcessError> {
        self.signal(Signal::TERM)?;
        let started = Instant::now();
        while started.elapsed() < patience {
            match self.child.try_wait() {
                Ok(Some(_)) => return Ok(()),
                Ok(None) => std::thread::sleep(POLL),
                Err(source) => return Err(self.signal_error(source)),
            }
        }
        Err(ProcessError::StillRunning {
            name: self.plan.name.clone(),
            waited: patience,
        })
    }

    /// Waits for the process's own end and returns whether it succeeded.
    pub fn wait(&mut self) -> Result<bool, ProcessError> {
        match self.child.wait() {
            Ok(status) => Ok(status.success()),
            Err(source) => Err(self.signal_error(source)),
        }
    }

    fn signal(&self, signal: Signal) -> Result<(), ProcessError> {
        let id = Pid::from_child(&self.child);
        kill_process(id, signal).map_err(|error| self.signal_error(error.into()))
    }

    fn signal_error(&self, source: std::io::Error) -> ProcessError {
        ProcessError::Signal {
            name: self.plan.name.clone(),
            source,
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

fn spawn(folder: &Path, plan: &ProcessPlan) -> std::io::Result<Child> {
    let log_path = folder.join(format!("{}.log", plan.name));
    let log = File::options().append(true).create(true).open(log_path)?;
    Command::new(std::env::current_exe()?)
        .arg("daemon")
        .args(&plan.arguments)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(log)
        .spawn()
}
