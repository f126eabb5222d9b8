//! Writes a history with one JSON record per line, in the format of `schema/history.json`.
//!
//! Invariant: a record is passed to the operating system in a single write before
//! [`HistoryWriter::record`] returns. It survives a crash of the process, but not of the machine.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime};

use grebepin_schema::{HistoryEvent, HistoryRecord};

use crate::lock;

/// Appends records to a file. Can be shared by the threads of a process.
#[derive(Debug)]
pub struct HistoryWriter {
    file: Option<Mutex<File>>,
    /// Time since the Unix epoch at `started`. All processes of a machine thus record on one clock.
    epoch: Duration,
    started: Instant,
}

impl HistoryWriter {
    /// Opens `path` for appending. Without a path every record is discarded.
    ///
    /// # Errors
    /// Fails if the file can't be opened.
    pub fn open(path: Option<&Path>) -> io::Result<Self> {
        let file = path
            .map(|path| File::options().append(true).create(true).open(path))
            .transpose()?;
        let epoch = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        Ok(Self {
            file: file.map(Mutex::new),
            epoch,
            started: Instant::now(),
        })
    }

    /// Whether records are written to a file.
    pub fn is_open(&self) -> bool {
        self.file.is_some()
    }

    /// Appends a record of `event` at the time `at`.
    ///
    /// # Errors
    /// Fails if the record can't be written. An effect whose record failed counts as not made.
    pub fn record(&self, at: Instant, event: HistoryEvent) -> io::Result<()> {
        let Some(file) = &self.file else {
            return Ok(());
        };
        let record = HistoryRecord {
            at_us: self.microseconds(at),
            event,
        };
        let mut line = serde_json::to_vec(&record)?;
        line.push(b'\n');
        lock(file).write_all(&line)
    }

    fn microseconds(&self, at: Instant) -> u64 {
        let since = match at.checked_duration_since(self.started) {
            Some(after) => self.epoch + after,
            None => self.epoch.saturating_sub(self.started - at),
        };
        since.as_micros() as u64
    }
}
