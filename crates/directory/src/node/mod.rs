//! The replica's decisions: consensus, storage, catalog and leases as one value without clock,
//! sockets or threads.
//!
//! Invariants: an output leaves only after all it rests on is synced; a grant, a read or an
//! acknowledged heartbeat leaves only inside the leader's own lease, judged by the clock after the sync;
//! a call whose outcome is not known gets no clear answer, never a refusal.

mod config;
mod founding;
mod leading;
mod membership;
mod messages;
mod replication;
mod voters;
mod waiting;

use std::collections::VecDeque;
use std::time::Duration;

use grebepin_catalog::{Catalog, Entry};
use grebepin_consensus::Consensus;
use grebepin_replica::LogWriter;
use grebepin_schema::{LogIndex, ReplicaId};
use grebepin_storage::{Disk, ReplicaStorage, StorageError};

pub use config::{FaultTolerance, NodeConfig, NodeTiming};
use leading::Leadership;
use membership::Joining;
pub use messages::{CallId, NodeInput, NodeOutput, Notice};
use waiting::Waiting;

/// Why a replica can't go on.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// The disk refused or the folder is damaged.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// A committed entry or a snapshot does not decode.
    #[error("the log holds what does not decode: {0}")]
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
    /// Entries up to this index were known to be committed at the start: they are no news.
    replay_until: LogIndex,
    /// The last applied entries, for gateways that missed a few.
    recent: VecDeque<(u64, Entry)>,
    log_writer: LogWriter,
    leadership: Option<Leadership>,
    waiting: Waiting,
    joining: Joining,
    /// When a leader last spoke to this replica while everything that it had committed was applied here.
    caught_up: Option<Duration>,
    outputs: Vec<NodeOutput>,
}

/// Time after the last word of a leader for which what a replica holds counts as fresh: two of a leader's
/// rounds of 60 ms that get lost, an election of 250 ms, and a margin. A gateway has 2 s to learn of a change
/// by another way.
const FRESH_FOR: Duration = Duration::from_millis(600);

impl<D: Disk> Node<D> {
    /// The replicated state as far as it is applied here.
    pub fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// Log index that is applied here.
    pub fn applied(&self) -> u64 {
        self.applied.0
    }

    /// Consensus state, for reports and checks.
    pub fn consensus(&self) -> &Consensus {
        &self.consensus
    }

    /// Gives the disk back, to be opened anew.
    pub fn into_disk(self) -> D {
        self.storage.into_disk()
    }

    /// Entries after a log index, or `None` when they are no longer at hand and the whole state
    /// must be sent.
    pub fn entries_after(&self, index: u64) -> Option<Vec<(u64, Entry)>> {
        if index >= self.applied.0 {
            return Some(Vec::new());
        }
        let first = self.recent.front()?.0;
        if first > index + 1 {
            return None;
        }
        let news = self.recent.iter().filter(|(at, _)| *at > index);
        Some(
            news.map(|(at, entry)| (*at, entry.without_documents()))
                .collect(),
        )
    }

    /// Handles a batch of inputs and says what to do. `clock` tells the present time; it is asked
    /// again after each sync, which may take long.
    ///
    /// # Errors
    /// The replica can't go on and must be opened anew.
    pub fn handle(
        &mut self,
        clock: &mut dyn FnMut() -> Duration,
        inputs: Vec<NodeInput>,
    ) -> Result<Vec<NodeOutput>, NodeError> {
        let now = clock();
        for input in inputs {
            self.take_in(now, input);
        }
        // Only now: what came in while this process was held up may show that a majority answers.
        self.consensus.tick(now);
        self.advance(clock)?;
        self.note_caught_up();
        Ok(std::mem::take(&mut self.outputs))
    }

    fn note_caught_up(&mut self) {
        if let Some((at, committed)) = self.consensus.leader_contact() {
            if self.applied >= committed {
                self.caught_up = Some(at);
            }
        }
    }

    /// Whether what is applied here is fresh enough to feed gateways with.
    pub fn is_fed(&self, now: Duration) -> bool {
        let is_member = !self.consensus.membership().members.is_empty();
        let caught_up = self.caught_up.is_some_and(|at| now < at + FRESH_FOR);
        self.leads_surely(now) || (is_member && caught_up)
    }

    /// When [`Node::handle`] must be called next, at the latest.
    pub fn next_wake(&self) -> Duration {
        let mut wake = self.consensus.next_wake();
        if let Some(leadership) = &self.leadership {
            wake = wake.min(leadership.next_tick);
        }
        wake.min(self.joining.next_at)
    }

    fn take_in(&mut self, now: Duration, input: NodeInput) {
        match input {
            NodeInput::Peer(frame) => self.take_in_peer(now, frame),
            NodeInput::Call { id, call } => self.take_in_call(now, id, call),
            NodeInput::Crashes(reports) => {
                if let Some(leadership) = &mut self.leadership {
                    let book = &mut leadership.crashes;
                    reports.iter().for_each(|report| book.note(now, report));
                }
            }
            NodeInput::Load(sample) => {
                if let Some(leadership) = &mut self.leadership {
                    leadership.coordinator.on_load(now, &self.catalog, &sample);
                }
            }
        }
    }

    fn notice(&mut self, notice: Notice) {
        self.outputs.push(NodeOutput::Notice(notice));
    }
}
