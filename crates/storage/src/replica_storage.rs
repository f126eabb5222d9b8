//! Writes the log and the snapshots of one replica.
//!
//! Invariant: [`ReplicaStorage::persist`] returns success only after the batch was synced. After a failed write
//! every further write is refused, because it is unknown which bytes reached the disk.

use grebepin_schema::{ClusterId, Entry, HardState, LogIndex, SnapshotMeta};

use crate::creation;
use crate::disk::Disk;
use crate::error::StorageError;
use crate::frame::{self, FrameKind};
use crate::guards::{Guard, Guards};
use crate::record::{self, BatchView, Identity, SegmentStart};
use crate::replay::{Replay, SegmentInfo, MAX_BATCH_BYTES, MAX_SEGMENT_BYTES};
use crate::segment::{self, segment_name, snapshot_name};
use crate::snapshot_file;
use crate::startup::{self, Opened};

const DEFAULT_SEGMENT_BYTES: u64 = 8 << 20;

/// Limits on the size of files.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Size in bytes at which the next batch starts a new segment; capped at 64 MiB.
    pub segment_bytes: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            segment_bytes: DEFAULT_SEGMENT_BYTES,
        }
    }
}

/// Durable log, snapshot and identity of one replica.
pub struct ReplicaStorage<D: Disk> {
    disk: D,
    file: D::File,
    start: SegmentStart,
    segments: Vec<SegmentInfo>,
    hard_state: HardState,
    snapshot_index: LogIndex,
    last_index: LogIndex,
    next_record_number: u64,
    length: u64,
    poisoned: bool,
    guards: Guards,
    limits: Limits,
}

/// State in the first record of a new segment that may differ from the previous segment.
struct SegmentChange {
    identity: Identity,
    oldest_segment: u64,
    snapshot: Option<u64>,
}

impl<D: Disk> ReplicaStorage<D> {
    /// Opens a folder and reads the identity, the snapshot and the log.
    ///
    /// # Errors
    /// [`StorageError::Damaged`] if synced bytes were lost or changed. The replica must not run under its old
    /// identity then, because it may have lost a vote or acknowledged entries.
    pub fn open(disk: D) -> Result<Opened<D>, StorageError> {
        startup::open(disk)
    }

    /// Creates a replica in an empty folder. The identity and the initial snapshot are durable on return.
    ///
    /// # Errors
    /// [`StorageError::NotEmpty`] if the folder holds a replica, even a damaged one.
    pub fn create(
        mut disk: D,
        identity: Identity,
        initial: Option<(SnapshotMeta, Vec<u8>)>,
    ) -> Result<Self, StorageError> {
        let (file, start, length) = creation::initialize(&mut disk, identity, initial.as_ref())?;
        let snapshot_index = initial.map_or(LogIndex(0), |(meta, _)| meta.index);
        Ok(Self {
            disk,
            file,
            segments: vec![SegmentInfo::new(start.segment)],
            hard_state: start.hard_state.clone(),
            snapshot_index,
            last_index: snapshot_index,
            next_record_number: creation::FIRST_RECORD_NUMBER + 1,
            length,
            poisoned: false,
            guards: Guards::all(),
            limits: Limits::default(),
            start,
        })
    }

    pub(crate) fn resume(
        disk: D,
        file: D::File,
        replay: Replay,
        snapshot_index: LogIndex,
        last_index: LogIndex,
    ) -> Self {
        Self {
            disk,
            file,
            segments: replay.segments,
            hard_state: replay.hard_state,
            snapshot_index,
            last_index,
            next_record_number: replay.last_record_number.saturating_add(1),
            length: replay.end.length,
            poisoned: false,
            guards: Guards::all(),
            limits: Limits::default(),
            start: replay.start,
        }
    }

    /// Sets the enabled guards; by default all of them.
    pub fn with_guards(mut self, guards: Guards) -> Self {
        self.guards = guards;
        self
    }

    /// Sets the size limits; they apply from the next batch on.
    pub fn with_limits(mut self, limits: Limits) -> Self {
        self.limits.segment_bytes = limits.segment_bytes.min(MAX_SEGMENT_BYTES);
        self
    }

    /// The replica, group and cluster that the folder belongs to.
    pub fn identity(&self) -> &Identity {
        &self.start.identity
    }

    /// The last persisted hard state.
    pub fn hard_state(&self) -> &HardState {
        &self.hard_state
    }

    /// Index of the current snapshot, or 0 if there is none.
    pub fn snapshot_index(&self) -> LogIndex {
        self.snapshot_index
    }

    /// Index of the last entry, or of the snapshot if the log is empty.
    pub fn last_index(&self) -> LogIndex {
        self.last_index
    }

    /// Returns the disk, so that the folder can be opened again.
    pub fn into_disk(self) -> D {
        self.disk
    }

    /// Appends entries together with the hard state. Stored entries from the index of the first appended
    /// entry on are replaced. The batch is durable on return, after one sync; a batch that starts a new
    /// segment syncs that segment as well.
    ///
    /// # Errors
    /// [`StorageError::Gap`] and [`StorageError::TooLarge`] leave the log unchanged. After
    /// [`StorageError::Disk`] every further write fails with [`StorageError::Poisoned`].
    pub fn persist(
        &mut self,
        hard_state: Option<&HardState>,
        entries: &[Entry],
    ) -> Result<(), StorageError> {
        self.check_usable()?;
        if hard_state.is_none() && entries.is_empty() {
            return Ok(());
        }
        self.check_entries(entries)?;
        let body = record::encode(&BatchView {
            hard_state,
            entries,
        })?;
        let bytes = body.len() as u64;
        if bytes > MAX_BATCH_BYTES {
            return Err(StorageError::TooLarge {
                bytes,
                limit: MAX_BATCH_BYTES,
            });
        }
        self.poisoned = true;
        if self.length >= self.limits.segment_bytes {
            self.start_segment(self.no_change())?;
        }
        self.write_batch(&body)?;
        self.poisoned = false;
        self.record_batch(hard_state, entries);
        Ok(())
    }

    /// Stores a snapshot of applied entries and discards the log up to its index.
    ///
    /// # Errors
    /// [`StorageError::SnapshotOutOfRange`] unless its index is above the current snapshot's and at
    /// most the last entry's.
    pub fn save_snapshot(&mut self, meta: &SnapshotMeta, data: &[u8]) -> Result<(), StorageError> {
        self.check_snapshot(meta, LogIndex(self.snapshot_index.0 + 1), self.last_index)?;
        let kept = |info: &&SegmentInfo| info.highest > Some(meta.index);
        let oldest = self.segments.iter().find(kept).map(|info| info.segment);
        let change = SegmentChange {
            oldest_segment: oldest.unwrap_or(self.next_segment()),
            ..self.no_change()
        };
        self.activate_snapshot(change, meta, data)
    }

    /// Stores a snapshot received from the leader and discards the whole log.
    ///
    /// # Errors
    /// [`StorageError::SnapshotOutOfRange`] if its index is below the current snapshot's.
    pub fn install_snapshot(
        &mut self,
        meta: &SnapshotMeta,
        data: &[u8],
    ) -> Result<(), StorageError> {
        self.install(self.start.identity.clone(), meta, data)
    }

    /// Makes the replica a member of a newly founded group. The cluster and the group's first membership, as a
    /// snapshot, are stored atomically.
    ///
    /// # Errors
    /// [`StorageError::AlreadyFounded`] if the replica already belongs to a founded group.
    pub fn set_founded(
        &mut self,
        cluster: ClusterId,
        meta: &SnapshotMeta,
        data: &[u8],
    ) -> Result<(), StorageError> {
        if self.start.identity.cluster.is_some() {
            return Err(StorageError::AlreadyFounded);
        }
        let identity = Identity {
            cluster: Some(cluster),
            ..self.start.identity.clone()
        };
        self.install(identity, meta, data)
    }

    fn install(
        &mut self,
        identity: Identity,
        meta: &SnapshotMeta,
        data: &[u8],
    ) -> Result<(), StorageError> {
        self.check_snapshot(meta, self.snapshot_index, LogIndex(u64::MAX))?;
        let change = SegmentChange {
            identity,
            oldest_segment: self.next_segment(),
            snapshot: None,
        };
        self.activate_snapshot(change, meta, data)?;
        self.last_index = meta.index;
        Ok(())
    }

    fn activate_snapshot(
        &mut self,
        change: SegmentChange,
        meta: &SnapshotMeta,
        data: &[u8],
    ) -> Result<(), StorageError> {
        let segment = self.next_segment();
        let previous = self.start.snapshot;
        self.poisoned = true;
        snapshot_file::write(&mut self.disk, segment, meta, data)?;
        self.start_segment(SegmentChange {
            snapshot: Some(segment),
            ..change
        })?;
        self.remove_obsolete_files(previous)?;
        self.poisoned = false;
        self.snapshot_index = meta.index;
        Ok(())
    }

    fn remove_obsolete_files(&mut self, snapshot: Option<u64>) -> Result<(), StorageError> {
        let oldest = self.start.oldest_segment;
        let (dropped, kept) = std::mem::take(&mut self.segments)
            .into_iter()
            .partition(|info| info.segment < oldest);
        self.segments = kept;
        let dropped: Vec<SegmentInfo> = dropped;
        let segments = dropped.iter().map(|info| segment_name(info.segment));
        for name in segments.chain(snapshot.map(snapshot_name)) {
            self.disk.remove(&name).map_err(StorageError::disk(&name))?;
        }
        Ok(())
    }

    fn start_segment(&mut self, change: SegmentChange) -> Result<(), StorageError> {
        let start = SegmentStart {
            segment: self.next_segment(),
            oldest_segment: change.oldest_segment,
            identity: change.identity,
            snapshot: change.snapshot,
            hard_state: self.hard_state.clone(),
        };
        let (file, length) =
            segment::write_segment(&mut self.disk, &start, self.next_record_number)?;
        self.file = file;
        self.length = length;
        self.next_record_number += 1;
        self.segments.push(SegmentInfo::new(start.segment));
        self.start = start;
        Ok(())
    }

    fn write_batch(&mut self, body: &[u8]) -> Result<(), StorageError> {
        let bytes = frame::encode(FrameKind::Batch, self.next_record_number, body);
        let name = || segment_name(self.start.segment);
        self.disk
            .append(&mut self.file, &bytes)
            .map_err(|source| StorageError::disk(&name())(source))?;
        if self.guards.has(Guard::Sync) {
            self.disk
                .sync(&mut self.file)
                .map_err(|source| StorageError::disk(&name())(source))?;
        }
        self.length += bytes.len() as u64;
        self.next_record_number += 1;
        Ok(())
    }

    fn record_batch(&mut self, hard_state: Option<&HardState>, entries: &[Entry]) {
        if let Some(hard_state) = hard_state {
            self.hard_state = hard_state.clone();
        }
        let Some(last) = entries.last() else { return };
        self.last_index = last.index;
        if let Some(info) = self.segments.last_mut() {
            info.highest = info.highest.max(Some(last.index));
        }
    }

    fn check_entries(&self, entries: &[Entry]) -> Result<(), StorageError> {
        let lowest = LogIndex(self.snapshot_index.0 + 1);
        let mut highest = LogIndex(self.last_index.0 + 1);
        let mut lowest_allowed = lowest;
        for entry in entries {
            if entry.index < lowest_allowed || entry.index > highest {
                return Err(StorageError::Gap {
                    lowest: lowest_allowed,
                    highest,
                    found: entry.index,
                });
            }
            highest = LogIndex(entry.index.0 + 1);
            lowest_allowed = highest;
        }
        Ok(())
    }

    fn check_snapshot(
        &self,
        meta: &SnapshotMeta,
        lowest: LogIndex,
        highest: LogIndex,
    ) -> Result<(), StorageError> {
        self.check_usable()?;
        if meta.index < lowest || meta.index > highest {
            return Err(StorageError::SnapshotOutOfRange {
                lowest,
                highest,
                found: meta.index,
            });
        }
        Ok(())
    }

    fn check_usable(&self) -> Result<(), StorageError> {
        if self.poisoned {
            return Err(StorageError::Poisoned);
        }
        Ok(())
    }

    fn no_change(&self) -> SegmentChange {
        SegmentChange {
            identity: self.start.identity.clone(),
            oldest_segment: self.start.oldest_segment,
            snapshot: self.start.snapshot,
        }
    }

    fn next_segment(&self) -> u64 {
        self.start.segment + 1
    }
}
