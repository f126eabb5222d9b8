//! Frames of the internal protocol: a big-endian length of four bytes, followed by a MessagePack value.
//!
//! Invariant: a received frame longer than the limit is rejected before any memory is allocated for it.

use std::io::{Read, Write};

use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::limits::MAX_FRAME_BYTES;

const LENGTH_PREFIX_BYTES: usize = 4;

/// Error while a frame is read or written.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The connection failed, or was closed within the length prefix of a frame.
    #[error("connection failed: {0}")]
    Io(#[from] std::io::Error),
    /// The peer closed the connection between two frames, or within the body of a frame.
    #[error("connection closed by the peer")]
    Closed,
    /// The frame is longer than the limit.
    #[error("frame of {bytes} bytes is over the limit of {MAX_FRAME_BYTES}")]
    TooLong {
        /// Length of the frame in bytes, without its prefix.
        bytes: usize,
    },
    /// The bytes are not a value of the expected type.
    #[error("frame does not decode: {0}")]
    Decode(#[from] rmp_serde::decode::Error),
    /// The value could not be encoded.
    #[error("value does not encode: {0}")]
    Encode(#[from] rmp_serde::encode::Error),
}

/// Encodes a value as MessagePack with field names, so that fields can be added later.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, FrameError> {
    Ok(rmp_serde::to_vec_named(value)?)
}

/// Decodes a MessagePack value. Invalid bytes return an error and never cause a panic.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, FrameError> {
    if bytes.len() > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong { bytes: bytes.len() });
    }
    Ok(rmp_serde::from_slice(bytes)?)
}

/// Writes one frame and flushes the writer. Returns the size of the frame in bytes, including the prefix.
pub fn write_frame<T: Serialize>(writer: &mut impl Write, value: &T) -> Result<usize, FrameError> {
    let body = encode(value)?;
    if body.len() > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong { bytes: body.len() });
    }
    let mut frame = Vec::with_capacity(LENGTH_PREFIX_BYTES + body.len());
    frame.extend_from_slice(&(body.len() as u32).to_be_bytes());
    frame.extend_from_slice(&body);
    writer.write_all(&frame)?;
    writer.flush()?;
    Ok(frame.len())
}

/// Reads one frame.
///
/// # Errors
/// [`FrameError::Closed`] if the peer closed the connection before the first byte or within the body.
pub fn read_frame<T: DeserializeOwned>(reader: &mut impl Read) -> Result<T, FrameError> {
    let mut prefix = [0; LENGTH_PREFIX_BYTES];
    if reader.read(&mut prefix[..1])? == 0 {
        return Err(FrameError::Closed);
    }
    reader.read_exact(&mut prefix[1..])?;
    let length = u32::from_be_bytes(prefix) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong { bytes: length });
    }
    let mut body = Vec::new();
    reader.take(length as u64).read_to_end(&mut body)?;
    if body.len() < length {
        return Err(FrameError::Closed);
    }
    decode(&body)
}
