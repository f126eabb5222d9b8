//! Decision logic of a replica: consensus, storage, catalog and leases as one value without a clock, sockets
//! or threads.
//!
//! Invariants: an output is returned only after everything it depends on is synced; a grant, a read or an
//! acknowledged heartbeat is returned only within the leader's own lease, checked against the clock after the
//! sync; a call whose outcome is unknown is answered as unavailable, never as refused.

mod config;
mod founding;
mod leading;
mod membership;
mod messages;
mod open_entries;
mod pending_calls;
mod replication;
mod voters;

use std::time::Duration;

use grebepin_catalog::{Catalog, Entry, RecentEntries};
use grebepin_consensus::Consensus;
use grebepin_replica::{LogWriter, SnapshotSchedule};
use grebepin_schema::{LogIndex, ReplicaId};
use grebepin_storage::{Disk, ReplicaStorage, StorageError};

use crate::call::CallBasis;
pub use config::{FaultTolerance, NodeConfig, NodeTiming};
use leading::Leadership;
use membership::Joining;
pub use messages::{CallId, EvacuationOutcome, NodeInput, NodeOutput, Notice};
use pending_calls::PendingCalls;

/// Why a replica cannot continue.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// A disk operation failed or the data folder is damaged.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// A committed entry or a snapshot cannot be decoded.
    #[error("a log entry or snapshot cannot be decoded: {0}")]
    Decode(#[from] grebepin_reactor::FrameError),
}

/// One replica of the directory.
pub struct Node<D: Disk> {
    config: NodeConfig,
    replica: ReplicaId,
    storage: ReplicaStorage<D>,
    consensus: Consensus,
    catalog: Catalog,
    applied: LogIndex,
    /// Highest index known to be committed at startup. Entries up to it are replayed without log lines.
    replay_until: LogIndex,
    /// The most recently applied entries, without the items' documents, for gateways that are a few entries behind.
    recent_entries: RecentEntries,
    log_writer: LogWriter,
    snapshots: SnapshotSchedule,
    leadership: Option<Leadership>,
    pending_calls: PendingCalls,
    joining: Joining,
    /// When a leader was last in contact while everything that it had committed was applied here.
    caught_up_at: Option<Duration>,
    outputs: Vec<NodeOutput>,
}

/// Estimated memory that a replica's log and what is kept of it takes, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldBytes {
    /// Entries of the log that no snapshot covers, or that are retained for followers.
    pub log: usize,
    /// Applied entries that are kept for gateways.
    pub recent_entries: usize,
}

/// How long a replica's state counts as fresh after the last contact with a leader: two lost leader
/// heartbeats of 60 ms each, an election of 250 ms, and a margin. A gateway has 2 s to learn of a change from
/// another source.
const FRESHNESS_LIMIT: Duration = Duration::from_millis(600);

impl<D: Disk> Node<D> {
    /// The replicated state as applied on this replica.
    pub fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// What this replica knows, for calls that are sent later.
    pub fn call_basis(&self) -> CallBasis {
        CallBasis {
            evacuation_call: Some(self.catalog.last_evacuation_call()),
        }
    }

    /// Highest log index that is applied.
    pub fn applied(&self) -> u64 {
        self.applied.0
    }

    /// Consensus state, for reports and checks.
    pub fn consensus(&self) -> &Consensus {
        &self.consensus
    }

    /// Memory that the log and what is kept of it takes.
    pub fn held_bytes(&self) -> HeldBytes {
        HeldBytes {
            log: self.consensus.log_bytes(),
            recent_entries: self.recent_entries.bytes(),
        }
    }

    /// Returns the disk so that a node can be reopened on it.
    pub fn into_disk(self) -> D {
        self.storage.into_disk()
    }

    /// Applied entries after a log index, without the items' documents. `None` if they are no longer kept, so that the complete state must
    /// be sent.
    pub fn entries_after(&self, index: u64) -> Option<Vec<(u64, Entry)>> {
        if index >= self.applied.0 {
            return Some(Vec::new());
        }
        self.recent_entries.after(index)
    }

    /// Processes a batch of inputs and returns the actions to perform. `clock` returns the current time; it
    /// is read again after each sync, which may take long.
    ///
    /// # Errors
    /// The replica cannot continue and must be reopened.
    pub fn handle(
        &mut self,
        clock: &mut dyn FnMut() -> Duration,
        inputs: Vec<NodeInput>,
    ) -> Result<Vec<NodeOutput>, NodeError> {
        let now = clock();
        for input in inputs {
            self.handle_input(now, input);
        }
        // Ticks after the inputs: messages received while this process was suspended may show that a majority
        // responds.
        self.consensus.tick(now);
        self.advance(clock)?;
        self.update_caught_up_at();
        Ok(std::mem::take(&mut self.outputs))
    }

    fn update_caught_up_at(&mut self) {
        if let Some((at, committed)) = self.consensus.leader_commit() {
            if self.applied >= committed {
                self.caught_up_at = Some(at);
            }
        }
    }

    /// Whether the applied state is fresh enough to be sent to gateways.
    pub fn is_fed(&self, now: Duration) -> bool {
        let is_member = !self.consensus.membership().members.is_empty();
        let caught_up = self
            .caught_up_at
            .is_some_and(|at| now < at + FRESHNESS_LIMIT);
        self.holds_leader_lease(now) || (is_member && caught_up)
    }

    /// The latest time at which [`Node::handle`] must be called again.
    pub fn next_wake(&self) -> Duration {
        let mut wake = self.consensus.next_wake();
        if let Some(leadership) = &self.leadership {
            wake = wake.min(leadership.next_tick);
        }
        wake.min(self.joining.next_at)
    }

    fn handle_input(&mut self, now: Duration, input: NodeInput) {
        match input {
            NodeInput::Peer(frame) => self.handle_peer_frame(now, frame),
            NodeInput::Call { id, call, basis } => self.handle_call(now, id, call, basis),
            NodeInput::Crashes(reports) => {
                if let Some(leadership) = &mut self.leadership {
                    let tracker = &mut leadership.crashes;
                    reports
                        .iter()
                        .for_each(|report| tracker.record(now, report));
                }
            }
            NodeInput::Load(sample) => {
                if let Some(leadership) = &mut self.leadership {
                    leadership.coordinator.on_load(now, &self.catalog, &sample);
                }
            }
        }
    }

    fn push_notice(&mut self, notice: Notice) {
        self.outputs.push(NodeOutput::Notice(notice));
    }
}
