//! When a replica saves a snapshot and discards its log.
//!
//! Invariant: the applied entries that a replica keeps are bounded by their size as well as by their number, so that
//! the memory and disk that the log takes does not depend on how large the entries are.

/// Size of the applied entries at which a snapshot is due, in bytes. Saving one for less costs more writes than the log
/// itself.
const MIN_LOG_BYTES: usize = 4 << 20;

/// Decides when the next snapshot is due.
#[derive(Debug)]
pub struct SnapshotSchedule {
    max_entries: u64,
    snapshot_bytes: usize,
    entries: u64,
    bytes: usize,
}

impl SnapshotSchedule {
    /// Schedule for a replica whose last snapshot has `snapshot_bytes`, and which saves the next one after `max_entries`
    /// applied entries or earlier.
    pub fn new(max_entries: u64, snapshot_bytes: usize) -> Self {
        Self {
            max_entries,
            snapshot_bytes,
            entries: 0,
            bytes: 0,
        }
    }

    /// Records that an entry of `bytes` was applied.
    pub fn record_applied(&mut self, bytes: usize) {
        self.entries += 1;
        self.bytes += bytes;
    }

    /// Records that a snapshot of `bytes` that covers all applied entries was saved or installed.
    pub fn record_snapshot(&mut self, bytes: usize) {
        *self = Self::new(self.max_entries, bytes);
    }

    /// Returns whether a snapshot is due: after enough entries, or once the applied entries are as large as the last
    /// snapshot. A snapshot of a large state after a few small entries would write far more than the log does.
    pub fn is_due(&self) -> bool {
        self.entries >= self.max_entries || self.bytes >= self.snapshot_bytes.max(MIN_LOG_BYTES)
    }
}
