//! The file system operations that storage needs, as a trait, so that tests can simulate a disk.
//!
//! Invariant: after `sync` of a file and `sync_dir`, the content and the name of the file survive a crash.

/// A disk operation failed.
#[derive(Debug, thiserror::Error)]
pub enum DiskError {
    /// The operating system reported an error that has no variant of its own.
    #[error("input/output failed: {0}")]
    Io(#[from] std::io::Error),
    /// No file has this name.
    #[error("no such file")]
    NotFound,
    /// The file is longer than the limit of the caller; nothing was read.
    #[error("file of {length} bytes is over the limit of {limit}")]
    TooLong {
        /// Length of the file in bytes.
        length: u64,
        /// Limit of the caller in bytes.
        limit: u64,
    },
    /// The disk or the quota is full.
    #[error("no space left on the disk")]
    Full,
    /// A sync of a file or a folder failed; it is unknown which bytes are durable.
    #[error("sync failed")]
    SyncFailed,
    /// Another process holds the lock of the folder.
    #[error("the folder is in use by another process")]
    Locked,
    /// A simulated crash is in effect, or the file was opened before the last simulated crash.
    #[error("the machine crashed")]
    Crashed,
}

/// A folder of files without subfolders.
pub trait Disk {
    /// An open file in append mode.
    type File;

    /// Names of all files, sorted.
    fn list(&self) -> Result<Vec<String>, DiskError>;

    /// Reads a whole file. A file longer than `limit` bytes is refused before memory is allocated for it.
    fn read(&self, name: &str, limit: u64) -> Result<Vec<u8>, DiskError>;

    /// Creates an empty file, replacing an existing file of this name.
    fn create(&mut self, name: &str) -> Result<Self::File, DiskError>;

    /// Opens an existing file for appending.
    fn open(&mut self, name: &str) -> Result<Self::File, DiskError>;

    /// Appends bytes to the file. After an error any prefix of them may have been written.
    fn append(&mut self, file: &mut Self::File, bytes: &[u8]) -> Result<(), DiskError>;

    /// Truncates the file to `length` bytes.
    fn truncate(&mut self, file: &mut Self::File, length: u64) -> Result<(), DiskError>;

    /// Makes the content and the length of the file durable.
    fn sync(&mut self, file: &mut Self::File) -> Result<(), DiskError>;

    /// Renames a file, replacing an existing file of the new name.
    fn rename(&mut self, from: &str, to: &str) -> Result<(), DiskError>;

    /// Removes a file; fails with [`DiskError::NotFound`] if there is none.
    fn remove(&mut self, name: &str) -> Result<(), DiskError>;

    /// Makes created, renamed and removed names of files durable.
    fn sync_dir(&mut self) -> Result<(), DiskError>;
}
