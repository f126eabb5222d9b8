//! The control node: consensus, storage and the ownership state machine, composed without clock or network
//! I/O.
//!
//! Invariant: [`ControlNode::handle`] returns an output only after everything that it depends on is synced,
//! and operators and routers are answered from committed entries only.

use std::collections::BTreeSet;
use std::time::Duration;

use grebepin_consensus::Consensus;
use grebepin_ownership::OwnershipState;
use grebepin_replica::{LogWriter, SnapshotSchedule};
use grebepin_schema::{LogIndex, PeerFrame, ReplicaId};
use grebepin_storage::{Disk, ReplicaStorage};

mod admin;
mod calls;
pub mod config;
pub mod error;
mod founding;
pub mod input;
mod joining;
mod leadership;
mod members;
pub mod output;
mod replication;
mod routers;
mod startup;
mod status;
pub mod tolerance;
mod waiting;

use calls::Calls;
use config::NodeConfig;
use error::NodeError;
use input::NodeInput;
use joining::Joining;
pub(crate) use leadership::api_error;
use leadership::Leadership;
use output::{NodeMetrics, NodeOutput, Notice};
use routers::Routers;
use waiting::Waiting;

/// One replica of a control group. It is driven by inputs and has no clock, sockets or threads of its own.
pub struct ControlNode<D: Disk> {
    config: NodeConfig,
    replica: ReplicaId,
    storage: ReplicaStorage<D>,
    consensus: Consensus,
    state: OwnershipState,
    applied: LogIndex,
    /// Tracks the hard state that was last made durable.
    log_writer: LogWriter,
    snapshots: SnapshotSchedule,
    leadership: Option<Leadership>,
    waiting: Waiting,
    routers: Routers,
    calls: Calls,
    joining: Joining,
    metrics: NodeMetrics,
    failed: bool,
    outputs: Vec<NodeOutput>,
}

impl<D: Disk> ControlNode<D> {
    /// Opens the node on its disk; an empty data directory gets the configuration's `fresh_replica` identity.
    ///
    /// # Errors
    /// The data directory is damaged, can't be read or written, or belongs to another group.
    pub fn open(config: NodeConfig, disk: D, now: Duration) -> Result<Self, NodeError> {
        startup::open(config, disk, now)
    }

    /// Identity of this replica, stored in its data directory.
    pub fn replica(&self) -> ReplicaId {
        self.replica
    }

    /// Consensus state, for status reports and invariant checks.
    pub fn consensus(&self) -> &Consensus {
        &self.consensus
    }

    /// The applied ownership state, for status reports and invariant checks.
    pub fn state(&self) -> &OwnershipState {
        &self.state
    }

    /// Whether this replica is the leader and its coordinator runs.
    pub fn is_serving(&self) -> bool {
        self.leadership.is_some()
    }

    /// Returns the disk, so that a node can be opened on it again.
    pub fn into_disk(self) -> D {
        self.storage.into_disk()
    }

    /// Handles a batch of inputs and returns the outputs to execute, in order.
    ///
    /// Writes caused by the batch share one sync; writes that follow from them, such as the coordinator's
    /// next commands, need another. After [`NodeOutput::Failed`] every later input is ignored.
    pub fn handle(&mut self, now: Duration, inputs: Vec<NodeInput>) -> Vec<NodeOutput> {
        if self.failed {
            return Vec::new();
        }
        self.consensus.tick(now);
        let mut result = Ok(());
        for input in inputs {
            result = result.and_then(|()| self.handle_input(now, input));
        }
        result = result.and_then(|()| self.advance(now));
        if let Err(error) = result {
            self.failed = true;
            self.outputs.push(NodeOutput::Failed(error));
        }
        std::mem::take(&mut self.outputs)
    }

    /// Latest time of the next call of [`ControlNode::handle`].
    pub fn next_wake(&self) -> Duration {
        let mut wake = self.consensus.next_wake();
        if let Some(leadership) = &self.leadership {
            wake = wake.min(leadership.next_wake());
            wake = wake.min(self.routers.next_wake());
        }
        if let Some(retry) = self.joining.next_wake() {
            wake = wake.min(retry);
        }
        wake
    }

    fn handle_input(&mut self, now: Duration, input: NodeInput) -> Result<(), NodeError> {
        match input {
            NodeInput::Tick => {}
            NodeInput::Peer(frame) => self.handle_peer(now, frame),
            NodeInput::BackEnd { call, answer } => self.handle_call(now, call, answer),
            NodeInput::Router { connection, frame } => self.handle_router(now, connection, frame),
            NodeInput::RouterClosed { connection } => self.routers.close(connection),
            NodeInput::Admin { reply, request } => self.handle_admin(now, reply, request)?,
            NodeInput::Machines(machines) => self.handle_machines(now, machines),
        }
        Ok(())
    }

    fn handle_peer(&mut self, now: Duration, frame: PeerFrame) {
        match frame {
            PeerFrame::Message(message) if message.to == self.replica => {
                self.consensus.step(now, message);
            }
            PeerFrame::Message(_) => {}
            PeerFrame::JoinRequest(request) => self.handle_join(now, request),
            PeerFrame::JoinResponse(response) => self.handle_join_response(now, response),
        }
    }

    /// Whether this replica belongs to a group: founded, or with a copy of a group's log.
    fn is_founded(&self) -> bool {
        self.storage.identity().cluster.is_some() || self.has_log()
    }

    fn has_log(&self) -> bool {
        !self.consensus.membership().members.is_empty()
    }

    fn notice(&mut self, notice: Notice) {
        self.outputs.push(NodeOutput::Notice(notice));
    }

    /// Members that sent a message within the failure timeout, and this replica itself. Only the leader knows
    /// of others.
    fn alive_members(&self, now: Duration) -> BTreeSet<ReplicaId> {
        let timeout = self.config.failure_timeout();
        let progress = self.consensus.member_progress().into_iter();
        progress
            .filter(|(_, _, last_heard)| {
                last_heard.is_some_and(|at| now.saturating_sub(at) <= timeout)
            })
            .map(|(replica, _, _)| replica)
            .chain([self.replica])
            .collect()
    }
}
