//! The control node: consensus, storage and the ownership state machine as one pure value.
//!
//! Invariant: an output leaves [`ControlNode::handle`] only after everything it rests on is synced,
//! and the state that answers an operator or a router is made of committed entries only.

use std::collections::BTreeSet;
use std::time::Duration;

use grebepin_consensus::Consensus;
use grebepin_ownership::OwnershipState;
use grebepin_replica::LogWriter;
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

/// One replica of a control group, without clock, sockets or threads.
pub struct ControlNode<D: Disk> {
    config: NodeConfig,
    replica: ReplicaId,
    storage: ReplicaStorage<D>,
    consensus: Consensus,
    state: OwnershipState,
    applied: LogIndex,
    /// Term and vote last made durable.
    log_writer: LogWriter,
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
    /// Opens the node on its disk; an empty folder takes the fresh identity of the configuration.
    ///
    /// # Errors
    /// The folder is damaged, can't be read or written, or belongs to another group.
    pub fn open(config: NodeConfig, disk: D, now: Duration) -> Result<Self, NodeError> {
        startup::open(config, disk, now)
    }

    /// Identity of this replica's folder.
    pub fn replica(&self) -> ReplicaId {
        self.replica
    }

    /// Consensus state, for reports and checks.
    pub fn consensus(&self) -> &Consensus {
        &self.consensus
    }

    /// The applied state, for reports and checks.
    pub fn state(&self) -> &OwnershipState {
        &self.state
    }

    /// Whether this replica leads and serves.
    pub fn is_serving(&self) -> bool {
        self.leadership.is_some()
    }

    /// Gives the disk back, to be opened anew.
    pub fn into_disk(self) -> D {
        self.storage.into_disk()
    }

    /// Handles a batch of inputs, and says what to do next.
    ///
    /// All that the inputs make durable is synced together; what follows from it, such as the
    /// coordinator's next commands, takes one more sync.
    pub fn handle(&mut self, now: Duration, inputs: Vec<NodeInput>) -> Vec<NodeOutput> {
        if self.failed {
            return Vec::new();
        }
        self.consensus.tick(now);
        let mut result = Ok(());
        for input in inputs {
            result = result.and_then(|()| self.take_in(now, input));
        }
        result = result.and_then(|()| self.advance(now));
        if let Err(error) = result {
            self.failed = true;
            self.outputs.push(NodeOutput::Failed(error));
        }
        std::mem::take(&mut self.outputs)
    }

    /// When [`ControlNode::handle`] must be called next, at the latest.
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

    fn take_in(&mut self, now: Duration, input: NodeInput) -> Result<(), NodeError> {
        match input {
            NodeInput::Tick => {}
            NodeInput::Peer(frame) => self.take_in_peer(now, frame),
            NodeInput::BackEnd { call, answer } => self.take_in_call(now, call, answer),
            NodeInput::Router { connection, frame } => self.take_in_router(now, connection, frame),
            NodeInput::RouterClosed { connection } => self.routers.close(connection),
            NodeInput::Admin { reply, request } => self.take_in_admin(now, reply, request)?,
            NodeInput::Machines(machines) => self.take_in_machines(now, machines),
        }
        Ok(())
    }

    fn take_in_peer(&mut self, now: Duration, frame: PeerFrame) {
        match frame {
            PeerFrame::Message(message) if message.to == self.replica => {
                self.consensus.step(now, message);
            }
            PeerFrame::Message(_) => {}
            PeerFrame::JoinRequest(request) => self.take_in_join(now, request),
            PeerFrame::JoinResponse(response) => self.take_in_join_response(now, response),
        }
    }

    /// Whether this replica belongs to a group: founded, or with a copy of a group's log.
    fn is_founded(&self) -> bool {
        self.storage.identity().cluster.is_some() || self.has_copy()
    }

    fn has_copy(&self) -> bool {
        !self.consensus.membership().members.is_empty()
    }

    fn notice(&mut self, notice: Notice) {
        self.outputs.push(NodeOutput::Notice(notice));
    }

    /// Members heard from lately, as the leader knows; this replica alone otherwise.
    fn alive_members(&self, now: Duration) -> BTreeSet<ReplicaId> {
        let limit = self.config.silence_limit();
        let heard = self.consensus.member_progress().into_iter();
        heard
            .filter(|(_, _, heard)| heard.is_some_and(|at| now.saturating_sub(at) <= limit))
            .map(|(replica, _, _)| replica)
            .chain([self.replica])
            .collect()
    }
}
