//! Names of files, and writing a whole file so that it is there in full or not at all.

use crate::disk::Disk;
use crate::error::StorageError;
use crate::frame::{self, FrameKind};
use crate::record::{self, SegmentStart};

/// Exists while a new folder is being filled; a folder that has it was never used.
pub(crate) const CREATING_FILE: &str = "creating";
/// Holds the part of the identity that never changes.
pub(crate) const IDENTITY_FILE: &str = "identity";

const SEGMENT_PREFIX: &str = "log-";
const SNAPSHOT_PREFIX: &str = "snapshot-";
const TEMPORARY_SUFFIX: &str = ".tmp";
const NUMBER_DIGITS: usize = 16;

/// Name of a log segment.
pub(crate) fn segment_name(segment: u64) -> String {
    format!("{SEGMENT_PREFIX}{segment:016x}")
}

/// Name of the snapshot that was written for a segment.
pub(crate) fn snapshot_name(segment: u64) -> String {
    format!("{SNAPSHOT_PREFIX}{segment:016x}")
}

/// A file of storage, by its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum KnownFile {
    Creating,
    Identity,
    Segment(u64),
    Snapshot(u64),
    Temporary,
}

/// What a name stands for; `None` for a file that is none of storage's.
pub(crate) fn parse_name(name: &str) -> Option<KnownFile> {
    match name {
        CREATING_FILE => return Some(KnownFile::Creating),
        IDENTITY_FILE => return Some(KnownFile::Identity),
        _ => {}
    }
    if let Some(base) = name.strip_suffix(TEMPORARY_SUFFIX) {
        return parse_name(base).map(|_| KnownFile::Temporary);
    }
    if let Some(digits) = name.strip_prefix(SEGMENT_PREFIX) {
        return parse_number(digits).map(KnownFile::Segment);
    }
    let digits = name.strip_prefix(SNAPSHOT_PREFIX)?;
    parse_number(digits).map(KnownFile::Snapshot)
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
    pub number: u64,
    pub body: &'a [u8],
}

/// Writes a file under a temporary name, syncs it and renames it; durable when it returns.
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
        for bytes in [&header[..], body, &frame::closing()] {
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

/// Starts a segment. Returns it, open, and its length in bytes.
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
