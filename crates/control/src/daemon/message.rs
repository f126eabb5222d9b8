//! What the input/output threads hand to the control thread.

use std::sync::Arc;

use crossbeam_channel::{Receiver, Sender};
use grebepin_schema::ApiError;

use super::router_links::RouterLink;
use crate::node::input::{AdminRequest, ConnectionId, NodeInput};
use crate::node::output::AdminAnswer;

/// Messages that may wait for the control thread; senders wait when it is full.
const WAITING_MESSAGES: usize = 4096;

/// Where an operator's answer goes.
pub(super) type AnswerSender = Sender<Result<AdminAnswer, ApiError>>;

/// One thing for the control thread.
pub(super) enum Message {
    /// An input of the node.
    Input(NodeInput),
    /// An operator asks.
    Admin {
        request: AdminRequest,
        answer: AnswerSender,
    },
    /// A router connected; its frames follow.
    RouterOpened {
        connection: ConnectionId,
        link: RouterLink,
    },
    /// The process should stop.
    Stop,
}

/// Hands messages to the control thread.
pub(super) type Inbox = Sender<Message>;

pub(super) fn channel() -> (Inbox, Receiver<Message>) {
    crossbeam_channel::bounded(WAITING_MESSAGES)
}

/// Set once the process stops; input/output threads look at it.
#[derive(Clone, Debug, Default)]
pub(super) struct StopFlag(Arc<std::sync::atomic::AtomicBool>);

impl StopFlag {
    pub(super) fn set(&self) {
        self.0.store(true, std::sync::atomic::Ordering::SeqCst);
    }

    pub(super) fn is_set(&self) -> bool {
        self.0.load(std::sync::atomic::Ordering::SeqCst)
    }
}
