//! Operators and routers that wait for an entry to be committed or a read to be confirmed.
//!
//! Invariant: everyone who waits is answered exactly once: with the result of the very entry that was
//! proposed, or with `lost-leadership` when its outcome can't be known here any more.

use std::collections::BTreeMap;

use grebepin_consensus::ReadId;
use grebepin_schema::{LogIndex, Term};

use super::input::{ConnectionId, ReplyId};

/// Who waits for an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum EntryWaiter {
    /// Asked to put a bundle in force.
    Bundle(ReplyId),
    /// Asked to drain a server, or to bring it back.
    Drain(ReplyId),
    /// Asked to remove a member.
    RemoveMember(ReplyId),
}

impl EntryWaiter {
    pub(super) fn reply(&self) -> ReplyId {
        match self {
            Self::Bundle(reply) | Self::Drain(reply) | Self::RemoveMember(reply) => *reply,
        }
    }
}

/// Who waits for a linearizable read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum ReadWaiter {
    /// Asked for the bundle in force.
    Bundle(ReplyId),
    /// Asked for the routing table.
    Table(ReplyId),
    /// A router that asked for the table.
    Follow(ConnectionId),
}

/// Everyone who waits.
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

    /// Who waits for the committed entry. An entry of another term at the index is not the one that
    /// was proposed: its waiter is left for [`Waiting::take_all`].
    pub(super) fn take_entry(&mut self, term: Term, index: LogIndex) -> Option<EntryWaiter> {
        let (proposed, _) = self.entries.get(&index)?;
        if *proposed != term {
            return None;
        }
        self.entries.remove(&index).map(|(_, waiter)| waiter)
    }

    /// Notes that a majority confirmed a read, which is answered once `index` is applied.
    pub(super) fn confirm_read(&mut self, read: ReadId, index: LogIndex) {
        if let Some(waiter) = self.reads.remove(&read) {
            self.confirmed.push((index, waiter));
        }
    }

    /// Confirmed reads that may be answered now.
    pub(super) fn take_reads(&mut self, applied: LogIndex) -> Vec<ReadWaiter> {
        let (due, later) = std::mem::take(&mut self.confirmed)
            .into_iter()
            .partition(|(index, _)| *index <= applied);
        self.confirmed = later;
        let due: Vec<(LogIndex, ReadWaiter)> = due;
        due.into_iter().map(|(_, waiter)| waiter).collect()
    }

    /// Everyone, after leadership was lost.
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
