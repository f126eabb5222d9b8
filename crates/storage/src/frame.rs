//! Framing of records in files: a header with checksums, the body, and a terminator byte.
//!
//! Invariant: reading arbitrary bytes yields a frame or an error and allocates no memory. A frame starts and
//! ends with a nonzero byte, so that sectors that were never written can be distinguished from damaged ones.

use std::ops::Range;

const MAGIC: [u8; 3] = *b"GBP";
const TERMINATOR: u8 = 0xff;
const HEADER_BYTES: usize = 24;
const CHECKSUMMED_HEADER_BYTES: usize = 20;

/// Number of bytes that a disk writes atomically.
pub(crate) const SECTOR_BYTES: usize = 512;

/// Size of a frame in bytes without its body.
pub(crate) const FRAME_OVERHEAD_BYTES: usize = HEADER_BYTES + 1;

/// Kind of record that a frame contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FrameKind {
    /// First frame of a log segment.
    SegmentStart,
    /// A batch of the log.
    Batch,
    /// Metadata of a snapshot.
    SnapshotMeta,
    /// Data of a snapshot.
    SnapshotData,
    /// Identity of the replica.
    Identity,
}

impl FrameKind {
    fn tag(self) -> u8 {
        match self {
            Self::SegmentStart => b'L',
            Self::Batch => b'B',
            Self::SnapshotMeta => b'M',
            Self::SnapshotData => b'D',
            Self::Identity => b'I',
        }
    }
}

/// A frame that was read.
pub(crate) struct Frame<'a> {
    /// Record number in a log segment, segment number in a snapshot file, 0 in the identity file.
    pub number: u64,
    pub body: &'a [u8],
    /// Offset of the first byte after the frame.
    pub end: usize,
}

/// Why there is no valid frame at an offset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FrameError {
    /// The bytes end within the header, or after a valid header within the body or the terminator.
    Truncated,
    /// The header has a wrong magic number, kind or checksum.
    Header,
    /// The body does not match its checksum, or the terminator is missing. The frame would end at `end`.
    Body { end: usize },
}

/// Encodes the header of a frame with this body. The caller writes the header, the body and [`terminator`].
pub(crate) fn header(kind: FrameKind, number: u64, body: &[u8]) -> [u8; HEADER_BYTES] {
    let mut header = [0; HEADER_BYTES];
    header[..3].copy_from_slice(&MAGIC);
    header[3] = kind.tag();
    header[4..8].copy_from_slice(&(body.len() as u32).to_be_bytes());
    header[8..16].copy_from_slice(&number.to_be_bytes());
    header[16..20].copy_from_slice(&crc32fast::hash(body).to_be_bytes());
    let checksum = crc32fast::hash(&header[..CHECKSUMMED_HEADER_BYTES]);
    header[20..].copy_from_slice(&checksum.to_be_bytes());
    header
}

/// The byte that ends each frame.
pub(crate) fn terminator() -> [u8; 1] {
    [TERMINATOR]
}

/// Encodes a frame into one buffer.
pub(crate) fn encode(kind: FrameKind, number: u64, body: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(FRAME_OVERHEAD_BYTES + body.len());
    bytes.extend_from_slice(&header(kind, number, body));
    bytes.extend_from_slice(body);
    bytes.extend_from_slice(&terminator());
    bytes
}

/// Reads the frame of `kind` that starts at `offset`.
pub(crate) fn read(bytes: &[u8], offset: usize, kind: FrameKind) -> Result<Frame<'_>, FrameError> {
    let rest = bytes.get(offset..).unwrap_or_default();
    let header = rest.get(..HEADER_BYTES).ok_or(FrameError::Truncated)?;
    if header[..3] != MAGIC || header[3] != kind.tag() {
        return Err(FrameError::Header);
    }
    let checksum = crc32fast::hash(&header[..CHECKSUMMED_HEADER_BYTES]);
    if read_integer(header, 20..24) != u64::from(checksum) {
        return Err(FrameError::Header);
    }
    let length = read_integer(header, 4..8) as usize;
    let whole = rest
        .get(..HEADER_BYTES + length + 1)
        .ok_or(FrameError::Truncated)?;
    let end = offset + whole.len();
    let body = &whole[HEADER_BYTES..HEADER_BYTES + length];
    let body_matches = read_integer(header, 16..20) == u64::from(crc32fast::hash(body));
    if !body_matches || whole[HEADER_BYTES + length] != TERMINATOR {
        return Err(FrameError::Body { end });
    }
    Ok(Frame {
        number: read_integer(header, 8..16),
        body,
        end,
    })
}

/// Whether any valid frame of `kind` starts after `offset`.
pub(crate) fn has_frame_after(bytes: &[u8], offset: usize, kind: FrameKind) -> bool {
    let start = offset + 1;
    let rest = bytes.get(start..).unwrap_or_default();
    rest.windows(MAGIC.len())
        .enumerate()
        .filter(|(_, window)| *window == MAGIC)
        .any(|(position, _)| read(bytes, start + position, kind).is_ok())
}

/// Whether the part of `range` in any sector contains only zeros, as in a sector that was never written.
pub(crate) fn has_unwritten_sector(bytes: &[u8], range: Range<usize>) -> bool {
    let mut start = range.start;
    while start < range.end {
        let end = (start / SECTOR_BYTES + 1) * SECTOR_BYTES;
        let part = &bytes[start..end.min(range.end)];
        if part.iter().all(|&byte| byte == 0) {
            return true;
        }
        start = end;
    }
    false
}

fn read_integer(header: &[u8], range: Range<usize>) -> u64 {
    header[range]
        .iter()
        .fold(0, |value, &byte| value << 8 | u64::from(byte))
}
