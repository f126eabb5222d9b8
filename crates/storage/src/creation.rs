//! Creates the files of a replica in an empty folder.
//!
//! Invariant: the folder contains a marker, and counts as empty, until all files are durable.

use grebepin_schema::{HardState, LogIndex, Term};

use crate::disk::Disk;
use crate::error::StorageError;
use crate::frame::FrameKind;
use crate::record::{self, FixedIdentity, Identity, SegmentStart, Snapshot};
use crate::segment::{write_file, write_segment, FileFrame, CREATING_FILE, IDENTITY_FILE};
use crate::{snapshot_file, startup};

/// Number of the first record of the log.
pub(crate) const FIRST_RECORD_NUMBER: u64 = 0;
const FIRST_SEGMENT: u64 = 1;

/// Writes the identity, the initial snapshot and the first segment. Returns the open segment, its first
/// record and its length in bytes.
pub(crate) fn initialize<D: Disk>(
    disk: &mut D,
    identity: Identity,
    initial: Option<&Snapshot>,
) -> Result<(D::File, SegmentStart, u64), StorageError> {
    if !startup::clear_if_unused(disk)? {
        return Err(StorageError::NotEmpty);
    }
    write_file(disk, CREATING_FILE, &[])?;
    write_identity(disk, &identity)?;
    if let Some((meta, data)) = initial {
        snapshot_file::write(disk, FIRST_SEGMENT, meta, data)?;
    }
    let start = SegmentStart {
        segment: FIRST_SEGMENT,
        oldest_segment: FIRST_SEGMENT,
        identity,
        snapshot: initial.map(|_| FIRST_SEGMENT),
        hard_state: HardState {
            commit: LogIndex(0),
            term: Term(0),
            vote: None,
        },
    };
    let (file, length) = write_segment(disk, &start, FIRST_RECORD_NUMBER)?;
    disk.remove(CREATING_FILE)
        .map_err(StorageError::disk(CREATING_FILE))?;
    disk.sync_dir().map_err(StorageError::disk(""))?;
    Ok((file, start, length))
}

fn write_identity<D: Disk>(disk: &mut D, identity: &Identity) -> Result<(), StorageError> {
    let body = record::encode(&FixedIdentity {
        replica: identity.replica,
        group: identity.group,
    })?;
    let frame = FileFrame {
        kind: FrameKind::Identity,
        number: 0,
        body: &body,
    };
    write_file(disk, IDENTITY_FILE, &[frame])?;
    Ok(())
}
