//! Requests that wait for an entry to be committed or a read to be confirmed.
//!
//! Invariant: each request is answered exactly once: with the result of the entry that was proposed for it,
//! or with `lost-leadership` once this replica can't learn the outcome any more.

use std::collections::BTreeMap;

use grebepin_consensus::ReadId;
use grebepin_schema::{LogIndex, Term};

use super::input::{ConnectionId, ReplyId};

/// Request that waits for a log entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum EntryWaiter {
    /// Submission of a bundle.
    Bundle(ReplyId),
    /// Start or end of a server's drain.
    Drain(ReplyId),
    /// Removal of a member.
    RemoveMember(ReplyId),
}

impl EntryWaiter {
    pub(super) fn reply(&self) -> ReplyId {
        match self {
            Self::Bundle(reply) | Self::Drain(reply) | Self::RemoveMember(reply) => *reply,
        }
    }
}

/// Request that waits for a linearizable read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum ReadWaiter {
    /// Read of the bundle in force.
    Bundle(ReplyId),
    /// Read of the routing table.
    Table(ReplyId),
    /// First table of a router's connection.
    Follow(ConnectionId),
}

/// All waiting requests.
#[derive(Debug, Default)]
pub(super) struct Waiting {
    entries: BTreeMap<LogIndex, (Term, EntryWaiter)>,
    reads: BTreeMap<ReadId, ReadWaiter>,
    confirmed: Vec<(LogIndex, ReadWaiter)>,
}

impl Waiting {
    pub(super) fn add_entry(&mut self, term: Term, index: LogIndex, waiter: EntryWaiter) {
        self.entries.insert(index, (term, waiter));
    }

    pub(super) fn add_read(&mut self, read: ReadId, waiter: ReadWaiter) {
        self.reads.insert(read, waiter);
    }

    /// Removes and returns the waiter of a committed entry. If the term differs, another entry was committed
    /// at the index, and the waiter stays until [`Waiting::take_all`].
    pub(super) fn take_entry(&mut self, term: Term, index: LogIndex) -> Option<EntryWaiter> {
        let (proposed, _) = self.entries.get(&index)?;
        if *proposed != term {
            return None;
        }
        self.entries.remove(&index).map(|(_, waiter)| waiter)
    }

    /// Records that a majority confirmed a read, which is answered once `index` is applied.
    pub(super) fn confirm_read(&mut self, read: ReadId, index: LogIndex) {
        if let Some(waiter) = self.reads.remove(&read) {
            self.confirmed.push((index, waiter));
        }
    }

    /// Removes and returns the confirmed reads whose index is applied.
    pub(super) fn take_reads(&mut self, applied: LogIndex) -> Vec<ReadWaiter> {
        let (due, later) = std::mem::take(&mut self.confirmed)
            .into_iter()
            .partition(|(index, _)| *index <= applied);
        self.confirmed = later;
        let due: Vec<(LogIndex, ReadWaiter)> = due;
        due.into_iter().map(|(_, waiter)| waiter).collect()
    }

    /// Removes and returns all waiters, after leadership was lost.
    pub(super) fn take_all(&mut self) -> (Vec<EntryWaiter>, Vec<ReadWaiter>) {
        let entries = std::mem::take(&mut self.entries);
        let reads = std::mem::take(&mut self.reads);
        let confirmed = std::mem::take(&mut self.confirmed);
        let entries = entries.into_values().map(|(_, waiter)| waiter);
        let confirmed = confirmed.into_iter().map(|(_, waiter)| waiter);
        let reads = reads.into_values().chain(confirmed);
        (entries.collect(), reads.collect())
    }
}
