//! Inputs and actions of the state machine that handles one request at one router.
//!
//! Invariant: every action except [`FlowAction::Finish`] is followed by exactly one input.

mod failed_target;
mod machine;

use std::time::Duration;

use grebepin_schema::{
    CancelAnswer, Epoch, LogIndex, Outcome, Refusal, RejectKind, ServerName, ShardId, SocketAddress,
};

use crate::admission::AdmissionRefusal;

pub use machine::{
    RequestFlow, CANCEL_TIMEOUT, DRAIN_GRACE, FIRST_RETRY_DELAY, MAX_WAIT, RELEASE_RETRY_DELAY,
};

/// Properties of a request that determine how it may be sent and retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestSpec {
    /// Whether the request may be executed more than once.
    pub repeatable: bool,
    /// The caller's attempt number, from 1; above 1 an earlier attempt may have run.
    pub attempt: u32,
    /// Time by which the caller needs its answer, since the start of the process.
    pub deadline: Duration,
    /// Maximum number of times this router sends the request.
    pub max_sends: u32,
}

/// Owner of a shard to which a request is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Shard of the request's key.
    pub shard: ShardId,
    /// Epoch of the ownership.
    pub epoch: Epoch,
    /// Name of the owning server.
    pub server: ServerName,
    /// Address on which the owner accepts requests.
    pub address: SocketAddress,
    /// Log index of the routing table that names this owner.
    pub table_index: LogIndex,
}

/// Result of looking up a request's shard in the routing table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnerLookup {
    /// No routing table has been received yet.
    NoTable,
    /// No server may currently receive the request.
    NoOwner {
        /// Log index of the routing table used for the lookup.
        table_index: LogIndex,
    },
    /// This server owns the shard.
    Owner(Target),
}

/// Why a request of which bytes may have reached the owner got no complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossReason {
    /// The send timed out.
    TimedOut,
    /// The connection failed.
    Broken,
    /// The answer carries another request identifier, or none.
    Mismatched,
    /// The shard moved to another ownership, and no answer arrived shortly afterwards.
    Superseded,
    /// The answer violates the protocol or a size limit.
    Invalid,
}

/// Result of the last [`FlowAction`].
#[derive(Clone, Debug, PartialEq)]
pub enum FlowInput {
    /// Result of [`FlowAction::Lookup`].
    LookedUp(OwnerLookup),
    /// Result of [`FlowAction::Admit`]: the request has a slot.
    Admitted,
    /// Result of [`FlowAction::Admit`]: the request is refused.
    NotAdmitted(AdmissionRefusal),
    /// Result of [`FlowAction::Send`] or [`FlowAction::Admit`]: no byte of the request was sent.
    NotSent,
    /// Result of [`FlowAction::Send`]: the owner refused the request with a typed refusal.
    Refused(Refusal),
    /// Result of [`FlowAction::Send`]: the complete answer to this request was received.
    Answered,
    /// Result of [`FlowAction::Send`]: no complete answer was received.
    Lost(LossReason),
    /// Result of [`FlowAction::Cancel`]: the owner's answer; `None` if none was received.
    Cancelled(Option<CancelAnswer>),
    /// Result of [`FlowAction::Wait`]: the table changed or the wait timed out.
    Woken,
    /// Result of [`FlowAction::Wait`]: too many requests are waiting already.
    CannotWait,
    /// Result of [`FlowAction::TakeRetry`]: whether the service's retry budget allows a retry.
    Retry(bool),
}

/// Action that the caller of the state machine performs next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FlowAction {
    /// Look up the owner of the request's shard in the current table.
    Lookup,
    /// Request a slot from the server's admission control.
    Admit(Target),
    /// Send the request.
    Send {
        /// Owner to send it to.
        target: Target,
        /// Time at which the send times out.
        until: Duration,
    },
    /// Ask the owner once to cancel the request.
    Cancel {
        /// Owner to which the request was sent.
        target: Target,
        /// Time at which the cancellation times out.
        until: Duration,
    },
    /// Wait until the table's index is above `newer_than`, at most until `until`.
    Wait {
        /// Index of the table that named no usable owner.
        newer_than: LogIndex,
        /// Time at which the wait ends without a new table.
        until: Duration,
    },
    /// Take one retry from the service's retry budget.
    TakeRetry,
    /// Answer the caller; the flow is complete.
    Finish(FinalAnswer),
}

/// Result of a request as reported to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FinalAnswer {
    /// Whether the request was answered, was not run, or may have run.
    pub outcome: Outcome,
    /// Reason for the router's own answer; `None` when the owner's answer is forwarded.
    pub reject: Option<RejectKind>,
    /// Time after which the caller may retry; `None` when the owner's answer is forwarded.
    pub retry_after: Option<Duration>,
}
