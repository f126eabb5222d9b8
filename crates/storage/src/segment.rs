//! Names of files, and writing a file atomically.

use crate::disk::Disk;
use crate::error::StorageError;
use crate::frame::{self, FrameKind};
use crate::record::{self, SegmentStart};

/// Marker that exists while a replica is being created; a folder that contains it was never used.
pub(crate) const CREATING_FILE: &str = "creating";
/// File with the part of the identity that never changes.
pub(crate) const IDENTITY_FILE: &str = "identity";

const SEGMENT_PREFIX: &str = "log-";
const SNAPSHOT_PREFIX: &str = "snapshot-";
const TEMPORARY_SUFFIX: &str = ".tmp";
const NUMBER_DIGITS: usize = 16;

/// Name of a log segment.
pub(crate) fn segment_name(segment: u64) -> String {
    format!("{SEGMENT_PREFIX}{segment:016x}")
}

/// Name of the snapshot file that a segment refers to.
pub(crate) fn snapshot_name(segment: u64) -> String {
    format!("{SNAPSHOT_PREFIX}{segment:016x}")
}

/// A file that belongs to storage, classified by its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StorageFile {
    Creating,
    Identity,
    Segment(u64),
    Snapshot(u64),
    Temporary,
}

/// Classifies a file by its name; `None` if it does not belong to storage.
pub(crate) fn parse_name(name: &str) -> Option<StorageFile> {
    match name {
        CREATING_FILE => return Some(StorageFile::Creating),
        IDENTITY_FILE => return Some(StorageFile::Identity),
        _ => {}
    }
    if let Some(base) = name.strip_suffix(TEMPORARY_SUFFIX) {
        return parse_name(base).map(|_| StorageFile::Temporary);
    }
    if let Some(digits) = name.strip_prefix(SEGMENT_PREFIX) {
        return parse_number(digits).map(StorageFile::Segment);
    }
    let digits = name.strip_prefix(SNAPSHOT_PREFIX)?;
    parse_number(digits).map(StorageFile::Snapshot)
}

fn parse_number(digits: &str) -> Option<u64> {
    if digits.len() != NUMBER_DIGITS {
        return None;
    }
    u64::from_str_radix(digits, 16).ok()
}

/// One frame of a file to be written.
pub(crate) struct FileFrame<'a> {
    pub kind: FrameKind,
    /// Record number in a log segment, segment number in a snapshot file, 0 in the identity file.
    pub number: u64,
    pub body: &'a [u8],
}

/// Writes a file under a temporary name, syncs it and renames it. The file is durable on return.
pub(crate) fn write_file<D: Disk>(
    disk: &mut D,
    name: &str,
    frames: &[FileFrame<'_>],
) -> Result<D::File, StorageError> {
    let temporary = format!("{name}{TEMPORARY_SUFFIX}");
    let mut file = disk
        .create(&temporary)
        .map_err(StorageError::disk(&temporary))?;
    for FileFrame { kind, number, body } in frames {
        let header = frame::header(*kind, *number, body);
        for bytes in [&header[..], body, &frame::terminator()] {
            disk.append(&mut file, bytes)
                .map_err(StorageError::disk(&temporary))?;
        }
    }
    disk.sync(&mut file)
        .map_err(StorageError::disk(&temporary))?;
    disk.rename(&temporary, name)
        .map_err(StorageError::disk(name))?;
    disk.sync_dir().map_err(StorageError::disk(""))?;
    Ok(file)
}

/// Creates a segment. Returns the open file and its length in bytes.
pub(crate) fn write_segment<D: Disk>(
    disk: &mut D,
    start: &SegmentStart,
    number: u64,
) -> Result<(D::File, u64), StorageError> {
    let body = record::encode(start)?;
    let frame = FileFrame {
        kind: FrameKind::SegmentStart,
        number,
        body: &body,
    };
    let file = write_file(disk, &segment_name(start.segment), &[frame])?;
    let length = body.len() + frame::FRAME_OVERHEAD_BYTES;
    Ok((file, length as u64))
}
