//! Checks of operators' files.

pub(crate) mod deployment;
mod group;
pub(crate) mod history;
mod inputs;
mod lineage;
mod reach;

use std::fmt;
use std::path::{Path, PathBuf};

use serde::Serialize;

pub(crate) use history::HistoryReport;
pub(crate) use inputs::Inputs;

/// Severity of a finding.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Severity {
    /// The deployment does not work with this.
    Error,
    /// The deployment works, but possibly not as intended.
    Warning,
}

/// A problem with one file.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct CheckFinding {
    pub(crate) file: PathBuf,
    pub(crate) severity: Severity,
    pub(crate) message: String,
}

impl CheckFinding {
    pub(crate) fn error(file: &Path, message: impl Into<String>) -> Self {
        Self::new(file, Severity::Error, message.into())
    }

    pub(crate) fn warning(file: &Path, message: impl Into<String>) -> Self {
        Self::new(file, Severity::Warning, message.into())
    }

    fn new(file: &Path, severity: Severity, message: String) -> Self {
        Self {
            file: file.to_owned(),
            severity,
            message,
        }
    }
}

impl fmt::Display for CheckFinding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let severity = match self.severity {
            Severity::Error => "error",
            Severity::Warning => "warning",
        };
        write!(
            formatter,
            "{severity}: {}: {}",
            self.file.display(),
            self.message
        )
    }
}
