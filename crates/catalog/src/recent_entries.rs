//! The last applied entries, for readers that lack only a few.
//!
//! Invariant: the entries kept are contiguous up to the last one added, and within both bounds. A reader that lacks an
//! entry which is not kept needs the whole state.

use std::collections::VecDeque;

use crate::command::Entry;

/// The last entries of the log that were applied.
#[derive(Debug)]
pub struct RecentEntries {
    max_entries: usize,
    max_bytes: usize,
    entries: VecDeque<RecentEntry>,
    bytes: usize,
}

#[derive(Debug)]
struct RecentEntry {
    index: u64,
    entry: Entry,
    bytes: usize,
}

impl RecentEntries {
    /// Keeps at most `max_entries` entries, and at most `max_bytes` of them as estimated by [`Entry::memory_size`].
    pub fn new(max_entries: usize, max_bytes: usize) -> Self {
        Self {
            max_entries,
            max_bytes,
            entries: VecDeque::new(),
            bytes: 0,
        }
    }

    /// Adds the entry at a log index. One that is not above the last index is ignored; after a gap the earlier entries are
    /// dropped.
    pub fn push(&mut self, index: u64, entry: Entry) {
        let last = self.last_index();
        if last.is_some_and(|last| index <= last) {
            return;
        }
        if last.is_some_and(|last| index > last + 1) {
            self.clear();
        }
        let bytes = entry.memory_size();
        self.bytes += bytes;
        self.entries.push_back(RecentEntry {
            index,
            entry,
            bytes,
        });
        while self.entries.len() > self.max_entries || self.bytes > self.max_bytes {
            let Some(oldest) = self.entries.pop_front() else {
                return;
            };
            self.bytes -= oldest.bytes;
        }
    }

    /// Drops all entries.
    pub fn clear(&mut self) {
        self.entries.clear();
        self.bytes = 0;
    }

    /// Returns the index of the last entry; `None` if none is kept.
    pub fn last_index(&self) -> Option<u64> {
        self.entries.back().map(|last| last.index)
    }

    /// Returns the size of the entries kept, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the entries after `index`; `None` if the first of them is not kept.
    pub fn after(&self, index: u64) -> Option<Vec<(u64, Entry)>> {
        if self.entries.front()?.index > index + 1 {
            return None;
        }
        let missed = self.entries.iter().filter(|one| one.index > index);
        Some(missed.map(|one| (one.index, one.entry.clone())).collect())
    }
}
