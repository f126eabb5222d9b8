//! Makes the state in a [`Ready`] of consensus durable.
//!
//! Invariant: all state that the messages of a [`Ready`] depend on is synced when [`LogWriter::write`] returns.

use grebepin_consensus::Ready;
use grebepin_schema::{HardState, ReplicaId, Term};
use grebepin_storage::{Disk, ReplicaStorage, StorageError};

/// Counts of one [`LogWriter::write`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WriteStats {
    /// Number of storage writes, each of which syncs at least once.
    pub syncs: u64,
    /// Number of log entries written.
    pub entries: u64,
}

/// Writes the log of a replica. Remembers the durable vote, so that a hard state with the same vote needs no
/// write of its own.
#[derive(Debug)]
pub struct LogWriter {
    durable_vote: (Term, Option<ReplicaId>),
}

impl LogWriter {
    /// Creates a writer for a folder whose persisted hard state is `hard_state`.
    pub fn new(hard_state: &HardState) -> Self {
        Self {
            durable_vote: vote_of(hard_state),
        }
    }

    /// Writes and syncs the snapshot, the hard state and the entries of `ready`.
    ///
    /// # Errors
    /// The write failed; no message of `ready` may be sent.
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
            // A commit index alone need not be durable, because the leader sends it again.
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
