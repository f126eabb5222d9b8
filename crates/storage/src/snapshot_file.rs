//! Snapshot files: one frame with the metadata of the snapshot, one frame with its data.

use grebepin_schema::SnapshotMeta;

use crate::disk::Disk;
use crate::error::{Damage, StorageError};
use crate::frame::{self, Frame, FrameError, FrameKind};
use crate::record::{self, Snapshot};
use crate::segment::{snapshot_name, write_file, FileFrame};

/// Largest size of the data of a snapshot in bytes.
pub(crate) const MAX_SNAPSHOT_BYTES: u64 = 1 << 30;
const MAX_META_BYTES: u64 = 1 << 20;
const MAX_FILE_BYTES: u64 =
    MAX_SNAPSHOT_BYTES + MAX_META_BYTES + 2 * frame::FRAME_OVERHEAD_BYTES as u64;

/// Writes the snapshot that `segment` will refer to. It is durable on return.
pub(crate) fn write<D: Disk>(
    disk: &mut D,
    segment: u64,
    meta: &SnapshotMeta,
    data: &[u8],
) -> Result<(), StorageError> {
    let encoded = record::encode(meta)?;
    check_size(encoded.len(), MAX_META_BYTES)?;
    check_size(data.len(), MAX_SNAPSHOT_BYTES)?;
    let frame = |kind, body| FileFrame {
        kind,
        number: segment,
        body,
    };
    let frames = [
        frame(FrameKind::SnapshotMeta, &encoded[..]),
        frame(FrameKind::SnapshotData, data),
    ];
    write_file(disk, &snapshot_name(segment), &frames)?;
    Ok(())
}

/// Reads the snapshot that `segment` refers to.
pub(crate) fn read<D: Disk>(disk: &D, segment: u64) -> Result<Snapshot, StorageError> {
    let name = snapshot_name(segment);
    let mut bytes = disk
        .read(&name, MAX_FILE_BYTES)
        .map_err(StorageError::required(&name))?;
    let meta_frame = read_frame(&name, &bytes, 0, FrameKind::SnapshotMeta)?;
    let meta = record::decode(&name, 0, meta_frame.body)?;
    let data_start = meta_frame.end;
    let data_frame = read_frame(&name, &bytes, data_start, FrameKind::SnapshotData)?;
    let end = data_frame.end;
    if meta_frame.number != segment || data_frame.number != segment {
        return Err(StorageError::damaged(&name, 0, Damage::Mismatch));
    }
    if end != bytes.len() {
        return Err(StorageError::damaged(
            &name,
            end as u64,
            Damage::TrailingBytes,
        ));
    }
    let data_bytes = data_frame.body.len();
    bytes.truncate(end - 1);
    bytes.drain(..end - 1 - data_bytes);
    Ok((meta, bytes))
}

/// Reads a frame of a file that was written atomically, so that any invalid frame is damage.
pub(crate) fn read_frame<'a>(
    name: &str,
    bytes: &'a [u8],
    offset: usize,
    kind: FrameKind,
) -> Result<Frame<'a>, StorageError> {
    frame::read(bytes, offset, kind)
        .map_err(|fault| StorageError::damaged(name, offset as u64, damage_from(fault)))
}

pub(crate) fn damage_from(fault: FrameError) -> Damage {
    match fault {
        FrameError::Truncated => Damage::Truncated,
        FrameError::Header => Damage::Header,
        FrameError::Body { .. } => Damage::Body,
    }
}

fn check_size(bytes: usize, limit: u64) -> Result<(), StorageError> {
    let bytes = bytes as u64;
    if bytes > limit {
        return Err(StorageError::TooLarge { bytes, limit });
    }
    Ok(())
}
