//! Errors of storage.

use grebepin_schema::LogIndex;

use crate::disk::DiskError;

/// What is wrong with a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Damage {
    /// A file that must exist does not.
    #[error("the file is missing")]
    Missing,
    /// The file is longer than storage ever writes.
    #[error("the file is too long")]
    TooLong,
    /// The file ends within a record that was synced.
    #[error("the file ends too early")]
    CutShort,
    /// The checksum of a record's header is wrong.
    #[error("a record's header does not match its checksum")]
    Header,
    /// The checksum of a record's body is wrong.
    #[error("a record's body does not match its checksum")]
    Body,
    /// The record's body is no value of the expected type.
    #[error("a record does not decode")]
    Undecodable,
    /// A record is not the one that must follow the record before it.
    #[error("a record is out of sequence")]
    Sequence,
    /// The log's entries do not follow each other.
    #[error("the log's entries do not follow each other")]
    EntryGap,
    /// Bytes follow the last record that the file should have.
    #[error("the file has bytes after its end")]
    Trailing,
    /// Two files disagree on whose folder this is, or on the snapshot in force.
    #[error("the file belongs to something else")]
    Mismatch,
}

/// Why storage refused or failed.
#[derive(Debug, thiserror::Error)]
pub enum StorageError {
    /// A disk operation failed. After a failed write storage takes no more; open it anew.
    #[error("{file}: {source}")]
    Disk {
        /// File or, for operations on the folder, an empty name.
        file: String,
        /// Cause.
        source: DiskError,
    },
    /// A file is damaged; the replica must not run under this identity.
    #[error("{file} is damaged at byte {offset}: {reason}")]
    Damaged {
        /// File.
        file: String,
        /// Offset in bytes.
        offset: u64,
        /// What is wrong.
        reason: Damage,
    },
    /// The folder already holds a replica.
    #[error("the folder already holds a replica")]
    NotEmpty,
    /// The replica belongs to a founded group already.
    #[error("the replica belongs to a founded group already")]
    AlreadyFounded,
    /// An earlier write failed, so what is on disk is not known; open storage anew.
    #[error("an earlier write failed")]
    Poisoned,
    /// An entry does not follow the log.
    #[error("entry {found} does not follow the log, which takes {lowest} to {highest}")]
    Gap {
        /// Lowest index the log would take.
        lowest: LogIndex,
        /// Highest index the log would take.
        highest: LogIndex,
        /// Index found.
        found: LogIndex,
    },
    /// A snapshot stands outside of what the log allows.
    #[error("a snapshot at {found} is outside of {lowest} to {highest}")]
    SnapshotOutside {
        /// Lowest index a snapshot may have.
        lowest: LogIndex,
        /// Highest index a snapshot may have.
        highest: LogIndex,
        /// Index found.
        found: LogIndex,
    },
    /// A record is too large to be written.
    #[error("record of {bytes} bytes is over the limit of {limit}")]
    TooLarge {
        /// Size in bytes.
        bytes: u64,
        /// Limit in bytes.
        limit: u64,
    },
    /// A record could not be encoded.
    #[error("record does not encode: {0}")]
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

    /// Turns a disk's error into one that names the file.
    pub(crate) fn disk(file: &str) -> impl FnOnce(DiskError) -> Self + '_ {
        move |source| Self::Disk {
            file: file.to_owned(),
            source,
        }
    }

    /// Like [`Self::disk`], for files that must exist and be within their limit.
    pub(crate) fn required(file: &str) -> impl FnOnce(DiskError) -> Self + '_ {
        move |source| match source {
            DiskError::NotFound => Self::damaged(file, 0, Damage::Missing),
            DiskError::TooLong { limit, .. } => Self::damaged(file, limit, Damage::TooLong),
            source => Self::disk(file)(source),
        }
    }
}
