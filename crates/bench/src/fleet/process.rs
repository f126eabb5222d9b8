//! One process of a fleet. It runs this executable with the subcommand `daemon`.
//!
//! Invariant: dropping a [`Process`] kills it and waits for its exit.

use std::ffi::OsString;
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{kill_process, Pid, Signal};

const POLL_INTERVAL: Duration = Duration::from_millis(20);

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
    /// The process did not exit in time.
    #[error("process {name} did not exit within {waited:?}")]
    StillRunning {
        /// Name of the process.
        name: String,
        /// Timeout.
        waited: Duration,
    },
}

/// How to start a process.
#[derive(Clone, Debug)]
pub struct ProcessPlan {
    /// Name of the process and the stem of its log file.
    pub name: String,
    /// Folder of the log file.
    pub folder: PathBuf,
    /// Arguments after `daemon`: the role and its flags.
    pub arguments: Vec<OsString>,
}

/// A started process, which may have exited.
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

    /// The plan that it was started from.
    pub fn plan(&self) -> &ProcessPlan {
        &self.plan
    }

    /// Process id assigned by the operating system.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Whether the process has not exited yet.
    pub fn is_running(&mut self) -> Result<bool, ProcessError> {
        match self.child.try_wait() {
            Ok(status) => Ok(status.is_none()),
            Err(source) => Err(self.signal_error(source)),
        }
    }

    /// Kills the process (SIGKILL), like the loss of its machine, and waits for its exit.
    pub fn kill(&mut self) -> Result<(), ProcessError> {
        let killed = self.child.kill().and_then(|()| self.child.wait().map(drop));
        killed.map_err(|source| self.signal_error(source))
    }

    /// Suspends the process (SIGSTOP).
    pub fn freeze(&self) -> Result<(), ProcessError> {
        self.signal(Signal::STOP)
    }

    /// Resumes a suspended process (SIGCONT).
    pub fn resume(&self) -> Result<(), ProcessError> {
        self.signal(Signal::CONT)
    }

    /// Shuts the process down (SIGTERM) and waits for its exit, at most for `timeout`.
    pub fn stop(&mut self, timeout: Duration) -> Result<(), ProcessError> {
        self.signal(Signal::TERM)?;
        let started = Instant::now();
        while started.elapsed() < timeout {
            match self.child.try_wait() {
                Ok(Some(_)) => return Ok(()),
                Ok(None) => std::thread::sleep(POLL_INTERVAL),
                Err(source) => return Err(self.signal_error(source)),
            }
        }
        Err(ProcessError::StillRunning {
            name: self.plan.name.clone(),
            waited: timeout,
        })
    }

    /// Waits until the process exits by itself; returns whether its exit code was 0.
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
