//! Opens a folder and determines whether it is empty, intact or damaged.

use std::collections::BTreeSet;

use grebepin_schema::{Entry, HardState, LogIndex, SnapshotMeta};

use crate::disk::Disk;
use crate::error::{Damage, StorageError};
use crate::frame::FrameKind;
use crate::record::{self, FixedIdentity, Identity, SegmentStart, Snapshot};
use crate::replay::{self, Replay};
use crate::replica_storage::ReplicaStorage;
use crate::segment::{parse_name, segment_name, StorageFile, CREATING_FILE, IDENTITY_FILE};
use crate::snapshot_file::{self, read_frame};

const MAX_IDENTITY_FILE_BYTES: u64 = 4096;

/// Result of opening a folder.
#[expect(
    clippy::large_enum_variant,
    reason = "constructed once per process start"
)]
pub enum Opened<D: Disk> {
    /// The folder holds no replica.
    Empty(D),
    /// The folder holds an intact replica.
    Present {
        /// Accepts further writes.
        storage: ReplicaStorage<D>,
        /// The replica, group and cluster that the folder belongs to.
        identity: Identity,
        /// Persisted state of the replica.
        restored: RestoredState,
    },
}

/// State of a replica that was read from its folder.
#[derive(Clone, Debug, PartialEq)]
pub struct RestoredState {
    /// The last persisted term, vote and commit index.
    pub hard_state: HardState,
    /// Current snapshot and its data.
    pub snapshot: Option<(SnapshotMeta, Vec<u8>)>,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
    /// The unfinished write that was removed from the end of the log, for the event log; absent if there was
    /// none.
    pub torn_tail: Option<TornTail>,
}

/// An unfinished write that was removed from the end of a file; it was never acknowledged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TornTail {
    /// Name of the file.
    pub file: String,
    /// Length of the file in bytes after the removal.
    pub offset: u64,
    /// Number of bytes removed.
    pub bytes: u64,
}

/// The files of a folder that belong to storage.
struct Folder {
    names: Vec<String>,
    creating: bool,
    identity: bool,
    segments: BTreeSet<u64>,
    snapshots: BTreeSet<u64>,
}

impl Folder {
    fn list<D: Disk>(disk: &D) -> Result<Self, StorageError> {
        let mut folder = Self {
            names: Vec::new(),
            creating: false,
            identity: false,
            segments: BTreeSet::new(),
            snapshots: BTreeSet::new(),
        };
        for name in disk.list().map_err(StorageError::disk(""))? {
            match parse_name(&name) {
                Some(StorageFile::Creating) => folder.creating = true,
                Some(StorageFile::Identity) => folder.identity = true,
                Some(StorageFile::Segment(segment)) => _ = folder.segments.insert(segment),
                Some(StorageFile::Snapshot(segment)) => _ = folder.snapshots.insert(segment),
                Some(StorageFile::Temporary) => {}
                None => continue,
            }
            folder.names.push(name);
        }
        Ok(folder)
    }

    fn is_unused(&self) -> bool {
        let has_files = self.identity || !self.segments.is_empty() || !self.snapshots.is_empty();
        self.creating || !has_files
    }
}

/// Returns whether the folder holds no replica; if so, removes the files of an unfinished creation.
pub(crate) fn clear_if_unused<D: Disk>(disk: &mut D) -> Result<bool, StorageError> {
    let folder = Folder::list(disk)?;
    if !folder.is_unused() {
        return Ok(false);
    }
    let leftovers = folder.names.iter().filter(|name| *name != CREATING_FILE);
    remove_all(disk, leftovers)?;
    if folder.creating {
        // The marker is removed last, so that after a crash in between the folder still counts as unused.
        disk.sync_dir().map_err(StorageError::disk(""))?;
        remove_all(disk, [CREATING_FILE.to_owned()].iter())?;
        disk.sync_dir().map_err(StorageError::disk(""))?;
    }
    Ok(true)
}

/// Opens a folder; see [`ReplicaStorage::open`].
pub(crate) fn open<D: Disk>(mut disk: D) -> Result<Opened<D>, StorageError> {
    if clear_if_unused(&mut disk)? {
        return Ok(Opened::Empty(disk));
    }
    let folder = Folder::list(&disk)?;
    let stored_identity = read_identity(&disk)?;
    let mut replay = replay::replay(&disk, &folder.segments)?;
    check_identity(&stored_identity, &replay.start)?;
    let snapshot = read_snapshot(&disk, &replay.start)?;
    let snapshot_index = snapshot.as_ref().map(|(meta, _)| meta.index);
    let snapshot_index = snapshot_index.unwrap_or_default();
    drop_compacted_entries(&mut replay, snapshot_index)?;
    let newest = segment_name(replay.start.segment);
    let mut file = disk.open(&newest).map_err(StorageError::disk(&newest))?;
    let torn_tail = truncate_torn_tail(&mut disk, &mut file, &newest, &replay)?;
    remove_obsolete_files(&mut disk, &folder, &replay.start)?;
    let restored = RestoredState {
        hard_state: replay.hard_state.clone(),
        snapshot,
        entries: std::mem::take(&mut replay.entries),
        torn_tail,
    };
    let last = restored
        .entries
        .last()
        .map_or(snapshot_index, |entry| entry.index);
    let identity = replay.start.identity.clone();
    let storage = ReplicaStorage::resume(disk, file, replay, snapshot_index, last);
    Ok(Opened::Present {
        storage,
        identity,
        restored,
    })
}

fn read_identity<D: Disk>(disk: &D) -> Result<FixedIdentity, StorageError> {
    let bytes = disk
        .read(IDENTITY_FILE, MAX_IDENTITY_FILE_BYTES)
        .map_err(StorageError::required(IDENTITY_FILE))?;
    let frame = read_frame(IDENTITY_FILE, &bytes, 0, FrameKind::Identity)?;
    if frame.end != bytes.len() {
        let offset = frame.end as u64;
        return Err(StorageError::damaged(
            IDENTITY_FILE,
            offset,
            Damage::TrailingBytes,
        ));
    }
    record::decode(IDENTITY_FILE, 0, frame.body)
}

fn check_identity(
    stored_identity: &FixedIdentity,
    start: &SegmentStart,
) -> Result<(), StorageError> {
    let identity = &start.identity;
    if stored_identity.replica != identity.replica || stored_identity.group != identity.group {
        return Err(StorageError::damaged(IDENTITY_FILE, 0, Damage::Mismatch));
    }
    Ok(())
}

fn read_snapshot<D: Disk>(
    disk: &D,
    start: &SegmentStart,
) -> Result<Option<Snapshot>, StorageError> {
    start
        .snapshot
        .map(|segment| snapshot_file::read(disk, segment))
        .transpose()
}

fn drop_compacted_entries(
    replay: &mut Replay,
    snapshot_index: LogIndex,
) -> Result<(), StorageError> {
    replay.entries.retain(|entry| entry.index > snapshot_index);
    match replay.entries.first() {
        Some(entry) if entry.index.0 != snapshot_index.0 + 1 => {
            let name = segment_name(replay.start.oldest_segment);
            Err(StorageError::damaged(&name, 0, Damage::EntryGap))
        }
        _ => Ok(()),
    }
}

fn truncate_torn_tail<D: Disk>(
    disk: &mut D,
    file: &mut D::File,
    name: &str,
    replay: &Replay,
) -> Result<Option<TornTail>, StorageError> {
    let end = replay.end;
    if end.torn_bytes == 0 {
        return Ok(None);
    }
    disk.truncate(file, end.length)
        .map_err(StorageError::disk(name))?;
    disk.sync(file).map_err(StorageError::disk(name))?;
    Ok(Some(TornTail {
        file: name.to_owned(),
        offset: end.length,
        bytes: end.torn_bytes,
    }))
}

fn remove_obsolete_files<D: Disk>(
    disk: &mut D,
    folder: &Folder,
    start: &SegmentStart,
) -> Result<(), StorageError> {
    let is_obsolete = |name: &&String| match parse_name(name) {
        Some(StorageFile::Temporary) => true,
        Some(StorageFile::Segment(segment)) => segment < start.oldest_segment,
        Some(StorageFile::Snapshot(segment)) => Some(segment) != start.snapshot,
        _ => false,
    };
    remove_all(disk, folder.names.iter().filter(is_obsolete))
}

fn remove_all<'a, D: Disk>(
    disk: &mut D,
    names: impl Iterator<Item = &'a String>,
) -> Result<(), StorageError> {
    for name in names {
        disk.remove(name).map_err(StorageError::disk(name))?;
    }
    Ok(())
}
