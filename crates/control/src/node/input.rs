//! Inputs of a control node.
//!
//! Invariant: an input holds no clock time, socket or thread; the caller of the node supplies the time.

use grebepin_schema::{
    DrainServerRequest, FoundRequest, GrantAnswer, HeartbeatAnswer, HoldingsAnswer, MachineList,
    PeerFrame, ReleaseAnswer, RemoveMemberRequest, RouterFrame, SignedBundle,
};

/// Identifies a call to a back end; unique within a run of the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Identifies a router's connection; unique within a run of the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// Identifies an admin request; unique within a run of the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplyId(pub u64);

/// One input of a control node.
#[derive(Clone, Debug)]
pub enum NodeInput {
    /// The clock advanced; nothing else happened.
    Tick,
    /// A frame from another replica was received.
    Peer(PeerFrame),
    /// A call to a back end finished.
    BackEnd {
        /// The call.
        call: CallId,
        /// Its answer, or the reason that there is none.
        answer: Result<BackEndAnswer, CallFailure>,
    },
    /// A frame from a router was received.
    Router {
        /// Connection that it was received on.
        connection: ConnectionId,
        /// The frame.
        frame: RouterFrame,
    },
    /// A router's connection was closed.
    RouterClosed {
        /// The connection.
        connection: ConnectionId,
    },
    /// An admin request was received.
    Admin {
        /// Identifies the reply.
        reply: ReplyId,
        /// The request.
        request: AdminRequest,
    },
    /// The platform's machine list was fetched.
    Machines(MachineList),
}

/// Answer of a back end, by operation.
#[derive(Clone, Debug)]
pub enum BackEndAnswer {
    /// Answer to a heartbeat.
    Heartbeat(HeartbeatAnswer),
    /// Answer to a grant request.
    Grant(GrantAnswer),
    /// Answer to a release request.
    Release(ReleaseAnswer),
    /// The shards that the back end holds.
    Holdings(HoldingsAnswer),
    /// The drain request was accepted; the body of the answer is ignored.
    Drain,
}

/// Reason that a call to a back end failed. Except for [`CallFailure::Busy`], the call may have taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallFailure {
    /// The connection failed.
    #[error("no connection to the back end")]
    Unreachable,
    /// No answer arrived before the timeout.
    #[error("no answer in time")]
    TimedOut,
    /// The answer doesn't conform to the back-end API.
    #[error("the answer does not follow the contract")]
    BadAnswer,
    /// The back end's call queue is full; this call was never sent.
    #[error("too many calls wait for this back end")]
    Busy,
}

/// A request to the admin interface.
#[derive(Clone, Debug)]
pub enum AdminRequest {
    /// `POST /v1/found`.
    Found(FoundRequest),
    /// `GET /v1/identity`.
    Identity,
    /// `POST /v1/bundles`.
    SubmitBundle(Box<SignedBundle>),
    /// `GET /v1/bundle`, a linearizable read.
    Bundle,
    /// `GET /v1/table`, a linearizable read.
    Table,
    /// `GET /v1/status`, answered from this replica's local state.
    Status,
    /// `POST /v1/drain`.
    Drain(DrainServerRequest),
    /// `POST /v1/members/remove`.
    RemoveMember(RemoveMemberRequest),
    /// `GET /metrics`.
    Metrics,
    /// `GET /ready`.
    Ready,
}
