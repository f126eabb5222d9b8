//! Records in files: a header with checksums, then the body, then one closing byte.
//!
//! Invariant: reading any bytes gives a frame or a fault, and takes no memory. A frame starts and ends
//! with a byte that is not zero, so sectors that were never written can be told from damaged ones.

use std::ops::Range;

const MAGIC: [u8; 3] = *b"GBP";
const CLOSING_BYTE: u8 = 0xff;
const HEADER_BYTES: usize = 24;
const HEADER_CHECKED_BYTES: usize = 20;

/// Unit in which a disk writes whole or not at all.
pub(crate) const SECTOR_BYTES: usize = 512;

/// Bytes of a frame besides its body.
pub(crate) const FRAME_OVERHEAD_BYTES: usize = HEADER_BYTES + 1;

/// Kind of file that a frame belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FrameKind {
    /// First frame of a log segment.
    SegmentStart,
    /// A batch of the log.
    Batch,
    /// What a snapshot stands for.
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
    pub number: u64,
    pub body: &'a [u8],
    pub end: usize,
}

/// Why no frame stands at an offset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FrameFault {
    /// The bytes end within the header or within a body whose header is whole.
    Short,
    /// The header does not match its checksum or is of another kind.
    Header,
    /// The body does not match its checksum; the frame would take this range.
    Body { end: usize },
}

/// The header of a frame with this body; the caller writes header, body and [`closing`].
pub(crate) fn header(kind: FrameKind, number: u64, body: &[u8]) -> [u8; HEADER_BYTES] {
    let mut header = [0; HEADER_BYTES];
    header[..3].copy_from_slice(&MAGIC);
    header[3] = kind.tag();
    header[4..8].copy_from_slice(&(body.len() as u32).to_be_bytes());
    header[8..16].copy_from_slice(&number.to_be_bytes());
    header[16..20].copy_from_slice(&crc32fast::hash(body).to_be_bytes());
    let checksum = crc32fast::hash(&header[..HEADER_CHECKED_BYTES]);
    header[20..].copy_from_slice(&checksum.to_be_bytes());
    header
}

/// The byte that closes each frame.
pub(crate) fn closing() -> [u8; 1] {
    [CLOSING_BYTE]
}

/// A whole frame in one buffer.
pub(crate) fn encode(kind: FrameKind, number: u64, body: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(FRAME_OVERHEAD_BYTES + body.len());
    bytes.extend_from_slice(&header(kind, number, body));
    bytes.extend_from_slice(body);
    bytes.extend_from_slice(&closing());
    bytes
}

/// Reads the frame of `kind` that starts at `offset`.
pub(crate) fn read(bytes: &[u8], offset: usize, kind: FrameKind) -> Result<Frame<'_>, FrameFault> {
    let rest = bytes.get(offset..).unwrap_or_default();
    let header = rest.get(..HEADER_BYTES).ok_or(FrameFault::Short)?;
    if header[..3] != MAGIC || header[3] != kind.tag() {
        return Err(FrameFault::Header);
    }
    let checksum = crc32fast::hash(&header[..HEADER_CHECKED_BYTES]);
    if field(header, 20..24) != u64::from(checksum) {
        return Err(FrameFault::Header);
    }
    let length = field(header, 4..8) as usize;
    let whole = rest
        .get(..HEADER_BYTES + length + 1)
        .ok_or(FrameFault::Short)?;
    let end = offset + whole.len();
    let body = &whole[HEADER_BYTES..HEADER_BYTES + length];
    let body_matches = field(header, 16..20) == u64::from(crc32fast::hash(body));
    if !body_matches || whole[HEADER_BYTES + length] != CLOSING_BYTE {
        return Err(FrameFault::Body { end });
    }
    Ok(Frame {
        number: field(header, 8..16),
        body,
        end,
    })
}

/// Whether any whole frame of `kind` starts after `offset`.
pub(crate) fn any_after(bytes: &[u8], offset: usize, kind: FrameKind) -> bool {
    let start = offset + 1;
    let rest = bytes.get(start..).unwrap_or_default();
    rest.windows(MAGIC.len())
        .enumerate()
        .filter(|(_, window)| *window == MAGIC)
        .any(|(position, _)| read(bytes, start + position, kind).is_ok())
}

/// Whether some sector's part of `range` holds only zeros, as a sector never written does.
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

fn field(header: &[u8], range: Range<usize>) -> u64 {
    header[range]
        .iter()
        .fold(0, |value, &byte| value << 8 | u64::from(byte))
}
