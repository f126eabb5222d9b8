//! Reads the segments of the log.
//!
//! Invariant: only an unfinished write at the end of the newest segment is removed. Every other invalid
//! record is reported as damage, because it lies within bytes that were synced.

use std::collections::BTreeSet;

use grebepin_schema::{Entry, HardState, LogIndex};

use crate::disk::Disk;
use crate::error::{Damage, StorageError};
use crate::frame::{self, Frame, FrameError, FrameKind};
use crate::record::{self, Batch, SegmentStart};
use crate::segment::segment_name;
use crate::snapshot_file::{damage_from, read_frame};

/// Largest encoded batch in bytes.
pub(crate) const MAX_BATCH_BYTES: u64 = 256 << 20;
/// Upper bound in bytes of the segment size limit: a larger segment accepts no further batch.
pub(crate) const MAX_SEGMENT_BYTES: u64 = 64 << 20;
const MAX_FILE_BYTES: u64 =
    MAX_SEGMENT_BYTES + MAX_BATCH_BYTES + frame::FRAME_OVERHEAD_BYTES as u64;

/// A segment of the current log.
#[derive(Clone, Debug)]
pub(crate) struct SegmentInfo {
    pub segment: u64,
    /// Highest index of any entry in the segment, including entries that were replaced later.
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

/// End of the valid records of a segment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LogEnd {
    /// Length of the valid records in bytes.
    pub length: u64,
    /// Number of bytes of an unfinished write after them.
    pub torn_bytes: u64,
}

/// The log and the state restored from its segments.
pub(crate) struct Replay {
    /// First record of the newest segment.
    pub start: SegmentStart,
    pub segments: Vec<SegmentInfo>,
    pub hard_state: HardState,
    /// All entries, including those that the snapshot covers.
    pub entries: Vec<Entry>,
    pub last_record_number: u64,
    pub end: LogEnd,
}

/// Reads the segments from the oldest that the newest one refers to up to the newest of `existing`.
pub(crate) fn replay<D: Disk>(disk: &D, existing: &BTreeSet<u64>) -> Result<Replay, StorageError> {
    let Some(&newest) = existing.last() else {
        let name = segment_name(1);
        return Err(StorageError::damaged(&name, 0, Damage::Missing));
    };
    let mut bytes = read_file(disk, newest)?;
    let start = read_start(newest, &bytes)?.0;
    let mut reader = LogReader::new(&start);
    for segment in start.oldest_segment..newest {
        reader.read_segment(segment, &read_file(disk, segment)?, false)?;
    }
    let end = reader.read_segment(newest, &bytes, true)?;
    bytes.clear();
    Ok(Replay {
        segments: reader.segments,
        hard_state: reader.hard_state,
        entries: reader.entries,
        last_record_number: reader.last_record_number.unwrap_or(0),
        end,
        start,
    })
}

fn read_file<D: Disk>(disk: &D, segment: u64) -> Result<Vec<u8>, StorageError> {
    let name = segment_name(segment);
    disk.read(&name, MAX_FILE_BYTES)
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

struct LogReader<'a> {
    newest: &'a SegmentStart,
    segments: Vec<SegmentInfo>,
    hard_state: HardState,
    entries: Vec<Entry>,
    last_record_number: Option<u64>,
}

impl<'a> LogReader<'a> {
    fn new(newest: &'a SegmentStart) -> Self {
        Self {
            newest,
            segments: Vec::new(),
            hard_state: newest.hard_state.clone(),
            entries: Vec::new(),
            last_record_number: None,
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
                Ok(frame) => offset = self.read_batch(&name, offset, &frame)?,
                Err(fault) if may_be_torn && is_torn(bytes, offset, fault) => break,
                Err(fault) => {
                    return Err(StorageError::damaged(
                        &name,
                        offset as u64,
                        damage_from(fault),
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
        self.check_record_number(name, 0, number)
    }

    fn check_record_number(
        &mut self,
        name: &str,
        offset: usize,
        number: u64,
    ) -> Result<(), StorageError> {
        let follows = self
            .last_record_number
            .is_none_or(|last| last.checked_add(1) == Some(number));
        if !follows {
            return Err(StorageError::damaged(
                name,
                offset as u64,
                Damage::OutOfSequence,
            ));
        }
        self.last_record_number = Some(number);
        Ok(())
    }

    fn read_batch(
        &mut self,
        name: &str,
        offset: usize,
        frame: &Frame<'_>,
    ) -> Result<usize, StorageError> {
        self.check_record_number(name, offset, frame.number)?;
        let batch: Batch = record::decode(name, offset, frame.body)?;
        if let Some(hard_state) = batch.hard_state {
            self.hard_state = hard_state;
        }
        for entry in batch.entries {
            self.append_entry(name, offset, entry)?;
        }
        Ok(frame.end)
    }

    fn append_entry(
        &mut self,
        name: &str,
        offset: usize,
        entry: Entry,
    ) -> Result<(), StorageError> {
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

/// Whether an invalid record in the newest segment is an unfinished write: the file ends within the record,
/// or one of its sectors was never written and no record that was written later follows.
fn is_torn(bytes: &[u8], offset: usize, fault: FrameError) -> bool {
    let end = match fault {
        FrameError::Truncated => return true,
        FrameError::Header => bytes.len(),
        FrameError::Body { end } => end,
    };
    let search_from = match fault {
        FrameError::Body { end } => end - 1,
        _ => offset,
    };
    frame::has_unwritten_sector(bytes, offset..end)
        && !frame::has_frame_after(bytes, search_from, FrameKind::Batch)
}
