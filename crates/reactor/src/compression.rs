//! Compression of large messages between daemons.

use std::io::{self, Read, Write};

use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use flate2::Compression;

/// Compresses bytes with DEFLATE at its fastest level.
///
/// # Errors
/// None for bytes in memory; the signature is that of the library.
pub fn compress(bytes: &[u8]) -> io::Result<Vec<u8>> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(bytes)?;
    encoder.finish()
}

/// Decompresses bytes; the result is at most `limit` bytes long.
///
/// # Errors
/// The input is not valid DEFLATE data, or holds more than `limit` bytes.
pub fn decompress(packed: &[u8], limit: usize) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    let mut decoder = DeflateDecoder::new(packed).take(limit as u64 + 1);
    decoder.read_to_end(&mut bytes)?;
    match bytes.len() > limit {
        true => Err(io::ErrorKind::InvalidData.into()),
        false => Ok(bytes),
    }
}
