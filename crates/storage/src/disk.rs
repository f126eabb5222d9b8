//! The folder of files that storage is written over, as a trait, so that it can be simulated.
//!
//! Invariant: after `sync` of a file and `sync_dir`, a crash loses neither the file's bytes nor its name.

/// Why a disk operation failed.
#[derive(Debug, thiserror::Error)]
pub enum DiskError {
    /// The operating system refused the operation.
    #[error("input/output failed: {0}")]
    Io(#[from] std::io::Error),
    /// No file has this name.
    #[error("no such file")]
    NotFound,
    /// The file is longer than the caller's limit; nothing was read.
    #[error("file of {length} bytes is over the limit of {limit}")]
    TooLong {
        /// Length of the file in bytes.
        length: u64,
        /// Largest length the caller takes, in bytes.
        limit: u64,
    },
    /// No space is left.
    #[error("no space left on the disk")]
    Full,
    /// The operating system could not make the bytes durable.
    #[error("sync failed")]
    SyncFailed,
    /// Another process uses the folder.
    #[error("the folder is in use by another process")]
    Locked,
    /// The simulated machine is down, or the handle is older than its last crash.
    #[error("the machine crashed")]
    Crashed,
}

/// One flat folder of files.
pub trait Disk {
    /// An open file that is appended to.
    type File;

    /// Names of all files, sorted.
    fn list(&self) -> Result<Vec<String>, DiskError>;

    /// Reads a whole file; refuses one longer than `limit` bytes before it takes memory.
    fn read(&self, name: &str, limit: u64) -> Result<Vec<u8>, DiskError>;

    /// Makes a new empty file, in place of any file of that name.
    fn create(&mut self, name: &str) -> Result<Self::File, DiskError>;

    /// Opens an existing file; writes go to its end.
    fn open(&mut self, name: &str) -> Result<Self::File, DiskError>;

    /// Writes bytes at the end of the file. After an error any part of them may have been written.
    fn append(&mut self, file: &mut Self::File, bytes: &[u8]) -> Result<(), DiskError>;

    /// Cuts the file to `length` bytes.
    fn truncate(&mut self, file: &mut Self::File, length: u64) -> Result<(), DiskError>;

    /// Makes the file's bytes and length durable.
    fn sync(&mut self, file: &mut Self::File) -> Result<(), DiskError>;

    /// Renames a file, in place of any file of the new name.
    fn rename(&mut self, from: &str, to: &str) -> Result<(), DiskError>;

    /// Removes a file.
    fn remove(&mut self, name: &str) -> Result<(), DiskError>;

    /// Makes the names of files durable.
    fn sync_dir(&mut self) -> Result<(), DiskError>;
}
