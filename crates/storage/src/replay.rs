//! Reads the log's segments back.
//!
//! Invariant: only the end of the newest segment may be cut, and only where a write was under way; any
//! other fault is damage, since it stands where bytes were synced.

use std::collections::BTreeSet;

use grebepin_schema::{Entry, HardState, LogIndex};

use crate::disk::Disk;
use crate::error::{Damage, StorageError};
use crate::frame::{self, Frame, FrameFault, FrameKind};
use crate::record::{self, Batch, SegmentStart};
use crate::segment::segment_name;
use crate::snapshot_file::{damage_of, read_frame};

/// Largest encoded batch in bytes.
pub(crate) const MAXIMUM_BATCH_BYTES: u64 = 256 << 20;
/// Largest size in bytes at which a segment still takes a batch.
pub(crate) const MAXIMUM_SEGMENT_BYTES: u64 = 64 << 20;
const MAXIMUM_FILE_BYTES: u64 =
    MAXIMUM_SEGMENT_BYTES + MAXIMUM_BATCH_BYTES + frame::FRAME_OVERHEAD_BYTES as u64;

/// A segment that counts.
#[derive(Clone, Debug)]
pub(crate) struct SegmentInfo {
    pub segment: u64,
    /// Highest index of any entry in it, also of entries cut later.
    pub highest: Option<LogIndex>,
}

impl SegmentInfo {
    pub(crate) fn new(segment: u64) -> Self {
        Self {
            segment,
            highest: None,
        }
    }
}

/// Where the newest segment ends.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LogEnd {
    /// Bytes that count.
    pub length: u64,
    /// Bytes after them, of a write that a crash cut.
    pub torn_bytes: u64,
}

/// The log as read.
pub(crate) struct Replay {
    /// First record of the newest segment.
    pub start: SegmentStart,
    pub segments: Vec<SegmentInfo>,
    pub hard_state: HardState,
    /// All entries, also those that a snapshot covers.
    pub entries: Vec<Entry>,
    pub last_number: u64,
    pub end: LogEnd,
}

/// Reads every segment that counts, of those that exist.
pub(crate) fn replay<D: Disk>(disk: &D, existing: &BTreeSet<u64>) -> Result<Replay, StorageError> {
    let Some(&newest) = existing.last() else {
        let name = segment_name(1);
        return Err(StorageError::damaged(&name, 0, Damage::Missing));
    };
    let mut bytes = read_file(disk, newest)?;
    let start = read_start(newest, &bytes)?.0;
    let mut reader = Reader::new(&start);
    for segment in start.oldest_segment..newest {
        reader.read_segment(segment, &read_file(disk, segment)?, false)?;
    }
    let end = reader.read_segment(newest, &bytes, true)?;
    bytes.clear();
    Ok(Replay {
        segments: reader.segments,
        hard_state: reader.hard_state,
        entries: reader.entries,
        last_number: reader.last_number.unwrap_or(0),
        end,
        start,
    })
}

fn read_file<D: Disk>(disk: &D, segment: u64) -> Result<Vec<u8>, StorageError> {
    let name = segment_name(segment);
    disk.read(&name, MAXIMUM_FILE_BYTES)
        .map_err(StorageError::required(&name))
}

fn read_start(segment: u64, bytes: &[u8]) -> Result<(SegmentStart, Frame<'_>), StorageError> {
    let name = segment_name(segment);
    let frame = read_frame(&name, bytes, 0, FrameKind::SegmentStart)?;
    let start: SegmentStart = record::decode(&name, 0, frame.body)?;
    if start.segment != segment || start.oldest_segment > segment {
        return Err(StorageError::damaged(&name, 0, Damage::Mismatch));
    }
    Ok((start, frame))
}

struct Reader<'a> {
    newest: &'a SegmentStart,
    segments: Vec<SegmentInfo>,
    hard_state: HardState,
    entries: Vec<Entry>,
    last_number: Option<u64>,
}

impl<'a> Reader<'a> {
    fn new(newest: &'a SegmentStart) -> Self {
        Self {
            newest,
            segments: Vec::new(),
            hard_state: newest.hard_state.clone(),
            entries: Vec::new(),
            last_number: None,
        }
    }

    fn read_segment(
        &mut self,
        segment: u64,
        bytes: &[u8],
        may_be_torn: bool,
    ) -> Result<LogEnd, StorageError> {
        let name = segment_name(segment);
        let (start, frame) = read_start(segment, bytes)?;
        self.check_start(&name, &start, frame.number)?;
        self.hard_state = start.hard_state;
        self.segments.push(SegmentInfo::new(segment));
        let mut offset = frame.end;
        while offset < bytes.len() {
            match frame::read(bytes, offset, FrameKind::Batch) {
                Ok(frame) => offset = self.take_batch(&name, offset, &frame)?,
                Err(fault) if may_be_torn && is_torn(bytes, offset, fault) => break,
                Err(fault) => {
                    return Err(StorageError::damaged(
                        &name,
                        offset as u64,
                        damage_of(fault),
                    ))
                }
            }
        }
        Ok(LogEnd {
            length: offset as u64,
            torn_bytes: (bytes.len() - offset) as u64,
        })
    }

    fn check_start(
        &mut self,
        name: &str,
        start: &SegmentStart,
        number: u64,
    ) -> Result<(), StorageError> {
        let same_replica = start.identity.replica == self.newest.identity.replica;
        if !same_replica || start.identity.group != self.newest.identity.group {
            return Err(StorageError::damaged(name, 0, Damage::Mismatch));
        }
        self.take_number(name, 0, number)
    }

    fn take_number(&mut self, name: &str, offset: usize, number: u64) -> Result<(), StorageError> {
        let follows = self
            .last_number
            .is_none_or(|last| last.checked_add(1) == Some(number));
        if !follows {
            return Err(StorageError::damaged(name, offset as u64, Damage::Sequence));
        }
        self.last_number = Some(number);
        Ok(())
    }

    fn take_batch(
        &mut self,
        name: &str,
        offset: usize,
        frame: &Frame<'_>,
    ) -> Result<usize, StorageError> {
        self.take_number(name, offset, frame.number)?;
        let batch: Batch = record::decode(name, offset, frame.body)?;
        if let Some(hard_state) = batch.hard_state {
            self.hard_state = hard_state;
        }
        for entry in batch.entries {
            self.take_entry(name, offset, entry)?;
        }
        Ok(frame.end)
    }

    fn take_entry(&mut self, name: &str, offset: usize, entry: Entry) -> Result<(), StorageError> {
        if let Some(info) = self.segments.last_mut() {
            info.highest = info.highest.max(Some(entry.index));
        }
        let first = self
            .entries
            .first()
            .map_or(entry.index.0, |first| first.index.0);
        let position = entry.index.0.saturating_sub(first) as usize;
        if position > self.entries.len() || entry.index.0 == 0 {
            return Err(StorageError::damaged(name, offset as u64, Damage::EntryGap));
        }
        self.entries.truncate(position);
        self.entries.push(entry);
        Ok(())
    }
}

/// Whether a fault in the newest segment is a write that a crash cut: the file ends within it, or some
/// sector of it was never written, and nothing that was written later follows.
fn is_torn(bytes: &[u8], offset: usize, fault: FrameFault) -> bool {
    let end = match fault {
        FrameFault::Short => return true,
        FrameFault::Header => bytes.len(),
        FrameFault::Body { end } => end,
    };
    let search_from = match fault {
        FrameFault::Body { end } => end - 1,
        _ => offset,
    };
    frame::has_unwritten_sector(bytes, offset..end)
        && !frame::any_after(bytes, search_from, FrameKind::Batch)
}
