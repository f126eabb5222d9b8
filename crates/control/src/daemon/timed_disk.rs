//! A disk whose syncs are measured.

use std::time::Instant;

use grebepin_storage::{Disk, DiskError, RealDisk, RealFile};
use grebepin_telemetry::metrics::Histogram;

/// A [`RealDisk`] that records the duration of each file sync in a histogram.
pub(super) struct TimedDisk {
    disk: RealDisk,
    seconds: Histogram,
}

impl TimedDisk {
    pub(super) fn new(disk: RealDisk, seconds: Histogram) -> Self {
        Self { disk, seconds }
    }
}

impl Disk for TimedDisk {
    type File = RealFile;

    fn list(&self) -> Result<Vec<String>, DiskError> {
        self.disk.list()
    }

    fn read(&self, name: &str, limit: u64) -> Result<Vec<u8>, DiskError> {
        self.disk.read(name, limit)
    }

    fn create(&mut self, name: &str) -> Result<RealFile, DiskError> {
        self.disk.create(name)
    }

    fn open(&mut self, name: &str) -> Result<RealFile, DiskError> {
        self.disk.open(name)
    }

    fn append(&mut self, file: &mut RealFile, bytes: &[u8]) -> Result<(), DiskError> {
        self.disk.append(file, bytes)
    }

    fn truncate(&mut self, file: &mut RealFile, length: u64) -> Result<(), DiskError> {
        self.disk.truncate(file, length)
    }

    fn sync(&mut self, file: &mut RealFile) -> Result<(), DiskError> {
        let started = Instant::now();
        let result = self.disk.sync(file);
        self.seconds.observe(started.elapsed().as_secs_f64());
        result
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<(), DiskError> {
        self.disk.rename(from, to)
    }

    fn remove(&mut self, name: &str) -> Result<(), DiskError> {
        self.disk.remove(name)
    }

    fn sync_dir(&mut self) -> Result<(), DiskError> {
        self.disk.sync_dir()
    }
}
