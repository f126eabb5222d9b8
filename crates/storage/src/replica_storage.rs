//! Writes the log and snapshots of one replica.
//!
//! Invariant: a batch is acknowledged only after its one sync; after any failed write nothing more is
//! taken, since what reached the disk is not known.

use grebepin_schema::{ClusterId, Entry, HardState, LogIndex, SnapshotMeta};

use crate::creation;
use crate::disk::Disk;
use crate::error::StorageError;
use crate::frame::{self, FrameKind};
use crate::guards::{Guard, Guards};
use crate::record::{self, BatchView, Identity, SegmentStart};
use crate::replay::{Replay, SegmentInfo, MAXIMUM_BATCH_BYTES, MAXIMUM_SEGMENT_BYTES};
use crate::segment::{self, segment_name, snapshot_name};
use crate::snapshot_file;
use crate::startup::{self, Opened};

const DEFAULT_SEGMENT_BYTES: u64 = 8 << 20;

/// Bounds on files.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Size in bytes from which on a batch starts a new segment; at most 64 MiB.
    pub segment_bytes: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            segment_bytes: DEFAULT_SEGMENT_BYTES,
        }
    }
}

/// Durable state of one replica.
pub struct ReplicaStorage<D: Disk> {
    disk: D,
    file: D::File,
    start: SegmentStart,
    segments: Vec<SegmentInfo>,
    hard_state: HardState,
    snapshot_index: LogIndex,
    last: LogIndex,
    next_number: u64,
    length: u64,
    poisoned: bool,
    guards: Guards,
    limits: Limits,
}

/// What a new segment changes besides its number.
struct Change {
    identity: Identity,
    oldest_segment: u64,
    snapshot: Option<u64>,
}

impl<D: Disk> ReplicaStorage<D> {
    /// Opens a folder and reads back all that counts.
    ///
    /// # Errors
    /// [`StorageError::Damaged`] for a folder that lost or changed synced bytes; such a replica must not
    /// run under its old identity.
    pub fn open(disk: D) -> Result<Opened<D>, StorageError> {
        startup::open(disk)
    }

    /// Fills an empty folder; the identity and the initial snapshot are durable when it returns.
    ///
    /// # Errors
    /// [`StorageError::NotEmpty`] when the folder holds a replica, even a damaged one.
    pub fn create(
        mut disk: D,
        identity: Identity,
        initial: Option<(SnapshotMeta, Vec<u8>)>,
    ) -> Result<Self, StorageError> {
        let (file, start, length) = creation::fill(&mut disk, identity, initial.as_ref())?;
        let snapshot_index = initial.map_or(LogIndex(0), |(meta, _)| meta.index);
        Ok(Self {
            disk,
            file,
            segments: vec![SegmentInfo::new(start.segment)],
            hard_state: start.hard_state.clone(),
            snapshot_index,
            last: snapshot_index,
            next_number: creation::FIRST_NUMBER + 1,
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
        last: LogIndex,
    ) -> Self {
        Self {
            disk,
            file,
            segments: replay.segments,
            hard_state: replay.hard_state,
            snapshot_index,
            last,
            next_number: replay.last_number.saturating_add(1),
            length: replay.end.length,
            poisoned: false,
            guards: Guards::all(),
            limits: Limits::default(),
            start: replay.start,
        }
    }

    /// The same storage with these guards.
    pub fn with_guards(mut self, guards: Guards) -> Self {
        self.guards = guards;
        self
    }

    /// The same storage with these limits.
    pub fn with_limits(mut self, limits: Limits) -> Self {
        self.limits.segment_bytes = limits.segment_bytes.min(MAXIMUM_SEGMENT_BYTES);
        self
    }

    /// Whose folder this is.
    pub fn identity(&self) -> &Identity {
        &self.start.identity
    }

    /// Hard state last persisted.
    pub fn hard_state(&self) -> &HardState {
        &self.hard_state
    }

    /// Index of the snapshot in force; 0 without one.
    pub fn snapshot_index(&self) -> LogIndex {
        self.snapshot_index
    }

    /// Index of the last entry; the snapshot's without entries.
    pub fn last_index(&self) -> LogIndex {
        self.last
    }

    /// The disk, to be opened anew.
    pub fn into_disk(self) -> D {
        self.disk
    }

    /// Appends entries in place of any that conflict, with the hard state; durable when it returns,
    /// after one sync. A batch that starts a new segment syncs that one too.
    ///
    /// # Errors
    /// [`StorageError::Gap`] and [`StorageError::TooLarge`] change nothing; after
    /// [`StorageError::Disk`] nothing more is taken.
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
        if bytes > MAXIMUM_BATCH_BYTES {
            return Err(StorageError::TooLarge {
                bytes,
                limit: MAXIMUM_BATCH_BYTES,
            });
        }
        self.poisoned = true;
        if self.length >= self.limits.segment_bytes {
            self.start_segment(self.unchanged())?;
        }
        self.write_batch(&body)?;
        self.poisoned = false;
        self.note_batch(hard_state, entries);
        Ok(())
    }

    /// Puts a snapshot of applied entries in force and drops the log before it.
    ///
    /// # Errors
    /// [`StorageError::SnapshotOutside`] unless it stands after the present snapshot and at or before
    /// the last entry.
    pub fn save_snapshot(&mut self, meta: &SnapshotMeta, data: &[u8]) -> Result<(), StorageError> {
        self.check_snapshot(meta, LogIndex(self.snapshot_index.0 + 1), self.last)?;
        let kept = |info: &&SegmentInfo| info.highest > Some(meta.index);
        let oldest = self.segments.iter().find(kept).map(|info| info.segment);
        let change = Change {
            oldest_segment: oldest.unwrap_or(self.next_segment()),
            ..self.unchanged()
        };
        self.put_in_force(change, meta, data)
    }

    /// Puts a leader's snapshot in force and drops the whole log.
    ///
    /// # Errors
    /// [`StorageError::SnapshotOutside`] when it stands before the present snapshot.
    pub fn install_snapshot(
        &mut self,
        meta: &SnapshotMeta,
        data: &[u8],
    ) -> Result<(), StorageError> {
        self.install(self.start.identity.clone(), meta, data)
    }

    /// Makes the replica a member of a newly founded group, with the group's first membership as a
    /// snapshot, in one atomic step.
    ///
    /// # Errors
    /// [`StorageError::AlreadyFounded`] when it belongs to a group.
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
        let change = Change {
            identity,
            oldest_segment: self.next_segment(),
            snapshot: None,
        };
        self.put_in_force(change, meta, data)?;
        self.last = meta.index;
        Ok(())
    }

    fn put_in_force(
        &mut self,
        change: Change,
        meta: &SnapshotMeta,
        data: &[u8],
    ) -> Result<(), StorageError> {
        let segment = self.next_segment();
        let previous = self.start.snapshot;
        self.poisoned = true;
        snapshot_file::write(&mut self.disk, segment, meta, data)?;
        self.start_segment(Change {
            snapshot: Some(segment),
            ..change
        })?;
        self.remove_dropped(previous)?;
        self.poisoned = false;
        self.snapshot_index = meta.index;
        Ok(())
    }

    fn remove_dropped(&mut self, snapshot: Option<u64>) -> Result<(), StorageError> {
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

    fn start_segment(&mut self, change: Change) -> Result<(), StorageError> {
        let start = SegmentStart {
            segment: self.next_segment(),
            oldest_segment: change.oldest_segment,
            identity: change.identity,
            snapshot: change.snapshot,
            hard_state: self.hard_state.clone(),
        };
        let (file, length) = segment::write_segment(&mut self.disk, &start, self.next_number)?;
        self.file = file;
        self.length = length;
        self.next_number += 1;
        self.segments.push(SegmentInfo::new(start.segment));
        self.start = start;
        Ok(())
    }

    fn write_batch(&mut self, body: &[u8]) -> Result<(), StorageError> {
        let bytes = frame::encode(FrameKind::Batch, self.next_number, body);
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
        self.next_number += 1;
        Ok(())
    }

    fn note_batch(&mut self, hard_state: Option<&HardState>, entries: &[Entry]) {
        if let Some(hard_state) = hard_state {
            self.hard_state = hard_state.clone();
        }
        let Some(last) = entries.last() else { return };
        self.last = last.index;
        if let Some(info) = self.segments.last_mut() {
            info.highest = info.highest.max(Some(last.index));
        }
    }

    fn check_entries(&self, entries: &[Entry]) -> Result<(), StorageError> {
        let lowest = LogIndex(self.snapshot_index.0 + 1);
        let mut highest = LogIndex(self.last.0 + 1);
        let mut lowest_next = lowest;
        for entry in entries {
            if entry.index < lowest_next || entry.index > highest {
                return Err(StorageError::Gap {
                    lowest: lowest_next,
                    highest,
                    found: entry.index,
                });
            }
            highest = LogIndex(entry.index.0 + 1);
            lowest_next = highest;
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
            return Err(StorageError::SnapshotOutside {
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

    fn unchanged(&self) -> Change {
        Change {
            identity: self.start.identity.clone(),
            oldest_segment: self.start.oldest_segment,
            snapshot: self.start.snapshot,
        }
    }

    fn next_segment(&self) -> u64 {
        self.start.segment + 1
    }
}
