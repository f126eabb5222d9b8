//! Messages from the I/O threads to the control thread.

use std::sync::Arc;

use crossbeam_channel::{Receiver, Sender};
use grebepin_schema::ApiError;

use super::router_connections::RouterWriter;
use crate::node::input::{AdminRequest, ConnectionId, NodeInput};
use crate::node::output::AdminAnswer;

/// Capacity of the control thread's queue; senders block while it is full.
const INBOX_CAPACITY: usize = 4096;

/// Channel that the answer to an admin request is sent on.
pub(super) type AnswerSender = Sender<Result<AdminAnswer, ApiError>>;

/// One message to the control thread.
pub(super) enum Message {
    /// An input for the node.
    Input(NodeInput),
    /// An admin request.
    Admin {
        request: AdminRequest,
        answer: AnswerSender,
    },
    /// A router connected; sent before any of its frames.
    RouterOpened {
        connection: ConnectionId,
        writer: RouterWriter,
    },
    /// The process should stop.
    Stop,
}

/// Sending end of the control thread's queue.
pub(super) type Inbox = Sender<Message>;

pub(super) fn channel() -> (Inbox, Receiver<Message>) {
    crossbeam_channel::bounded(INBOX_CAPACITY)
}

/// Flag that is set when the process stops, and checked by the acceptors.
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
