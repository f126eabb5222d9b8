//! Outputs of a control node, which its caller executes.
//!
//! Invariant: an output is returned only after everything that it depends on is synced.

use std::sync::Arc;

use grebepin_schema::{
    ApiError, ControlFrame, DrainRequest, DrainServerAnswer, GrantRequest, GroupId,
    HeartbeatRequest, IdentityAnswer, LogIndex, PeerFrame, ReleaseRequest, RemoveMemberAnswer,
    ReplicaId, RollAnswer, SignedBundle, SocketAddress, Status, TableSnapshot, Term,
};

use super::error::NodeError;
use super::input::{CallId, ConnectionId, ReplyId};

/// One action for the caller to execute.
#[derive(Debug)]
pub enum NodeOutput {
    /// Send a frame to another replica; it may be lost.
    Peer {
        /// Peer address of the replica.
        address: SocketAddress,
        /// The frame.
        frame: PeerFrame,
    },
    /// Call a back end and pass its answer back as [`super::input::NodeInput::BackEnd`].
    BackEnd {
        /// Identifies the call.
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
    /// Answer an admin request.
    AdminReply {
        /// Identifies the reply.
        reply: ReplyId,
        /// The answer.
        result: Result<AdminAnswer, ApiError>,
    },
    /// An event to log.
    Notice(Notice),
    /// The node stopped because it can't guarantee durability or consistency any more. It ignores later
    /// inputs.
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
    /// Identity and addresses of this replica.
    Identity(IdentityAnswer),
    /// The bundle is accepted.
    Rolled(RollAnswer),
    /// The bundle in force.
    Bundle(Box<SignedBundle>),
    /// The routing table in force.
    Table(Box<TableSnapshot>),
    /// The group's state as known to this replica.
    Status(Box<Status>),
    /// The drain is committed.
    Drained(DrainServerAnswer),
    /// The removal is committed.
    Removed(RemoveMemberAnswer),
    /// Counters and gauges of the node.
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
    /// Log index of the last table change.
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
    /// Routers connected to this replica as followers of the table.
    pub routers: u64,
    /// Shards without an owner in the applied state.
    pub unowned_shards: u64,
    /// Shards being moved between servers; 0 unless this replica leads.
    pub moving_shards: u64,
}

/// An event to log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// The group was founded here.
    Founded,
    /// This replica became the leader.
    BecameLeader {
        /// Its term.
        term: Term,
    },
    /// This replica is no longer the leader.
    LostLeadership {
        /// Current term.
        term: Term,
    },
    /// The group accepted this replica's join request.
    Joining {
        /// Its identity.
        replica: ReplicaId,
    },
    /// The group rejected this replica's join request.
    JoinRefused {
        /// The reason, as sent by the group.
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
        /// Its encoded size.
        bytes: usize,
    },
    /// An incomplete write at the end of the log, left by a crash, was truncated at startup.
    TornTailCut {
        /// Bytes truncated.
        bytes: u64,
    },
}
