//! An in-memory folder that simulates lost and torn writes, corrupted bytes, a full disk and failing syncs.
//!
//! Invariant: the state after a crash is determined by the seed and the sequence of calls.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::disk::{Disk, DiskError};

mod files;

use files::Files;

/// Which unsynced bytes and folder entries survive a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Crash {
    /// None of them.
    LoseUnsynced,
    /// Some of the written sectors, with zeros in place of others, and some of the changes of folder entries.
    TearWrites,
    /// All of them, as after a crash of the process alone.
    KeepAll,
}

/// An in-memory folder; clones share its state.
#[derive(Clone, Debug)]
pub struct SimulatedDisk {
    state: Arc<Mutex<State>>,
}

/// An open file of a [`SimulatedDisk`]; operations on it fail after a crash.
#[derive(Debug)]
pub struct SimulatedFile {
    inode: u64,
    generation: u64,
}

#[derive(Debug)]
struct State {
    files: Files,
    generation: u64,
    operations: u64,
    crash_at: Option<u64>,
    /// Number of syncs that succeed before one fails; `None` if none will fail.
    syncs_before_failure: Option<u64>,
    capacity: Option<u64>,
}

impl State {
    fn begin_operation(&mut self) -> Result<(), DiskError> {
        if self.crash_at.is_some_and(|limit| self.operations >= limit) {
            return Err(DiskError::Crashed);
        }
        self.operations += 1;
        Ok(())
    }

    fn begin_file_operation(&mut self, file: &SimulatedFile) -> Result<(), DiskError> {
        self.begin_operation()?;
        if file.generation != self.generation {
            return Err(DiskError::Crashed);
        }
        Ok(())
    }

    fn sync(&mut self) -> Result<(), DiskError> {
        match self.syncs_before_failure {
            None => Ok(()),
            Some(0) => {
                self.syncs_before_failure = None;
                Err(DiskError::SyncFailed)
            }
            Some(left) => {
                self.syncs_before_failure = Some(left - 1);
                Ok(())
            }
        }
    }

    /// Number of bytes, at most `wanted`, that fit into the remaining capacity.
    fn available_bytes(&self, wanted: usize) -> usize {
        let Some(capacity) = self.capacity else {
            return wanted;
        };
        let free = capacity.saturating_sub(self.files.total_bytes());
        wanted.min(usize::try_from(free).unwrap_or(usize::MAX))
    }

    fn restart(&mut self) {
        self.generation += 1;
        self.crash_at = None;
        self.syncs_before_failure = None;
    }
}

impl SimulatedDisk {
    /// Creates an empty folder; `seed` determines the outcome of torn writes.
    pub fn new(seed: u64) -> Self {
        let state = State {
            files: Files::new(seed),
            generation: 0,
            operations: 0,
            crash_at: None,
            syncs_before_failure: None,
            capacity: None,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Simulates a crash and a restart; files that were opened before become unusable.
    pub fn crash(&self, crash: Crash) {
        let mut state = self.lock();
        state.files.crash(crash);
        state.restart();
    }

    /// Simulates a restart of the machine with an empty disk.
    pub fn wipe(&self) {
        let mut state = self.lock();
        state.files.clear();
        state.restart();
    }

    /// Lets this many further operations that change or sync anything succeed; all later ones fail until the
    /// next [`Self::crash`].
    pub fn crash_after(&self, operations: u64) {
        let mut state = self.lock();
        state.crash_at = Some(state.operations + operations);
    }

    /// Number of operations so far that change or sync anything, including failed ones; operations refused
    /// because of [`Self::crash_after`] are not counted.
    pub fn operations(&self) -> u64 {
        self.lock().operations
    }

    /// Makes the next sync of a file or of the folder fail.
    pub fn fail_next_sync(&self) {
        self.fail_sync_after(0);
    }

    /// Makes one sync of a file or of the folder fail after this many successful ones.
    pub fn fail_sync_after(&self, successes: u64) {
        self.lock().syncs_before_failure = Some(successes);
    }

    /// Total size of all files in bytes.
    pub fn used_bytes(&self) -> u64 {
        self.lock().files.total_bytes()
    }

    /// Limits the total size of all files in bytes; `None` removes the limit.
    pub fn set_capacity(&self, bytes: Option<u64>) {
        self.lock().capacity = bytes;
    }

    /// Flips the bits of `mask` in one byte. Returns false if the file does not exist or is shorter.
    pub fn corrupt(&self, name: &str, offset: u64, mask: u8) -> bool {
        self.lock().files.corrupt(name, offset, mask)
    }

    /// Creates or replaces a file; its content and its name are durable at once.
    pub fn put(&self, name: &str, bytes: Vec<u8>) {
        self.lock().files.put(name, bytes);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Disk for SimulatedDisk {
    type File = SimulatedFile;

    fn list(&self) -> Result<Vec<String>, DiskError> {
        Ok(self.lock().files.names())
    }

    fn read(&self, name: &str, limit: u64) -> Result<Vec<u8>, DiskError> {
        let state = self.lock();
        let content = state.files.content(name).ok_or(DiskError::NotFound)?;
        let length = content.len() as u64;
        if length > limit {
            return Err(DiskError::TooLong { length, limit });
        }
        Ok(content.to_vec())
    }

    fn create(&mut self, name: &str) -> Result<SimulatedFile, DiskError> {
        let mut state = self.lock();
        state.begin_operation()?;
        Ok(SimulatedFile {
            inode: state.files.create(name),
            generation: state.generation,
        })
    }

    fn open(&mut self, name: &str) -> Result<SimulatedFile, DiskError> {
        let state = self.lock();
        Ok(SimulatedFile {
            inode: state.files.find(name).ok_or(DiskError::NotFound)?,
            generation: state.generation,
        })
    }

    fn append(&mut self, file: &mut SimulatedFile, bytes: &[u8]) -> Result<(), DiskError> {
        let mut state = self.lock();
        state.begin_file_operation(file)?;
        let accepted = state.available_bytes(bytes.len());
        let inode = state.files.inode(file.inode).ok_or(DiskError::NotFound)?;
        inode.append(&bytes[..accepted]);
        if accepted < bytes.len() {
            return Err(DiskError::Full);
        }
        Ok(())
    }

    fn truncate(&mut self, file: &mut SimulatedFile, length: u64) -> Result<(), DiskError> {
        let mut state = self.lock();
        state.begin_file_operation(file)?;
        let inode = state.files.inode(file.inode).ok_or(DiskError::NotFound)?;
        inode.truncate(length);
        Ok(())
    }

    fn sync(&mut self, file: &mut SimulatedFile) -> Result<(), DiskError> {
        let mut state = self.lock();
        state.begin_file_operation(file)?;
        state.sync()?;
        let inode = state.files.inode(file.inode).ok_or(DiskError::NotFound)?;
        inode.sync();
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<(), DiskError> {
        let mut state = self.lock();
        state.begin_operation()?;
        match state.files.rename(from, to) {
            true => Ok(()),
            false => Err(DiskError::NotFound),
        }
    }

    fn remove(&mut self, name: &str) -> Result<(), DiskError> {
        let mut state = self.lock();
        state.begin_operation()?;
        match state.files.remove(name) {
            true => Ok(()),
            false => Err(DiskError::NotFound),
        }
    }

    fn sync_dir(&mut self) -> Result<(), DiskError> {
        let mut state = self.lock();
        state.begin_operation()?;
        state.sync()?;
        state.files.sync_names();
        Ok(())
    }
}
