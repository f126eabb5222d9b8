//! What a control node asks of whoever drives it.
//!
//! Invariant: an output is handed out only after everything it rests on is synced.

use std::sync::Arc;

use grebepin_schema::{
    ApiError, ControlFrame, DrainRequest, DrainServerAnswer, GrantRequest, GroupId,
    HeartbeatRequest, IdentityAnswer, LogIndex, PeerFrame, ReleaseRequest, RemoveMemberAnswer,
    ReplicaId, RollAnswer, SignedBundle, SocketAddress, Status, TableSnapshot, Term,
};

use super::error::NodeError;
use super::input::{CallId, ConnectionId, ReplyId};

/// One thing to do.
#[derive(Debug)]
pub enum NodeOutput {
    /// Send a frame to another replica; it may be lost.
    Peer {
        /// Peer address of the replica.
        address: SocketAddress,
        /// The frame.
        frame: PeerFrame,
    },
    /// Call a back end and hand in its answer as [`super::input::NodeInput::BackEnd`].
    BackEnd {
        /// Names the call.
        call: CallId,
        /// Address of the back end.
        address: SocketAddress,
        /// The call.
        request: BackEndRequest,
    },
    /// Send a frame to a router, in order on its connection.
    Router {
        /// Connection of the router.
        connection: ConnectionId,
        /// The frame.
        frame: Arc<ControlFrame>,
    },
    /// Answer an operator.
    AdminReply {
        /// Names the reply.
        reply: ReplyId,
        /// The answer.
        result: Result<AdminAnswer, ApiError>,
    },
    /// Something worth a log line.
    Notice(Notice),
    /// The node stopped: it can't keep its promises any more. It ignores every later input.
    Failed(NodeError),
}

/// A call to a back end.
#[derive(Clone, Debug)]
pub enum BackEndRequest {
    /// `POST /grebepin/v1/heartbeat`.
    Heartbeat(HeartbeatRequest),
    /// `POST /grebepin/v1/grant`.
    Grant(GrantRequest),
    /// `POST /grebepin/v1/release`.
    Release(ReleaseRequest),
    /// `GET /grebepin/v1/holdings?group=G`.
    Holdings(GroupId),
    /// `POST /grebepin/v1/drain`.
    Drain(DrainRequest),
}

/// Answer to an admin request.
#[derive(Clone, Debug)]
pub enum AdminAnswer {
    /// The group is founded, by this request or an earlier one with the same cluster.
    Founded(IdentityAnswer),
    /// Who this replica is.
    Identity(IdentityAnswer),
    /// The bundle is accepted.
    Rolled(RollAnswer),
    /// The bundle in force.
    Bundle(Box<SignedBundle>),
    /// The routing table in force.
    Table(Box<TableSnapshot>),
    /// The group as this replica sees it.
    Status(Box<Status>),
    /// The drain is committed.
    Drained(DrainServerAnswer),
    /// The removal is committed.
    Removed(RemoveMemberAnswer),
    /// Counters and gauges.
    Metrics(Box<NodeMetrics>),
    /// Whether a leader is known and everything known to be committed is applied.
    Ready(bool),
}

/// Counters and gauges of one node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeMetrics {
    /// Whether this replica leads.
    pub leader: bool,
    /// Current term.
    pub term: u64,
    /// Highest index known to be committed.
    pub commit: u64,
    /// Highest index applied.
    pub applied: u64,
    /// Index of the last change of the table.
    pub table_index: u64,
    /// Version of the bundle in force; 0 before the first.
    pub bundle_version: u64,
    /// Commands this replica proposed since the start.
    pub proposals: u64,
    /// Syncs of the log since the start.
    pub syncs: u64,
    /// Entries appended since the start.
    pub entries: u64,
    /// Snapshots saved or installed since the start.
    pub snapshots: u64,
    /// Times this replica became the leader since the start.
    pub leaderships: u64,
    /// Frames sent to other replicas since the start.
    pub peer_frames: u64,
    /// Calls to back ends since the start.
    pub back_end_calls: u64,
    /// Calls to back ends without an answer since the start.
    pub back_end_failures: u64,
    /// Snapshots of the table sent to routers since the start.
    pub table_snapshots: u64,
    /// Deltas of the table sent to routers since the start.
    pub table_deltas: u64,
    /// Routers that follow this replica now.
    pub routers: u64,
    /// Shards without an owner, as the leader sees it.
    pub unowned_shards: u64,
    /// Shards being handed over, as the leader sees it.
    pub moving_shards: u64,
}

/// Something worth a log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// The group was founded here.
    Founded,
    /// This replica leads.
    BecameLeader {
        /// Its term.
        term: Term,
    },
    /// This replica leads no more.
    LostLeadership {
        /// Current term.
        term: Term,
    },
    /// This replica asks to join the group.
    Joining {
        /// Its identity.
        replica: ReplicaId,
    },
    /// The group refuses this replica.
    JoinRefused {
        /// Why.
        reason: String,
    },
    /// A new membership is committed.
    MembershipCommitted {
        /// Its index.
        index: LogIndex,
        /// Voters in it.
        voters: usize,
        /// Learners in it.
        learners: usize,
    },
    /// A bundle is accepted.
    BundleAccepted {
        /// Its index.
        index: LogIndex,
        /// Its version.
        version: u64,
    },
    /// A snapshot was saved or installed.
    SnapshotSaved {
        /// Its index.
        index: LogIndex,
        /// Its size.
        bytes: usize,
    },
    /// The end of the log was torn by a crash and was cut off.
    TornTailCut {
        /// Bytes cut off.
        bytes: u64,
    },
}
