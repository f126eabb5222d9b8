//! Calls that wait for an entry to be applied or a read to be confirmed.

use std::collections::BTreeMap;

use grebepin_consensus::ReadId;
use grebepin_grants::Heartbeat;
use grebepin_schema::{LogIndex, Term};

use super::messages::CallId;

/// A call that waits for an entry to be applied.
#[derive(Clone, Debug)]
pub(super) enum EntryWaiter {
    /// A heartbeat; its grant is computed after the entry is applied.
    Heartbeat(CallId, Box<Heartbeat>),
    /// A server's announcement of its shutdown.
    Leave(CallId),
    /// A change of configuration items.
    Change(CallId),
    /// Start or end of an evacuation.
    Evacuation(CallId),
}

impl EntryWaiter {
    pub(super) fn call(&self) -> CallId {
        match self {
            Self::Heartbeat(id, _) | Self::Leave(id) | Self::Change(id) | Self::Evacuation(id) => {
                *id
            }
        }
    }
}

/// All calls that wait.
#[derive(Debug, Default)]
pub(super) struct PendingCalls {
    entries: BTreeMap<LogIndex, (Term, EntryWaiter)>,
    reads: BTreeMap<ReadId, CallId>,
    confirmed: Vec<(LogIndex, CallId)>,
}

impl PendingCalls {
    pub(super) fn add_entry(&mut self, term: Term, index: LogIndex, waiter: EntryWaiter) {
        self.entries.insert(index, (term, waiter));
    }

    /// Removes and returns the call that waits for the entry at `index`. Returns it as `Err` if the entry
    /// there is from another term than the one that the call waits for.
    pub(super) fn take_entry(
        &mut self,
        term: Term,
        index: LogIndex,
    ) -> Option<Result<EntryWaiter, EntryWaiter>> {
        let (expected, waiter) = self.entries.remove(&index)?;
        Some(match expected == term {
            true => Ok(waiter),
            false => Err(waiter),
        })
    }

    pub(super) fn add_read(&mut self, read: ReadId, call: CallId) {
        self.reads.insert(read, call);
    }

    pub(super) fn confirm_read(&mut self, read: ReadId, index: LogIndex) {
        if let Some(call) = self.reads.remove(&read) {
            self.confirmed.push((index, call));
        }
    }

    /// Removes and returns the confirmed reads whose index is applied.
    pub(super) fn take_confirmed(&mut self, applied: LogIndex) -> Vec<CallId> {
        let (due, rest) = std::mem::take(&mut self.confirmed)
            .into_iter()
            .partition(|(index, _)| *index <= applied);
        self.confirmed = rest;
        due.into_iter()
            .map(|(_, call): (LogIndex, CallId)| call)
            .collect()
    }

    /// Removes and returns all calls that wait.
    pub(super) fn take_all(&mut self) -> Vec<CallId> {
        let entries = std::mem::take(&mut self.entries);
        let reads = std::mem::take(&mut self.reads);
        let confirmed = std::mem::take(&mut self.confirmed);
        let entries = entries.into_values().map(|(_, waiter)| waiter.call());
        let confirmed = confirmed.into_iter().map(|(_, call)| call);
        entries
            .chain(reads.into_values())
            .chain(confirmed)
            .collect()
    }
}
