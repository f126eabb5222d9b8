//! In-memory log of a replica, with its latest snapshot.
//!
//! Invariant: entries are contiguous from `base_index + 1`; committed entries are never truncated; each entry
//! is returned once for storage and once, when committed, for the state machine.

use std::collections::VecDeque;
use std::sync::Arc;

use grebepin_schema::{Entry, EntryPayload, LogIndex, SnapshotMeta, Term};

/// Estimated size of an entry without its payload.
const ENTRY_OVERHEAD_BYTES: usize = 64;
/// Estimated size of one member in a membership entry.
const MEMBER_BYTES: usize = 256;

/// A snapshot of the state machine.
#[derive(Debug)]
pub(crate) struct Snapshot {
    pub meta: SnapshotMeta,
    pub data: Vec<u8>,
    pub checksum: u32,
}

impl Snapshot {
    pub fn new(meta: SnapshotMeta, data: Vec<u8>) -> Self {
        let checksum = crc32fast::hash(&data);
        Self {
            meta,
            data,
            checksum,
        }
    }
}

/// The log after `base_index`.
#[derive(Debug)]
pub(crate) struct Log {
    base_index: LogIndex,
    base_term: Term,
    entries: VecDeque<Entry>,
    snapshot: Option<Arc<Snapshot>>,
    commit: LogIndex,
    /// Last entry returned for the state machine.
    delivered: LogIndex,
    /// Last entry returned for storage.
    handed_to_storage: LogIndex,
    /// Last entry known to be durable on this replica.
    durable: LogIndex,
    /// Size of all entries, in bytes.
    bytes: usize,
    /// Size of the entries after `commit`, in bytes.
    uncommitted_bytes: usize,
}

impl Log {
    /// Creates the log from stored data. Entries up to the snapshot's index are skipped.
    ///
    /// # Panics
    /// Panics if the entries after the snapshot are not contiguous.
    pub fn restore(
        snapshot: Option<(SnapshotMeta, Vec<u8>)>,
        entries: Vec<Entry>,
        commit: LogIndex,
    ) -> Self {
        let snapshot = snapshot.map(|(meta, data)| Arc::new(Snapshot::new(meta, data)));
        let (base_index, base_term) = match &snapshot {
            Some(snapshot) => (snapshot.meta.index, snapshot.meta.term),
            None => (LogIndex(0), Term(0)),
        };
        let mut log = Self {
            base_index,
            base_term,
            entries: VecDeque::new(),
            snapshot,
            commit: base_index,
            delivered: base_index,
            handed_to_storage: base_index,
            durable: base_index,
            bytes: 0,
            uncommitted_bytes: 0,
        };
        for entry in entries.into_iter().filter(|entry| entry.index > base_index) {
            assert_eq!(
                entry.index.0,
                log.last_index().0 + 1,
                "gap in the stored log"
            );
            log.push_back(entry);
        }
        log.handed_to_storage = log.last_index();
        log.durable = log.last_index();
        log.commit_to(commit);
        log
    }

    pub fn base_index(&self) -> LogIndex {
        self.base_index
    }

    pub fn last_index(&self) -> LogIndex {
        LogIndex(self.base_index.0 + self.entries.len() as u64)
    }

    pub fn last_term(&self) -> Term {
        self.entries
            .back()
            .map_or(self.base_term, |entry| entry.term)
    }

    pub fn commit(&self) -> LogIndex {
        self.commit
    }

    pub fn durable(&self) -> LogIndex {
        self.durable
    }

    pub fn delivered(&self) -> LogIndex {
        self.delivered
    }

    pub fn snapshot(&self) -> Option<&Arc<Snapshot>> {
        self.snapshot.as_ref()
    }

    /// Returns the size of all entries, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the size of the entries that are not known to be committed, in bytes.
    pub fn uncommitted_bytes(&self) -> usize {
        self.uncommitted_bytes
    }

    /// Returns the lowest index after which the entries up to `index` have a total size of at most `max_bytes`.
    pub fn index_before_bytes(&self, index: LogIndex, max_bytes: usize) -> LogIndex {
        let count = index.0.saturating_sub(self.base_index.0) as usize;
        let entries = self.entries.iter().take(count).rev();
        let mut bytes = 0;
        let fitting = entries.take_while(|entry| {
            bytes += entry_size(entry);
            bytes <= max_bytes
        });
        LogIndex(index.0 - fitting.count() as u64)
    }

    /// Returns the term of the entry at an index; `None` if the index is before `base_index` or after the
    /// last entry.
    pub fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.entry_at(index).map(|entry| entry.term)
    }

    fn entry_at(&self, index: LogIndex) -> Option<&Entry> {
        let position = index.0.checked_sub(self.base_index.0 + 1)?;
        self.entries.get(usize::try_from(position).ok()?)
    }

    /// Iterates over all entries, in order.
    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter()
    }

    /// Iterates over the entries from `from` on; empty if the log no longer contains that entry.
    pub fn entries_from(&self, from: LogIndex) -> impl Iterator<Item = &Entry> {
        let position = from.0.checked_sub(self.base_index.0 + 1);
        let entries = position.map(|position| self.entries.iter().skip(position as usize));
        entries.into_iter().flatten()
    }

    /// Returns entries from `from` on, within both limits. The first entry is included even if it exceeds
    /// `max_bytes`.
    pub fn batch(&self, from: LogIndex, max_entries: usize, max_bytes: usize) -> Vec<Entry> {
        let mut bytes = 0;
        let mut batch = Vec::new();
        for entry in self.entries_from(from).take(max_entries) {
            bytes += entry_size(entry);
            if bytes > max_bytes && !batch.is_empty() {
                break;
            }
            batch.push(entry.clone());
        }
        batch
    }

    /// Returns whether the entries from `from` on have a total size of at least `bytes`.
    pub fn has_bytes_from(&self, from: LogIndex, bytes: usize) -> bool {
        let mut remaining = bytes;
        for entry in self.entries_from(from) {
            remaining = remaining.saturating_sub(entry_size(entry));
            if remaining == 0 {
                return true;
            }
        }
        false
    }

    /// Appends an entry proposed by this replica as leader and returns its index.
    pub fn append(&mut self, term: Term, payload: EntryPayload) -> LogIndex {
        let index = LogIndex(self.last_index().0 + 1);
        self.push_back(Entry {
            index,
            term,
            payload,
        });
        index
    }

    fn push_back(&mut self, entry: Entry) {
        let bytes = entry_size(&entry);
        self.bytes += bytes;
        self.uncommitted_bytes += bytes;
        self.entries.push_back(entry);
    }

    /// Appends an entry received from a leader. It is ignored unless its index follows the last one.
    pub fn push(&mut self, entry: Entry) {
        if entry.index.0 == self.last_index().0 + 1 {
            self.push_back(entry);
        }
    }

    /// Removes uncommitted entries from `index` on.
    pub fn truncate_from(&mut self, index: LogIndex) {
        let first = index.0.max(self.commit.0 + 1);
        let kept = first.saturating_sub(self.base_index.0 + 1) as usize;
        let removed = self.entries.drain(kept.min(self.entries.len())..);
        let removed_bytes = removed.map(|entry| entry_size(&entry)).sum::<usize>();
        self.bytes -= removed_bytes;
        self.uncommitted_bytes -= removed_bytes;
        self.handed_to_storage = self.handed_to_storage.min(self.last_index());
        self.durable = self.durable.min(self.last_index());
    }

    /// Raises the commit index to `index`, at most to the last entry. Returns whether it changed.
    pub fn commit_to(&mut self, index: LogIndex) -> bool {
        let index = index.min(self.last_index());
        if index <= self.commit {
            return false;
        }
        let newly_committed = (index.0 - self.commit.0) as usize;
        let entries = self.entries_from(LogIndex(self.commit.0 + 1));
        let bytes: usize = entries.take(newly_committed).map(entry_size).sum();
        self.uncommitted_bytes -= bytes;
        self.commit = index;
        true
    }

    /// Returns the entries that were not yet returned for storage.
    pub fn take_unsaved(&mut self) -> Vec<Entry> {
        let from = self.handed_to_storage.0 - self.base_index.0;
        self.handed_to_storage = self.last_index();
        self.entries.iter().skip(from as usize).cloned().collect()
    }

    /// Returns the next committed entries that were not yet returned for the state machine, of at most `max_bytes`
    /// together. The first one is included even if it is larger.
    pub fn take_committed(&mut self, max_bytes: usize) -> Vec<Entry> {
        let count = (self.commit.0 - self.delivered.0) as usize;
        let entries = self.batch(LogIndex(self.delivered.0 + 1), count, max_bytes);
        self.delivered.0 += entries.len() as u64;
        entries
    }

    /// Records that all entries returned for storage are durable.
    pub fn mark_durable(&mut self) {
        self.durable = self.handed_to_storage;
    }

    /// Replaces the whole log by a snapshot received from a leader.
    pub fn install(&mut self, snapshot: Arc<Snapshot>) {
        self.base_index = snapshot.meta.index;
        self.base_term = snapshot.meta.term;
        self.entries.clear();
        self.bytes = 0;
        self.uncommitted_bytes = 0;
        self.commit = self.base_index;
        self.delivered = self.base_index;
        self.handed_to_storage = self.base_index;
        self.durable = self.base_index;
        self.snapshot = Some(snapshot);
    }

    /// Sets a snapshot taken by this replica and discards entries up to `keep_after`.
    pub fn compact(&mut self, snapshot: Arc<Snapshot>, keep_after: LogIndex) {
        let keep_after = keep_after.clamp(self.base_index, snapshot.meta.index);
        if let Some(term) = self.term_at(keep_after) {
            let dropped = keep_after.0 - self.base_index.0;
            let dropped = self.entries.drain(..dropped as usize);
            self.bytes -= dropped.map(|entry| entry_size(&entry)).sum::<usize>();
            self.base_index = keep_after;
            self.base_term = term;
        }
        self.handed_to_storage = self.handed_to_storage.max(self.base_index);
        self.durable = self.durable.max(self.base_index);
        self.snapshot = Some(snapshot);
    }

    /// Returns the index at which a leader should probe next, after its entry of `previous_term` at
    /// `previous_index` did not match. It is before the entries of the conflicting term and its term is not
    /// above `previous_term`; it is not below the commit index, since committed entries always match. It is
    /// the last index if the log ends before `previous_index`.
    pub fn last_possible_match(&self, previous_index: LogIndex, previous_term: Term) -> LogIndex {
        if previous_index > self.last_index() {
            return self.last_index();
        }
        let conflicting = self.term_at(previous_index);
        let mut index = previous_index.0.saturating_sub(1);
        while index > self.commit.0 {
            let term = self.term_at(LogIndex(index));
            if term != conflicting && term <= Some(previous_term) {
                break;
            }
            index -= 1;
        }
        LogIndex(index.max(self.commit.0))
    }
}

/// Returns the estimated size of an entry in memory, in bytes.
pub fn entry_size(entry: &Entry) -> usize {
    let payload = match &entry.payload {
        EntryPayload::Noop => 0,
        EntryPayload::Command(command) => command.0.len(),
        EntryPayload::Membership(membership) => membership.members.len() * MEMBER_BYTES,
    };
    payload + ENTRY_OVERHEAD_BYTES
}
