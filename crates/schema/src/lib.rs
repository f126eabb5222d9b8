//! Types of all messages and settings files, generated from `schema/*.json`, the framing of the internal
//! protocol, and size limits.
//!
//! Invariant: decoding never panics, and a frame longer than [`limits::MAX_FRAME_BYTES`] is rejected
//! before memory is allocated for it.

pub mod framing;
pub mod hashing;
#[rustfmt::skip]
mod generated;
pub mod limits;

pub use generated::*;

/// Opaque bytes, encoded as a single binary value in MessagePack.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct Bytes(#[serde(with = "serde_bytes")] pub Vec<u8>);

impl From<Vec<u8>> for Bytes {
    fn from(bytes: Vec<u8>) -> Self {
        Self(bytes)
    }
}
