//! A folder of the file system, locked against use by a second process.

use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{ErrorKind, Read, Write};
use std::path::{Path, PathBuf};

use crate::disk::{Disk, DiskError};

const LOCK_FILE: &str = "lock";

/// A folder of the file system. Its lock is held until this value is dropped.
#[derive(Debug)]
pub struct RealDisk {
    path: PathBuf,
    folder: File,
    _lock: File,
}

/// An open file of a [`RealDisk`].
#[derive(Debug)]
pub struct RealFile(File);

impl RealDisk {
    /// Opens the folder, creating it if it is missing, and locks it.
    ///
    /// # Errors
    /// [`DiskError::Locked`] if another process holds the lock.
    pub fn new(path: impl AsRef<Path>) -> Result<Self, DiskError> {
        let path = path.as_ref().to_owned();
        create_folder(&path)?;
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(path.join(LOCK_FILE))?;
        lock.try_lock().map_err(|error| match error {
            TryLockError::WouldBlock => DiskError::Locked,
            TryLockError::Error(error) => DiskError::Io(error),
        })?;
        let folder = File::open(&path)?;
        Ok(Self {
            path,
            folder,
            _lock: lock,
        })
    }

    /// Path of the folder as it was passed to [`Self::new`].
    pub fn path(&self) -> &Path {
        &self.path
    }
}

/// Creates the folder and its missing parents, and makes their names durable.
fn create_folder(path: &Path) -> Result<(), DiskError> {
    // The last ancestor of a relative path is empty and denotes the working directory.
    let is_missing = |one: &&Path| !one.as_os_str().is_empty() && !one.exists();
    let missing: Vec<&Path> = path.ancestors().take_while(is_missing).collect();
    fs::create_dir_all(path)?;
    for created in missing {
        if let Some(parent) = created.canonicalize()?.parent() {
            sync_error(File::open(parent)?.sync_all())?;
        }
    }
    Ok(())
}

fn sync_error(result: std::io::Result<()>) -> Result<(), DiskError> {
    result.map_err(|_| DiskError::SyncFailed)
}

fn write_error(error: std::io::Error) -> DiskError {
    match error.kind() {
        ErrorKind::StorageFull | ErrorKind::QuotaExceeded => DiskError::Full,
        ErrorKind::NotFound => DiskError::NotFound,
        _ => DiskError::Io(error),
    }
}

impl Disk for RealDisk {
    type File = RealFile;

    fn list(&self) -> Result<Vec<String>, DiskError> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            if let Ok(name) = entry?.file_name().into_string() {
                names.push(name);
            }
        }
        names.sort();
        Ok(names)
    }

    fn read(&self, name: &str, limit: u64) -> Result<Vec<u8>, DiskError> {
        let file = File::open(self.path.join(name)).map_err(write_error)?;
        let length = file.metadata()?.len();
        if length > limit {
            return Err(DiskError::TooLong { length, limit });
        }
        let mut bytes = Vec::with_capacity(length as usize);
        file.take(limit).read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    fn create(&mut self, name: &str) -> Result<RealFile, DiskError> {
        let path = self.path.join(name);
        match fs::remove_file(&path) {
            Err(error) if error.kind() != ErrorKind::NotFound => return Err(error.into()),
            _ => {}
        }
        let file = OpenOptions::new()
            .append(true)
            .create_new(true)
            .open(path)
            .map_err(write_error)?;
        Ok(RealFile(file))
    }

    fn open(&mut self, name: &str) -> Result<RealFile, DiskError> {
        let file = OpenOptions::new()
            .append(true)
            .open(self.path.join(name))
            .map_err(write_error)?;
        Ok(RealFile(file))
    }

    fn append(&mut self, file: &mut RealFile, bytes: &[u8]) -> Result<(), DiskError> {
        file.0.write_all(bytes).map_err(write_error)
    }

    fn truncate(&mut self, file: &mut RealFile, length: u64) -> Result<(), DiskError> {
        Ok(file.0.set_len(length)?)
    }

    fn sync(&mut self, file: &mut RealFile) -> Result<(), DiskError> {
        sync_error(file.0.sync_data())
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<(), DiskError> {
        fs::rename(self.path.join(from), self.path.join(to)).map_err(write_error)
    }

    fn remove(&mut self, name: &str) -> Result<(), DiskError> {
        fs::remove_file(self.path.join(name)).map_err(write_error)
    }

    fn sync_dir(&mut self) -> Result<(), DiskError> {
        sync_error(self.folder.sync_all())
    }
}
