//! Frames between daemons: a length of four bytes in big-endian order, then a MessagePack value.

use serde::de::DeserializeOwned;
use serde::Serialize;

const PREFIX_BYTES: usize = 4;

/// Largest frame that is sent or accepted, in bytes.
pub const MAX_FRAME_BYTES: usize = 64 << 20;

/// Why a frame can't be encoded or decoded.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The frame is larger than [`MAX_FRAME_BYTES`].
    #[error("frame of {bytes} bytes is over the limit of {MAX_FRAME_BYTES}")]
    TooLong {
        /// Length of the frame.
        bytes: usize,
    },
    /// The bytes do not decode to the expected type.
    #[error("frame does not decode: {0}")]
    Decode(#[from] rmp_serde::decode::Error),
    /// The value can't be encoded.
    #[error("value does not encode: {0}")]
    Encode(#[from] rmp_serde::encode::Error),
}

/// Appends a value as a frame.
///
/// # Errors
/// The value can't be encoded or is too large. Nothing is appended in this case.
pub fn encode_frame<T: Serialize>(value: &T, out: &mut Vec<u8>) -> Result<(), FrameError> {
    let start = out.len();
    out.extend_from_slice(&[0; PREFIX_BYTES]);
    if let Err(error) = rmp_serde::encode::write(out, value) {
        out.truncate(start);
        return Err(error.into());
    }
    let bytes = out.len() - start - PREFIX_BYTES;
    if bytes > MAX_FRAME_BYTES {
        out.truncate(start);
        return Err(FrameError::TooLong { bytes });
    }
    out[start..start + PREFIX_BYTES].copy_from_slice(&(bytes as u32).to_be_bytes());
    Ok(())
}

/// Removes the first frame from a buffer and decodes it; `None` while it is incomplete.
///
/// # Errors
/// The frame is too large or does not decode; the connection is unusable.
pub fn take_frame<T: DeserializeOwned>(buffer: &mut Vec<u8>) -> Result<Option<T>, FrameError> {
    let Some(prefix) = buffer.first_chunk::<PREFIX_BYTES>() else {
        return Ok(None);
    };
    let bytes = u32::from_be_bytes(*prefix) as usize;
    if bytes > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong { bytes });
    }
    let end = PREFIX_BYTES + bytes;
    if buffer.len() < end {
        return Ok(None);
    }
    let value = decode_frame(&buffer[PREFIX_BYTES..end])?;
    buffer.drain(..end);
    Ok(Some(value))
}

/// Decodes the value of a frame, without the length prefix.
///
/// # Errors
/// The bytes do not decode to the expected type.
pub fn decode_frame<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, FrameError> {
    Ok(rmp_serde::from_slice(bytes)?)
}
