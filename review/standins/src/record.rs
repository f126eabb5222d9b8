//! The record of a run: what was sent, answered and run, with times.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            started: Instant::now(),
            file: Mutex::new(File::create(path)?),
        })
    }

    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.started).as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let seconds = self.seconds(Instant::now());
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{seconds:9.3} s  {text}");
    }
}
