//! Message bodies: with a length, chunked, or delimited by the end of the connection.
//!
//! Invariant: a body is charged as soon as its length is known, before its bytes come, so that one that begins is not
//! ended later for those that began after it.

use super::message_body::Body;
use crate::memory::MemoryCharge;

/// Longest line of a chunk size or a trailer.
const MAX_LINE_BYTES: usize = 4_096;

/// Largest size of all lines of a trailer. They are dropped, and without a limit a sender could keep its receiver busy
/// for ever.
const MAX_TRAILER_BYTES: usize = 64 << 10;

/// Bytes by which the buffer of a body of unknown length grows at least, and the fraction of its length by which it grows
/// otherwise. A buffer that doubled would take up to twice the body.
const MIN_GROWTH_BYTES: usize = 1 << 10;
const GROWTH_DIVISOR: usize = 4;

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The body has this many bytes.
    Length(u64),
    /// The body ends with the last chunk.
    Chunked,
    /// The body ends with the connection.
    UntilClose,
}

/// Why a body is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// The body is longer than the limit.
    #[error("body is over the limit")]
    TooLong,
    /// A chunk is malformed.
    #[error("malformed chunk")]
    MalformedChunk,
}

/// Part of a chunked body that is expected next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Chunk {
    Size,
    Data(u64),
    DataEnd,
    Trailer,
}

/// Reads a body incrementally.
#[derive(Debug)]
pub struct BodyReader {
    framing: Framing,
    chunk: Chunk,
    limit: u64,
    trailer_bytes: usize,
    /// The part of the body that was read so far.
    body: Vec<u8>,
    /// The memory that the message takes: its head, and its body, with the part that has not come if the length is known.
    charge: MemoryCharge,
    head_bytes: usize,
}

impl BodyReader {
    /// Creates a reader of a body of at most `limit` bytes. The message, whose head takes `head_bytes`, is charged to
    /// `charge`.
    pub fn new(framing: Framing, limit: u64, charge: MemoryCharge, head_bytes: usize) -> Self {
        Self {
            framing,
            chunk: Chunk::Size,
            limit,
            trailer_bytes: 0,
            body: Vec::new(),
            charge,
            head_bytes,
        }
    }

    /// The body that was read.
    pub fn finish(self) -> Body {
        Body::new(self.body, self.charge)
    }

    /// Bytes that are charged for the message.
    pub fn charged_bytes(&self) -> usize {
        self.charge.bytes()
    }

    /// Consumes the bytes in the buffer that belong to the body; returns whether the body is complete.
    ///
    /// # Errors
    /// The body is too long or malformed; the connection is unusable.
    pub fn take(&mut self, buffer: &mut Vec<u8>) -> Result<bool, BodyError> {
        let is_complete = self.take_bytes(buffer);
        self.charge.set(self.head_bytes + self.body.capacity());
        is_complete
    }

    fn take_bytes(&mut self, buffer: &mut Vec<u8>) -> Result<bool, BodyError> {
        match self.framing {
            Framing::Length(length) if length > self.limit => Err(BodyError::TooLong),
            Framing::Length(length) => Ok(self.take_up_to(length, buffer)),
            Framing::UntilClose => {
                match self.body.is_empty() {
                    true => self.body = std::mem::take(buffer),
                    false => self.append(buffer),
                }
                buffer.clear();
                self.check_length()?;
                Ok(false)
            }
            Framing::Chunked => self.take_chunks(buffer),
        }
    }

    /// Whether the body is complete when the connection is closed in order.
    pub fn ends_with_connection(&self) -> bool {
        self.framing == Framing::UntilClose
    }

    fn check_length(&self) -> Result<(), BodyError> {
        match self.body.len() as u64 > self.limit {
            true => Err(BodyError::TooLong),
            false => Ok(()),
        }
    }

    fn take_up_to(&mut self, length: u64, buffer: &mut Vec<u8>) -> bool {
        let missing = length - self.body.len() as u64;
        let count = missing.min(buffer.len() as u64) as usize;
        if count as u64 == length && count == buffer.len() {
            self.body = std::mem::take(buffer);
        } else {
            // The system provides memory only for the part that has been written.
            self.body.reserve_exact(missing as usize);
            self.body.extend(buffer.drain(..count));
        }
        self.body.len() as u64 == length
    }

    /// Appends bytes to a body of unknown length.
    fn append(&mut self, bytes: &[u8]) {
        let needed = self.body.len() + bytes.len();
        if needed > self.body.capacity() {
            let growth = MIN_GROWTH_BYTES.max(self.body.len() / GROWTH_DIVISOR);
            self.body.reserve_exact(bytes.len().max(growth));
        }
        self.body.extend_from_slice(bytes);
    }

    fn take_chunks(&mut self, buffer: &mut Vec<u8>) -> Result<bool, BodyError> {
        let mut used = 0;
        let result = self.take_chunks_from(buffer, &mut used);
        buffer.drain(..used);
        result
    }

    fn take_chunks_from(&mut self, buffer: &[u8], used: &mut usize) -> Result<bool, BodyError> {
        loop {
            let rest = &buffer[*used..];
            match self.chunk {
                Chunk::Size => {
                    let Some(line) = take_line(rest, used)? else {
                        return Ok(false);
                    };
                    self.chunk = match chunk_size(line)? {
                        0 => Chunk::Trailer,
                        size => Chunk::Data(size),
                    };
                }
                Chunk::Data(size) => {
                    if rest.is_empty() {
                        return Ok(false);
                    }
                    let count = size.min(rest.len() as u64) as usize;
                    self.append(&rest[..count]);
                    self.check_length()?;
                    *used += count;
                    self.chunk = match size - count as u64 {
                        0 => Chunk::DataEnd,
                        left => Chunk::Data(left),
                    };
                }
                Chunk::DataEnd => {
                    let Some(line) = take_line(rest, used)? else {
                        return Ok(false);
                    };
                    if !line.is_empty() {
                        return Err(BodyError::MalformedChunk);
                    }
                    self.chunk = Chunk::Size;
                }
                Chunk::Trailer => {
                    let Some(line) = take_line(rest, used)? else {
                        return Ok(false);
                    };
                    if line.is_empty() {
                        return Ok(true);
                    }
                    self.trailer_bytes += line.len();
                    if self.trailer_bytes > MAX_TRAILER_BYTES {
                        return Err(BodyError::TooLong);
                    }
                }
            }
        }
    }
}

/// The first line without its line ending; `None` while it is incomplete. Adds the length of the line to
/// `used`.
fn take_line<'a>(bytes: &'a [u8], used: &mut usize) -> Result<Option<&'a [u8]>, BodyError> {
    let Some(end) = bytes.iter().position(|byte| *byte == b'\n') else {
        return match bytes.len() > MAX_LINE_BYTES {
            true => Err(BodyError::MalformedChunk),
            false => Ok(None),
        };
    };
    let Some(line) = bytes[..end].strip_suffix(b"\r") else {
        return Err(BodyError::MalformedChunk);
    };
    *used += end + 1;
    Ok(Some(line))
}

fn chunk_size(line: &[u8]) -> Result<u64, BodyError> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let text = std::str::from_utf8(digits).map_err(|_| BodyError::MalformedChunk)?;
    let text = text.trim_end_matches([' ', '\t']);
    let all_digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !all_digits || text.len() > 15 {
        return Err(BodyError::MalformedChunk);
    }
    u64::from_str_radix(text, 16).map_err(|_| BodyError::MalformedChunk)
}
