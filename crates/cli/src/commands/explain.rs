//! `grebepin explain`: joins the log lines of several processes about one request, server, key or item.
//!
//! Invariant: the values of a line are shown as they were logged. Unreadable lines are counted, and
//! expected lines that are missing are reported.

mod line;
mod subject;

use std::fmt;
use std::fs;
use std::path::Path;

use serde::Serialize;

use crate::arguments;
use crate::error::CliError;
use crate::output::Format;

use line::LogLine;
use subject::{Matches, Subject};

/// Largest log file read, in bytes.
const MAX_LOG_BYTES: u64 = 1 << 30;

/// The log lines about the subject.
#[derive(Serialize)]
struct ExplainReport {
    subject: String,
    files: usize,
    unreadable_lines: usize,
    lines: Vec<String>,
    missing: Vec<String>,
}

pub(crate) fn run(arguments: &arguments::Explain, format: Format) -> Result<(), CliError> {
    let subject = Subject::new(arguments)?;
    let mut files = 0;
    let mut unreadable = 0;
    let mut lines = Vec::new();
    for path in log_files(&arguments.folder)? {
        files += 1;
        let text = read(&path)?;
        let name = path.file_stem().unwrap_or_default().to_string_lossy();
        for raw_line in text.lines() {
            match LogLine::parse(&name, raw_line) {
                Some(line) => lines.push(line),
                None => unreadable += 1,
            }
        }
    }
    // The times are of the machines' own clocks, which may differ by some milliseconds.
    lines.sort_by(|one, other| one.at.total_cmp(&other.at));
    let Matches { lines, missing } = subject.select(&lines);
    format.print(&ExplainReport {
        subject: subject.to_string(),
        files,
        unreadable_lines: unreadable,
        lines,
        missing,
    })
}

fn log_files(folder: &Path) -> Result<Vec<std::path::PathBuf>, CliError> {
    let failed = |source| CliError::File {
        path: folder.to_owned(),
        source,
    };
    let mut files = Vec::new();
    for entry in fs::read_dir(folder).map_err(failed)? {
        let path = entry.map_err(failed)?.path();
        if path.extension().is_some_and(|ending| ending == "log") {
            files.push(path);
        }
    }
    files.sort();
    Ok(files)
}

fn read(path: &Path) -> Result<String, CliError> {
    let failed = |source| CliError::File {
        path: path.to_owned(),
        source,
    };
    let length = fs::metadata(path).map_err(failed)?.len();
    if length > MAX_LOG_BYTES {
        return Err(CliError::TooLarge {
            path: path.to_owned(),
            maximum: MAX_LOG_BYTES,
        });
    }
    let bytes = fs::read(path).map_err(failed)?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

impl fmt::Display for ExplainReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{} in {} file(s)", self.subject, self.files)?;
        for line in &self.lines {
            writeln!(f, "{line}")?;
        }
        for missing in &self.missing {
            writeln!(f, "missing: {missing}")?;
        }
        match self.unreadable_lines {
            0 => Ok(()),
            count => writeln!(f, "{count} line(s) could not be read and were passed over"),
        }
    }
}
