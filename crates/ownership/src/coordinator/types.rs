//! Configuration, inputs and outputs of the coordinator.

use std::time::Duration;

use grebepin_schema::{
    Command, DrainRequest, GrantAnswer, GrantRequest, GroupId, HeartbeatAnswer, HeartbeatRequest,
    HoldingsAnswer, LoadReport, MachineList, ReleaseAnswer, ReleaseRequest, ServerName,
    SocketAddress,
};

use crate::applied::Applied;
use crate::guards::Guards;

/// Durations and guards of a coordinator; equal on all replicas of the group.
#[derive(Clone, Debug)]
pub struct CoordinatorConfig {
    /// Control group.
    pub group: GroupId,
    /// Duration of a server's lease.
    pub lease: Duration,
    /// Interval between heartbeats to a server.
    pub heartbeat: Duration,
    /// Maximum difference between the rates of two clocks, in percent.
    pub drift_percent: u32,
    /// Duration of the leader lease, equal to the minimum election timeout.
    pub leader_lease: Duration,
    /// Enabled guards.
    pub guards: Guards,
}

/// Event that the coordinator handles.
#[derive(Clone, Debug)]
pub enum CoordinatorInput<'a> {
    /// A timer event without other content, due at [`Coordinator::next_wake`](super::Coordinator::next_wake).
    Tick,
    /// A server answered a heartbeat.
    HeartbeatAnswered {
        /// The server.
        server: ServerName,
        /// Its answer.
        answer: HeartbeatAnswer,
        /// Time of the call that returned the heartbeat.
        sent_at: Duration,
    },
    /// A heartbeat got no answer: the connection failed or the request timed out.
    HeartbeatFailed {
        /// The server.
        server: ServerName,
    },
    /// A server answered a grant.
    GrantAnswered {
        /// The server.
        server: ServerName,
        /// Its answer.
        answer: GrantAnswer,
    },
    /// A grant got no answer; it may have taken effect.
    GrantFailed {
        /// The server.
        server: ServerName,
    },
    /// A server answered a release.
    ReleaseAnswered {
        /// The server.
        server: ServerName,
        /// Its answer.
        answer: ReleaseAnswer,
    },
    /// A release got no answer; it may have taken effect.
    ReleaseFailed {
        /// The server.
        server: ServerName,
    },
    /// A server answered with the list of shards that it holds.
    HoldingsAnswered {
        /// The server.
        server: ServerName,
        /// Its answer.
        answer: HoldingsAnswer,
    },
    /// A holdings request got no answer.
    HoldingsFailed {
        /// The server.
        server: ServerName,
    },
    /// A drain request was answered or failed. It is repeated as long as it is needed.
    DrainDone {
        /// The server.
        server: ServerName,
    },
    /// A router sent a load report.
    LoadReported(&'a LoadReport),
    /// The platform's list of machines, which is updated with a delay.
    Machines(&'a MachineList),
    /// A command was applied. Every applied command must be passed, whoever proposed it.
    Applied(&'a Applied),
    /// A proposed command was refused by consensus and is certainly not in the log.
    ProposeFailed(&'a Command),
}

/// Request or proposal that the caller carries out. At most one request of each kind is in flight for a
/// server, so the caller must report the result of each, also a failure, with the matching input.
#[derive(Clone, Debug, PartialEq)]
pub enum CoordinatorOutput {
    /// Send a heartbeat; the result is reported with `HeartbeatAnswered` or `HeartbeatFailed`.
    Heartbeat {
        /// The server.
        server: ServerName,
        /// Address of the server.
        address: SocketAddress,
        /// Body of the request.
        request: HeartbeatRequest,
    },
    /// Send grants; the result is reported with `GrantAnswered` or `GrantFailed`.
    Grant {
        /// The server.
        server: ServerName,
        /// Address of the server.
        address: SocketAddress,
        /// Body of the request.
        request: GrantRequest,
    },
    /// Request releases; the result is reported with `ReleaseAnswered` or `ReleaseFailed`.
    Release {
        /// The server.
        server: ServerName,
        /// Address of the server.
        address: SocketAddress,
        /// Body of the request.
        request: ReleaseRequest,
    },
    /// Request the list of held shards; the result is reported with `HoldingsAnswered` or `HoldingsFailed`.
    Holdings {
        /// The server.
        server: ServerName,
        /// Address of the server.
        address: SocketAddress,
        /// Control group whose shards are listed.
        group: GroupId,
    },
    /// Start or end draining on the server; the end of the request is reported with `DrainDone`.
    Drain {
        /// The server.
        server: ServerName,
        /// Address of the server.
        address: SocketAddress,
        /// Body of the request.
        request: DrainRequest,
    },
    /// Propose a command to consensus; a refusal is reported with `ProposeFailed`.
    Propose(Command),
}
