//! A folder in memory that can lose what was not synced, tear writes, flip bits, fill up and fail.
//!
//! Invariant: what a crash leaves follows from the seed and the calls alone.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::disk::{Disk, DiskError};

mod files;

use files::Files;

/// What a crash leaves of bytes and names that were not synced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Crash {
    /// Nothing.
    LoseUnsynced,
    /// Some sectors of what was written, zeros in place of others, and some of the new names.
    TearWrites,
    /// Everything, as when only the process dies.
    KeepAll,
}

/// A folder in memory; clones share it.
#[derive(Clone, Debug)]
pub struct SimulatedDisk {
    state: Arc<Mutex<State>>,
}

/// An open file of a [`SimulatedDisk`]; of no use after a crash.
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
    /// Good syncs left before one fails.
    good_syncs: Option<u64>,
    capacity: Option<u64>,
}

impl State {
    fn operate(&mut self) -> Result<(), DiskError> {
        if self.crash_at.is_some_and(|limit| self.operations >= limit) {
            return Err(DiskError::Crashed);
        }
        self.operations += 1;
        Ok(())
    }

    fn operate_on(&mut self, file: &SimulatedFile) -> Result<(), DiskError> {
        self.operate()?;
        if file.generation != self.generation {
            return Err(DiskError::Crashed);
        }
        Ok(())
    }

    fn sync(&mut self) -> Result<(), DiskError> {
        match self.good_syncs {
            None => Ok(()),
            Some(0) => {
                self.good_syncs = None;
                Err(DiskError::SyncFailed)
            }
            Some(left) => {
                self.good_syncs = Some(left - 1);
                Ok(())
            }
        }
    }

    /// Count of bytes out of `wanted` that still fit.
    fn room(&self, wanted: usize) -> usize {
        let Some(capacity) = self.capacity else {
            return wanted;
        };
        let free = capacity.saturating_sub(self.files.total_bytes());
        wanted.min(usize::try_from(free).unwrap_or(usize::MAX))
    }

    fn restart(&mut self) {
        self.generation += 1;
        self.crash_at = None;
        self.good_syncs = None;
    }
}

impl SimulatedDisk {
    /// An empty folder; `seed` decides what torn writes leave.
    pub fn new(seed: u64) -> Self {
        let state = State {
            files: Files::new(seed),
            generation: 0,
            operations: 0,
            crash_at: None,
            good_syncs: None,
            capacity: None,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// The machine stops and starts again; files opened before are of no use.
    pub fn crash(&self, crash: Crash) {
        let mut state = self.lock();
        state.files.crash(crash);
        state.restart();
    }

    /// The machine comes back with an empty disk.
    pub fn wipe(&self) {
        let mut state = self.lock();
        state.files.clear();
        state.restart();
    }

    /// Every operation that changes or syncs anything fails once `operations` more of them were done,
    /// until the next [`Self::crash`].
    pub fn crash_after(&self, operations: u64) {
        let mut state = self.lock();
        state.crash_at = Some(state.operations + operations);
    }

    /// Count of operations so far that change or sync anything.
    pub fn operations(&self) -> u64 {
        self.lock().operations
    }

    /// The next sync of a file or of the folder fails.
    pub fn fail_next_sync(&self) {
        self.fail_sync_after(0);
    }

    /// One sync of a file or of the folder fails, after this many good ones.
    pub fn fail_sync_after(&self, good: u64) {
        self.lock().good_syncs = Some(good);
    }

    /// Bounds the bytes of all files together; `None` for no bound.
    pub fn set_capacity(&self, bytes: Option<u64>) {
        self.lock().capacity = bytes;
    }

    /// Flips the bits of `mask` in one byte; `false` when the file has no such byte.
    pub fn corrupt(&self, name: &str, offset: u64, mask: u8) -> bool {
        self.lock().files.corrupt(name, offset, mask)
    }

    /// Puts a file in place as if it had always been there.
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
        state.operate()?;
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
        state.operate_on(file)?;
        let fitting = state.room(bytes.len());
        let inode = state.files.inode(file.inode).ok_or(DiskError::NotFound)?;
        inode.append(&bytes[..fitting]);
        if fitting < bytes.len() {
            return Err(DiskError::Full);
        }
        Ok(())
    }

    fn truncate(&mut self, file: &mut SimulatedFile, length: u64) -> Result<(), DiskError> {
        let mut state = self.lock();
        state.operate_on(file)?;
        let inode = state.files.inode(file.inode).ok_or(DiskError::NotFound)?;
        inode.truncate(length);
        Ok(())
    }

    fn sync(&mut self, file: &mut SimulatedFile) -> Result<(), DiskError> {
        let mut state = self.lock();
        state.operate_on(file)?;
        state.sync()?;
        let inode = state.files.inode(file.inode).ok_or(DiskError::NotFound)?;
        inode.sync();
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<(), DiskError> {
        let mut state = self.lock();
        state.operate()?;
        match state.files.rename(from, to) {
            true => Ok(()),
            false => Err(DiskError::NotFound),
        }
    }

    fn remove(&mut self, name: &str) -> Result<(), DiskError> {
        let mut state = self.lock();
        state.operate()?;
        match state.files.remove(name) {
            true => Ok(()),
            false => Err(DiskError::NotFound),
        }
    }

    fn sync_dir(&mut self) -> Result<(), DiskError> {
        let mut state = self.lock();
        state.operate()?;
        state.sync()?;
        state.files.sync_names();
        Ok(())
    }
}
