//! Errors of storage operations.

use grebepin_schema::LogIndex;

use crate::disk::DiskError;

/// Kind of damage found in a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Damage {
    /// A required file does not exist.
    #[error("the file is missing")]
    Missing,
    /// The file is longer than storage ever writes.
    #[error("the file is too long")]
    TooLong,
    /// The file ends within a record that was synced.
    #[error("the file ends within a synced record")]
    Truncated,
    /// A record's header has a wrong checksum, magic number or record kind.
    #[error("a record has an invalid header")]
    Header,
    /// A record's body does not match its checksum, or the terminator after it is missing.
    #[error("a record's body does not match its checksum")]
    Body,
    /// The body of a record does not decode to the expected type.
    #[error("a record cannot be decoded")]
    Undecodable,
    /// A record's number does not follow the number of the record before it.
    #[error("a record is out of sequence")]
    OutOfSequence,
    /// The indexes of the entries in the log are not contiguous.
    #[error("the log has a gap between its entries")]
    EntryGap,
    /// The file has bytes after its last record.
    #[error("the file has trailing bytes after its last record")]
    TrailingBytes,
    /// The file belongs to another replica or group, or its content does not match its name.
    #[error("the file belongs to another replica, or its content does not match its name")]
    Mismatch,
}

/// A storage operation was refused or failed.
#[derive(Debug, thiserror::Error)]
pub enum StorageError {
    /// A disk operation failed. After a failed write all further writes are refused until storage is opened
    /// again.
    #[error("{file}: {source}")]
    Disk {
        /// Name of the file; empty for operations on the folder.
        file: String,
        /// Error of the disk.
        source: DiskError,
    },
    /// A file is damaged; the replica must not run under this identity.
    #[error("{file} is damaged at byte {offset}: {reason}")]
    Damaged {
        /// Name of the file.
        file: String,
        /// Offset of the damaged record in bytes.
        offset: u64,
        /// Kind of damage.
        reason: Damage,
    },
    /// A replica can only be created in an empty folder.
    #[error("the folder already holds a replica")]
    NotEmpty,
    /// A replica can be founded only once.
    #[error("the replica belongs to a founded group already")]
    AlreadyFounded,
    /// An earlier write failed, so the state on disk is unknown until storage is opened again.
    #[error("an earlier write failed; storage must be opened again")]
    Poisoned,
    /// An entry's index leaves a gap in the log or is covered by the snapshot.
    #[error("entry {found} cannot be appended; the log accepts indexes {lowest} to {highest}")]
    Gap {
        /// Lowest index the log accepts.
        lowest: LogIndex,
        /// Highest index the log accepts.
        highest: LogIndex,
        /// Rejected index.
        found: LogIndex,
    },
    /// A snapshot's index is outside the allowed range.
    #[error("snapshot index {found} is outside {lowest} to {highest}")]
    SnapshotOutOfRange {
        /// Lowest index a snapshot may have.
        lowest: LogIndex,
        /// Highest index a snapshot may have.
        highest: LogIndex,
        /// Rejected index.
        found: LogIndex,
    },
    /// A record exceeds the size limit.
    #[error("record of {bytes} bytes is over the limit of {limit}")]
    TooLarge {
        /// Size in bytes.
        bytes: u64,
        /// Limit in bytes.
        limit: u64,
    },
    /// A record could not be encoded.
    #[error("record cannot be encoded: {0}")]
    Encode(#[from] rmp_serde::encode::Error),
}

impl StorageError {
    pub(crate) fn damaged(file: &str, offset: u64, reason: Damage) -> Self {
        Self::Damaged {
            file: file.to_owned(),
            offset,
            reason,
        }
    }

    /// Returns a function that adds the name of the file to a disk error.
    pub(crate) fn disk(file: &str) -> impl FnOnce(DiskError) -> Self + '_ {
        move |source| Self::Disk {
            file: file.to_owned(),
            source,
        }
    }

    /// Like [`Self::disk`], but reports a missing or too long file as damage.
    pub(crate) fn required(file: &str) -> impl FnOnce(DiskError) -> Self + '_ {
        move |source| match source {
            DiskError::NotFound => Self::damaged(file, 0, Damage::Missing),
            DiskError::TooLong { limit, .. } => Self::damaged(file, limit, Damage::TooLong),
            source => Self::disk(file)(source),
        }
    }
}
