//! Makes durable what consensus asks for.
//!
//! Invariant: everything of a [`Ready`] that its messages rest on is synced when [`LogWriter::write`] returns.

use grebepin_consensus::Ready;
use grebepin_schema::{HardState, ReplicaId, Term};
use grebepin_storage::{Disk, ReplicaStorage, StorageError};

/// What was written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WriteStats {
    /// Syncs of the disk.
    pub syncs: u64,
    /// Entries of the log.
    pub entries: u64,
}

/// Writes a replica's log; knows which vote is durable already.
#[derive(Debug)]
pub struct LogWriter {
    durable_vote: (Term, Option<ReplicaId>),
}

impl LogWriter {
    /// A writer for a folder that holds this state.
    pub fn new(hard_state: &HardState) -> Self {
        Self {
            durable_vote: vote_of(hard_state),
        }
    }

    /// Writes and syncs what `ready` holds.
    ///
    /// # Errors
    /// The disk refuses; nothing that rests on the write may leave.
    pub fn write<D: Disk>(
        &mut self,
        storage: &mut ReplicaStorage<D>,
        ready: &Ready,
    ) -> Result<WriteStats, StorageError> {
        let mut written = WriteStats::default();
        if let Some((meta, data)) = &ready.snapshot {
            storage.install_snapshot(meta, data)?;
            written.syncs += 1;
        }
        let hard_state = ready.hard_state.as_ref();
        let vote_changed = hard_state.is_some_and(|state| vote_of(state) != self.durable_vote);
        if !vote_changed && ready.entries.is_empty() {
            // A commit index alone may be forgotten: the leader tells it again.
            return Ok(written);
        }
        storage.persist(hard_state, &ready.entries)?;
        written.syncs += 1;
        written.entries = ready.entries.len() as u64;
        if let Some(state) = hard_state {
            self.durable_vote = vote_of(state);
        }
        Ok(written)
    }
}

fn vote_of(state: &HardState) -> (Term, Option<ReplicaId>) {
    (state.term, state.vote)
}
