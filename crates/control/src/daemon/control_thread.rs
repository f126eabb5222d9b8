//! The thread that owns the replica's state.
//!
//! Invariant: while it handles inputs, it blocks only on disk I/O. Messages to replicas, routers, back ends
//! and operators are queued for other threads; if a queue is full, the frame is dropped, the router is
//! disconnected or the call fails.

use std::collections::BTreeMap;
use std::time::Duration;

use crossbeam_channel::{Receiver, RecvTimeoutError};

use super::back_ends::BackEnds;
use super::events;
use super::liveness::Liveness;
use super::message::{AnswerSender, Message};
use super::peer_connections::PeerConnections;
use super::router_connections::RouterConnections;
use super::timed_disk::TimedDisk;
use crate::node::error::NodeError;
use crate::node::input::{NodeInput, ReplyId};
use crate::node::output::NodeOutput;
use crate::node::ControlNode;

/// Maximum number of messages handled in one batch, whose writes share a sync.
const MAX_BATCH: usize = 256;

/// Maximum wait for messages, so that the liveness timestamp stays fresh.
const MAX_WAIT: Duration = Duration::from_millis(250);

/// The control thread's state.
pub(super) struct ControlThread {
    pub(super) node: ControlNode<TimedDisk>,
    pub(super) inbox: Receiver<Message>,
    pub(super) peers: PeerConnections,
    pub(super) routers: RouterConnections,
    pub(super) back_ends: BackEnds,
    pub(super) liveness: Liveness,
    pub(super) replies: Replies,
}

/// Admin requests that wait for an answer.
#[derive(Default)]
pub(super) struct Replies {
    next_id: u64,
    pending: BTreeMap<ReplyId, AnswerSender>,
}

impl Replies {
    fn begin(&mut self, answer: AnswerSender) -> ReplyId {
        let reply = ReplyId(self.next_id);
        self.next_id += 1;
        self.pending.insert(reply, answer);
        reply
    }
}

impl ControlThread {
    /// Runs the event loop until the process stops or the node fails.
    pub(super) fn run(mut self) -> Result<(), NodeError> {
        let mut inputs = Vec::new();
        loop {
            let stop = self.receive(&mut inputs);
            let now = self.liveness.now();
            self.liveness.record(now);
            inputs.push(NodeInput::Tick);
            let outputs = self.node.handle(now, std::mem::take(&mut inputs));
            for output in outputs {
                inputs.extend(self.execute(output)?);
            }
            if stop {
                return Ok(());
            }
        }
    }

    /// Waits for messages and appends their inputs; returns whether the process should stop.
    fn receive(&mut self, inputs: &mut Vec<NodeInput>) -> bool {
        let wait = match inputs.is_empty() {
            true => self.node.next_wake().saturating_sub(self.liveness.now()),
            false => Duration::ZERO,
        };
        let first = match self.inbox.recv_timeout(wait.min(MAX_WAIT)) {
            Ok(message) => message,
            Err(RecvTimeoutError::Timeout) => return false,
            Err(RecvTimeoutError::Disconnected) => return true,
        };
        let rest: Vec<Message> = self.inbox.try_iter().take(MAX_BATCH - 1).collect();
        let mut stop = false;
        for message in std::iter::once(first).chain(rest) {
            match message {
                Message::Input(input) => inputs.push(self.forward(input)),
                Message::Admin { request, answer } => {
                    let reply = self.replies.begin(answer);
                    inputs.push(NodeInput::Admin { reply, request });
                }
                Message::RouterOpened { connection, writer } => {
                    self.routers.open(connection, writer)
                }
                Message::Stop => stop = true,
            }
        }
        stop
    }

    /// Drops the writer of a router connection that the input reports as closed; returns the input unchanged.
    fn forward(&mut self, input: NodeInput) -> NodeInput {
        if let NodeInput::RouterClosed { connection } = &input {
            self.routers.close(*connection);
        }
        input
    }

    /// Executes one output. An immediate result, such as a call that can't be queued, is returned as an
    /// input.
    fn execute(&mut self, output: NodeOutput) -> Result<Option<NodeInput>, NodeError> {
        let result_input = match output {
            NodeOutput::Peer { address, frame } => {
                self.peers.send(address, frame);
                None
            }
            NodeOutput::BackEnd {
                call,
                address,
                request,
            } => self.back_ends.call(call, address, request),
            NodeOutput::Router { connection, frame } => self.routers.send(connection, frame),
            NodeOutput::AdminReply { reply, result } => {
                if let Some(answer) = self.replies.pending.remove(&reply) {
                    let _ = answer.send(result);
                }
                None
            }
            NodeOutput::Notice(notice) => {
                events::log(&notice);
                None
            }
            NodeOutput::Failed(error) => return Err(error),
        };
        Ok(result_input)
    }
}
