//! Files of the simulated folder: their current state and the state that survives a crash.

use std::collections::BTreeMap;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::Crash;
use crate::frame::SECTOR_BYTES;

type Names = BTreeMap<String, u64>;

/// Content of one file.
#[derive(Debug, Default)]
pub(super) struct Inode {
    content: Vec<u8>,
    /// Length of the prefix of `content` that is durable.
    durable: usize,
    /// Durable bytes beyond `durable` that were truncated; a crash may restore them until the next sync.
    truncated: Vec<u8>,
}

impl Inode {
    pub(super) fn append(&mut self, bytes: &[u8]) {
        self.content.extend_from_slice(bytes);
    }

    pub(super) fn truncate(&mut self, length: u64) {
        let length = usize::try_from(length).unwrap_or(usize::MAX);
        if length < self.durable {
            let mut truncated = self.content[length..self.durable].to_vec();
            truncated.append(&mut self.truncated);
            self.truncated = truncated;
            self.durable = length;
        }
        self.content.truncate(length);
    }

    pub(super) fn sync(&mut self) {
        self.durable = self.content.len();
        self.truncated.clear();
    }

    fn lose_unsynced(&mut self) {
        self.content.truncate(self.durable);
        self.content.append(&mut self.truncated);
        self.sync();
    }

    fn tear_unsynced(&mut self, rng: &mut SmallRng) {
        if !self.truncated.is_empty() {
            if rng.random() {
                self.lose_unsynced();
            }
            self.sync();
            return;
        }
        let length = rng.random_range(self.durable..=self.content.len());
        self.content.truncate(length);
        if rng.random() {
            self.zero_random_sectors(rng);
        }
        self.sync();
    }

    fn zero_random_sectors(&mut self, rng: &mut SmallRng) {
        let mut start = self.durable;
        while start < self.content.len() {
            let end = ((start / SECTOR_BYTES + 1) * SECTOR_BYTES).min(self.content.len());
            if rng.random() {
                self.content[start..end].fill(0);
            }
            start = end;
        }
    }
}

/// A change of the folder entries that is not durable yet.
#[derive(Debug)]
enum NameChange {
    Link { name: String, inode: u64 },
    Rename { from: String, to: String },
    Unlink { name: String },
}

impl NameChange {
    fn apply(&self, names: &mut Names) {
        match self {
            Self::Link { name, inode } => _ = names.insert(name.clone(), *inode),
            Self::Unlink { name } => _ = names.remove(name),
            Self::Rename { from, to } => {
                if let Some(inode) = names.remove(from) {
                    names.insert(to.clone(), inode);
                }
            }
        }
    }
}

#[derive(Debug)]
pub(super) struct Files {
    names: Names,
    durable_names: Names,
    changes: Vec<NameChange>,
    inodes: BTreeMap<u64, Inode>,
    next_inode: u64,
    rng: SmallRng,
}

impl Files {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            names: Names::new(),
            durable_names: Names::new(),
            changes: Vec::new(),
            inodes: BTreeMap::new(),
            next_inode: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    pub(super) fn names(&self) -> Vec<String> {
        self.names.keys().cloned().collect()
    }

    pub(super) fn find(&self, name: &str) -> Option<u64> {
        self.names.get(name).copied()
    }

    pub(super) fn inode(&mut self, inode: u64) -> Option<&mut Inode> {
        self.inodes.get_mut(&inode)
    }

    pub(super) fn content(&self, name: &str) -> Option<&[u8]> {
        let inode = self.inodes.get(&self.find(name)?)?;
        Some(&inode.content)
    }

    pub(super) fn total_bytes(&self) -> u64 {
        let lengths = self.inodes.values().map(|inode| inode.content.len() as u64);
        lengths.sum()
    }

    pub(super) fn create(&mut self, name: &str) -> u64 {
        let inode = self.next_inode;
        self.next_inode += 1;
        self.inodes.insert(inode, Inode::default());
        self.change(NameChange::Link {
            name: name.to_owned(),
            inode,
        });
        inode
    }

    pub(super) fn rename(&mut self, from: &str, to: &str) -> bool {
        let exists = self.names.contains_key(from);
        if exists {
            self.change(NameChange::Rename {
                from: from.to_owned(),
                to: to.to_owned(),
            });
        }
        exists
    }

    pub(super) fn remove(&mut self, name: &str) -> bool {
        let exists = self.names.contains_key(name);
        if exists {
            self.change(NameChange::Unlink {
                name: name.to_owned(),
            });
        }
        exists
    }

    pub(super) fn sync_names(&mut self) {
        self.durable_names = self.names.clone();
        self.changes.clear();
        self.remove_unlinked_inodes();
    }

    pub(super) fn crash(&mut self, crash: Crash) {
        let surviving = match crash {
            Crash::LoseUnsynced => 0,
            Crash::TearWrites => self.rng.random_range(0..=self.changes.len()),
            Crash::KeepAll => self.changes.len(),
        };
        self.names = self.durable_names.clone();
        for change in self.changes.iter().take(surviving) {
            change.apply(&mut self.names);
        }
        for inode in self.inodes.values_mut() {
            match crash {
                Crash::LoseUnsynced => inode.lose_unsynced(),
                Crash::TearWrites => inode.tear_unsynced(&mut self.rng),
                Crash::KeepAll => inode.sync(),
            }
        }
        self.sync_names();
    }

    pub(super) fn clear(&mut self) {
        self.names.clear();
        self.sync_names();
    }

    pub(super) fn corrupt(&mut self, name: &str, offset: u64, mask: u8) -> bool {
        let Some(inode) = self.names.get(name) else {
            return false;
        };
        let byte = usize::try_from(offset).ok().and_then(|offset| {
            let inode = self.inodes.get_mut(inode)?;
            inode.content.get_mut(offset)
        });
        byte.map(|byte| *byte ^= mask).is_some()
    }

    pub(super) fn put(&mut self, name: &str, bytes: Vec<u8>) {
        let inode = self.create(name);
        if let Some(inode) = self.inodes.get_mut(&inode) {
            inode.append(&bytes);
            inode.sync();
        }
        self.sync_names();
    }

    fn change(&mut self, change: NameChange) {
        change.apply(&mut self.names);
        self.changes.push(change);
    }

    fn remove_unlinked_inodes(&mut self) {
        let named: Vec<u64> = self.names.values().copied().collect();
        self.inodes.retain(|inode, _| named.contains(inode));
    }
}
