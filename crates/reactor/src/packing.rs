//! Compression of long messages between daemons.

use std::io::{self, Read, Write};

use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use flate2::Compression;

/// Compresses bytes, for speed rather than for size.
///
/// # Errors
/// Never for bytes in memory; the library's interface allows it.
pub fn pack(bytes: &[u8]) -> io::Result<Vec<u8>> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(bytes)?;
    encoder.finish()
}

/// The bytes that were compressed, at most `limit` of them.
///
/// # Errors
/// The bytes are not compressed, or hold more than the limit.
pub fn unpack(packed: &[u8], limit: usize) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    let mut decoder = DeflateDecoder::new(packed).take(limit as u64 + 1);
    decoder.read_to_end(&mut bytes)?;
    match bytes.len() > limit {
        true => Err(io::ErrorKind::InvalidData.into()),
        false => Ok(bytes),
    }
}
