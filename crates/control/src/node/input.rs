//! What may happen to a control node.
//!
//! Invariant: an input holds no clock time, socket or thread; whoever drives the node adds the time.

use grebepin_schema::{
    DrainServerRequest, FoundRequest, GrantAnswer, HeartbeatAnswer, HoldingsAnswer, MachineList,
    PeerFrame, ReleaseAnswer, RemoveMemberRequest, RouterFrame, SignedBundle,
};

/// Number of one call to a back end, unique within a run of the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Number of one router's connection, unique within a run of the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// Number of one admin request, unique within a run of the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplyId(pub u64);

/// One thing that happened.
#[derive(Clone, Debug)]
pub enum NodeInput {
    /// Time passed.
    Tick,
    /// A frame came from another replica.
    Peer(PeerFrame),
    /// A call to a back end ended.
    BackEnd {
        /// The call.
        call: CallId,
        /// Its answer, or why there is none.
        answer: Result<BackEndAnswer, CallFailure>,
    },
    /// A frame came from a router.
    Router {
        /// Connection it came on.
        connection: ConnectionId,
        /// The frame.
        frame: RouterFrame,
    },
    /// A router's connection ended.
    RouterClosed {
        /// The connection.
        connection: ConnectionId,
    },
    /// An operator asks.
    Admin {
        /// Names the reply.
        reply: ReplyId,
        /// The request.
        request: AdminRequest,
    },
    /// The platform's list of machines was read.
    Machines(MachineList),
}

/// Answer of a back end to a call.
#[derive(Clone, Debug)]
pub enum BackEndAnswer {
    /// To a heartbeat.
    Heartbeat(HeartbeatAnswer),
    /// To grants.
    Grant(GrantAnswer),
    /// To releases.
    Release(ReleaseAnswer),
    /// To the question what it holds.
    Holdings(HoldingsAnswer),
    /// To a drain.
    Drain,
}

/// Why a call to a back end has no answer; the call may have taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallFailure {
    /// No connection.
    #[error("no connection to the back end")]
    Unreachable,
    /// No answer in time.
    #[error("no answer in time")]
    TimedOut,
    /// An answer that is none of the contract.
    #[error("the answer does not follow the contract")]
    BadAnswer,
    /// Too many calls wait for this back end; this one was never sent.
    #[error("too many calls wait for this back end")]
    Busy,
}

/// A request on the admin address.
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
    /// `GET /v1/status`, as this replica sees it.
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
