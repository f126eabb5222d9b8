//! Reads and writes operators' files.
//!
//! Invariant: an existing file is either replaced as a whole or left unchanged, and a key file is never
//! readable by other users.

use std::fs::{self, File, OpenOptions};
use std::io::{ErrorKind, Read, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

use grebepin_bundle::{parse_signing_key, SigningKey};
use grebepin_schema::limits::MAX_BUNDLE_BYTES;
use grebepin_schema::{Bundle, SignedBundle};
use serde::Serialize;

use crate::error::CliError;

const PRIVATE_MODE: u32 = 0o600;
const PUBLIC_MODE: u32 = 0o644;
const MAX_KEY_BYTES: u64 = 4096;

/// Reads a bundle file, signed or not.
pub(crate) fn read_bundle(path: &Path) -> Result<SignedBundle, CliError> {
    let bytes = read(path, MAX_BUNDLE_BYTES as u64)?;
    let not_a_bundle = |source| CliError::NotABundle {
        path: path.to_owned(),
        source,
    };
    let value: serde_json::Value = serde_json::from_slice(&bytes).map_err(not_a_bundle)?;
    if value.get("bundle").is_some() {
        return serde_json::from_slice(&bytes).map_err(not_a_bundle);
    }
    let bundle: Bundle = serde_json::from_slice(&bytes).map_err(not_a_bundle)?;
    Ok(SignedBundle {
        bundle,
        signatures: Vec::new(),
    })
}

/// Reads a file with a signing key.
pub(crate) fn read_signing_key(path: &Path) -> Result<SigningKey, CliError> {
    let bytes = read(path, MAX_KEY_BYTES)?;
    let text = String::from_utf8_lossy(&bytes);
    parse_signing_key(&text).map_err(|source| CliError::Key {
        path: path.to_owned(),
        source,
    })
}

/// Creates a file that only its owner can read; an existing one is never overwritten.
pub(crate) fn create_private(path: &Path, text: &str) -> Result<(), CliError> {
    create(path, text.as_bytes(), PRIVATE_MODE)
}

/// Creates a JSON file; an existing one is never overwritten.
pub(crate) fn create_json<T: Serialize>(path: &Path, value: &T) -> Result<(), CliError> {
    create(path, &json_bytes(value)?, PUBLIC_MODE)
}

/// Replaces a JSON file atomically: writes a temporary file in the same folder, syncs it, and renames it.
pub(crate) fn replace_json<T: Serialize>(path: &Path, value: &T) -> Result<(), CliError> {
    let mut temporary = path.as_os_str().to_owned();
    temporary.push(format!(".{}.new", std::process::id()));
    let temporary = PathBuf::from(temporary);
    create(&temporary, &json_bytes(value)?, PUBLIC_MODE)?;
    fs::rename(&temporary, path).map_err(|source| file_error(path, source))?;
    sync_folder(path)
}

fn create(path: &Path, bytes: &[u8], mode: u32) -> Result<(), CliError> {
    let mut options = OpenOptions::new();
    options.write(true).create_new(true).mode(mode);
    let mut file = options.open(path).map_err(|source| match source.kind() {
        ErrorKind::AlreadyExists => CliError::Exists {
            path: path.to_owned(),
        },
        _ => file_error(path, source),
    })?;
    file.write_all(bytes)
        .and_then(|()| file.sync_all())
        .map_err(|source| file_error(path, source))?;
    sync_folder(path)
}

fn sync_folder(path: &Path) -> Result<(), CliError> {
    let folder = match path.parent() {
        Some(parent) if !parent.as_os_str().is_empty() => parent,
        _ => Path::new("."),
    };
    File::open(folder)
        .and_then(|folder| folder.sync_all())
        .map_err(|source| file_error(folder, source))
}

fn json_bytes<T: Serialize>(value: &T) -> Result<Vec<u8>, CliError> {
    let mut bytes = serde_json::to_vec_pretty(value)?;
    bytes.push(b'\n');
    Ok(bytes)
}

/// Reads a file; one of more than `maximum` bytes is an error.
pub(crate) fn read(path: &Path, maximum: u64) -> Result<Vec<u8>, CliError> {
    let file = File::open(path).map_err(|source| file_error(path, source))?;
    let mut bytes = Vec::new();
    file.take(maximum + 1)
        .read_to_end(&mut bytes)
        .map_err(|source| file_error(path, source))?;
    if bytes.len() as u64 > maximum {
        return Err(CliError::TooLarge {
            path: path.to_owned(),
            maximum,
        });
    }
    Ok(bytes)
}

pub(crate) fn file_error(path: &Path, source: std::io::Error) -> CliError {
    CliError::File {
        path: path.to_owned(),
        source,
    }
}
