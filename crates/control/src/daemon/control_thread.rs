//! The one thread that owns the replica's state.
//!
//! Invariant: it never waits for anyone but the disk: sends to replicas, routers, back ends and
//! operators are handed to other threads or dropped.

use std::collections::BTreeMap;
use std::time::Duration;

use crossbeam_channel::{Receiver, RecvTimeoutError};

use super::back_ends::BackEnds;
use super::events;
use super::liveness::Liveness;
use super::message::{AnswerSender, Message};
use super::peer_links::PeerLinks;
use super::router_links::RouterLinks;
use super::timed_disk::TimedDisk;
use crate::node::error::NodeError;
use crate::node::input::{NodeInput, ReplyId};
use crate::node::output::NodeOutput;
use crate::node::ControlNode;

/// Messages taken in together, with one sync.
const BATCH: usize = 256;

/// Longest sleep, so that the thread is seen to turn.
const LONGEST_SLEEP: Duration = Duration::from_millis(250);

/// The control thread's state.
pub(super) struct ControlThread {
    pub(super) node: ControlNode<TimedDisk>,
    pub(super) inbox: Receiver<Message>,
    pub(super) peers: PeerLinks,
    pub(super) routers: RouterLinks,
    pub(super) back_ends: BackEnds,
    pub(super) liveness: Liveness,
    pub(super) replies: Replies,
}

/// Operators who wait for an answer.
#[derive(Default)]
pub(super) struct Replies {
    next: u64,
    open: BTreeMap<ReplyId, AnswerSender>,
}

impl Replies {
    fn begin(&mut self, answer: AnswerSender) -> ReplyId {
        let reply = ReplyId(self.next);
        self.next += 1;
        self.open.insert(reply, answer);
        reply
    }
}

impl ControlThread {
    /// Turns until the process stops or the node fails.
    pub(super) fn run(mut self) -> Result<(), NodeError> {
        let mut inputs = Vec::new();
        loop {
            let stop = self.take_in(&mut inputs);
            let now = self.liveness.now();
            self.liveness.turn(now);
            inputs.push(NodeInput::Tick);
            let outputs = self.node.handle(now, std::mem::take(&mut inputs));
            for output in outputs {
                inputs.extend(self.carry_out(output)?);
            }
            if stop {
                return Ok(());
            }
        }
    }

    /// Waits for messages and adds their inputs; whether the process should stop.
    fn take_in(&mut self, inputs: &mut Vec<NodeInput>) -> bool {
        let wait = match inputs.is_empty() {
            true => self.node.next_wake().saturating_sub(self.liveness.now()),
            false => Duration::ZERO,
        };
        let first = match self.inbox.recv_timeout(wait.min(LONGEST_SLEEP)) {
            Ok(message) => message,
            Err(RecvTimeoutError::Timeout) => return false,
            Err(RecvTimeoutError::Disconnected) => return true,
        };
        let rest: Vec<Message> = self.inbox.try_iter().take(BATCH - 1).collect();
        let mut stop = false;
        for message in std::iter::once(first).chain(rest) {
            match message {
                Message::Input(input) => inputs.push(self.note(input)),
                Message::Admin { request, answer } => {
                    let reply = self.replies.begin(answer);
                    inputs.push(NodeInput::Admin { reply, request });
                }
                Message::RouterOpened { connection, link } => self.routers.open(connection, link),
                Message::Stop => stop = true,
            }
        }
        stop
    }

    fn note(&mut self, input: NodeInput) -> NodeInput {
        if let NodeInput::RouterClosed { connection } = &input {
            self.routers.close(*connection);
        }
        input
    }

    /// Carries out one output; what follows from it at once, as an input.
    fn carry_out(&mut self, output: NodeOutput) -> Result<Option<NodeInput>, NodeError> {
        let follows = match output {
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
                if let Some(answer) = self.replies.open.remove(&reply) {
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
        Ok(follows)
    }
}
