//! Types of every message and settings file, generated from `schema/*.json`, the framing of the
//! internal protocol, and the limits on sizes.
//!
//! Invariant: decoding never panics and never allocates more than the limit that the caller states.

pub mod framing;
pub mod hashing;
#[rustfmt::skip]
mod generated;
pub mod limits;

pub use generated::*;

/// Opaque bytes, encoded as one binary string by MessagePack.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct Bytes(#[serde(with = "serde_bytes")] pub Vec<u8>);

impl From<Vec<u8>> for Bytes {
    fn from(bytes: Vec<u8>) -> Self {
        Self(bytes)
    }
}
