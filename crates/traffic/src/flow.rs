//! One request at one router: what the state machine takes in and what it wants done.
//!
//! Invariant: each action but the last is answered by one input.

mod failed_target;
mod machine;

use std::time::Duration;

use grebepin_schema::{
    CancelAnswer, Epoch, LogIndex, Outcome, Refusal, RejectKind, ServerName, ShardId, SocketAddress,
};

use crate::admission::AdmissionRefusal;

pub use machine::{
    RequestFlow, CANCEL_TIME, DRAIN_GRACE, FIRST_RETRY_DELAY, MAX_WAIT, RELEASE_RETRY_DELAY,
};

/// What a flow must know of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestSpec {
    /// Whether running it twice does no harm.
    pub repeatable: bool,
    /// The caller's attempt: 2 and more when an earlier attempt may have run.
    pub attempt: u32,
    /// When the caller must have its answer.
    pub deadline: Duration,
    /// Most times that this router sends it.
    pub max_sends: u32,
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Shard of the request's key.
    pub shard: ShardId,
    /// Epoch of the ownership.
    pub epoch: Epoch,
    /// Owner.
    pub server: ServerName,
    /// Where the owner listens.
    pub address: SocketAddress,
    /// Index of the table that says so.
    pub table_index: LogIndex,
}

/// What the table says of a request's shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnerLookup {
    /// There is no table yet.
    NoTable,
    /// No server may get the request now.
    NoOwner {
        /// Index of the table that says so.
        table_index: LogIndex,
    },
    /// This server owns the shard.
    Owner(Target),
}

/// Why there is no whole answer to a request of which bytes may have reached the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossReason {
    /// The time for it ended.
    TimedOut,
    /// The connection failed.
    Broken,
    /// The answer belongs to another request, or names none.
    Mismatched,
    /// Another server owns the shard by now, and the answer did not come soon after that.
    Superseded,
    /// The answer breaks the protocol or a bound on sizes.
    Invalid,
}

/// What happened, in answer to the last [`FlowAction`].
#[derive(Clone, Debug, PartialEq)]
pub enum FlowInput {
    /// To [`FlowAction::Lookup`].
    LookedUp(OwnerLookup),
    /// To [`FlowAction::Admit`]: send it.
    Admitted,
    /// To [`FlowAction::Admit`]: not now.
    NotAdmitted(AdmissionRefusal),
    /// To [`FlowAction::Send`]: no byte of it left.
    NotSent,
    /// To [`FlowAction::Send`]: the owner refused it in a typed way.
    Refused(Refusal),
    /// To [`FlowAction::Send`]: the whole answer to this very request.
    Answered,
    /// To [`FlowAction::Send`]: no whole answer.
    Lost(LossReason),
    /// To [`FlowAction::Cancel`]: the owner's answer; `None` without one.
    Cancelled(Option<CancelAnswer>),
    /// To [`FlowAction::Wait`]: the table changed or the time came.
    Woken,
    /// To [`FlowAction::Wait`]: too many requests wait already.
    CannotWait,
    /// To [`FlowAction::TakeRetry`]: whether the service's budget allows a retry.
    Retry(bool),
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FlowAction {
    /// Look the owner up in the table in force.
    Lookup,
    /// Ask the server's admission.
    Admit(Target),
    /// Send the request; give up at `until`.
    Send {
        /// Where to.
        target: Target,
        /// When to give up.
        until: Duration,
    },
    /// Ask the owner to cancel the request, once; give up at `until`.
    Cancel {
        /// Where the request went.
        target: Target,
        /// When to give up.
        until: Duration,
    },
    /// Wait until the table's index is above `newer_than`, at most until `until`.
    Wait {
        /// Index that was not good enough.
        newer_than: LogIndex,
        /// When to wake up in any case.
        until: Duration,
    },
    /// Take a retry out of the service's budget.
    TakeRetry,
    /// Answer the caller.
    Finish(FinalAnswer),
}

/// The answer to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FinalAnswer {
    /// What became of the request.
    pub outcome: Outcome,
    /// Why the router answers by itself; `None` when the owner's answer is passed on.
    pub reject: Option<RejectKind>,
    /// When to come back; `None` when the owner's answer is passed on.
    pub retry_after: Option<Duration>,
}
