//! Configuration, inputs and outputs of the coordinator.

use std::time::Duration;

use grebepin_schema::{
    Command, DrainRequest, GrantAnswer, GrantRequest, GroupId, HeartbeatAnswer, HeartbeatRequest,
    HoldingsAnswer, LoadReport, MachineList, ReleaseAnswer, ReleaseRequest, ServerName,
    SocketAddress,
};

use crate::applied::Applied;
use crate::guards::Guards;

/// Times and protections of a coordinator; equal on all replicas of the group.
#[derive(Clone, Debug)]
pub struct CoordinatorConfig {
    /// Control group.
    pub group: GroupId,
    /// Length of a server's lease.
    pub lease: Duration,
    /// Time between two heartbeats to a server.
    pub heartbeat: Duration,
    /// Most by which the rates of two clocks differ, in percent.
    pub drift_percent: u32,
    /// Length of the leader lease: the least election timeout.
    pub leader_lease: Duration,
    /// Protections in force.
    pub guards: Guards,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum CoordinatorInput<'a> {
    /// Time has passed.
    Tick,
    /// A server answered a heartbeat.
    HeartbeatAnswered {
        /// The server.
        server: ServerName,
        /// Its answer.
        answer: HeartbeatAnswer,
        /// When the heartbeat was put out.
        sent_at: Duration,
    },
    /// A heartbeat had no answer: the connection failed, or its time limit passed.
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
    /// A grant had no answer; it may have taken effect.
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
    /// A release had no answer; it may have taken effect.
    ReleaseFailed {
        /// The server.
        server: ServerName,
    },
    /// A server listed what it holds.
    HoldingsAnswered {
        /// The server.
        server: ServerName,
        /// Its answer.
        answer: HoldingsAnswer,
    },
    /// A question for holdings had no answer.
    HoldingsFailed {
        /// The server.
        server: ServerName,
    },
    /// A drain request was answered or failed; it is asked again while needed.
    DrainDone {
        /// The server.
        server: ServerName,
    },
    /// A router reported load.
    LoadReported(&'a LoadReport),
    /// The platform's list of machines, which lags.
    Machines(&'a MachineList),
    /// A command was applied; give every one, also those that others proposed.
    Applied(&'a Applied),
    /// A proposed command was refused by consensus and is surely not in the log.
    ProposeFailed(&'a Command),
}

/// What to do. At most one request of each kind is under way for a server; each must be answered by
/// its input, also when it fails.
#[derive(Clone, Debug, PartialEq)]
pub enum CoordinatorOutput {
    /// Send a heartbeat, and answer with `HeartbeatAnswered` or `HeartbeatFailed`.
    Heartbeat {
        /// The server.
        server: ServerName,
        /// Its address.
        address: SocketAddress,
        /// What to send.
        request: HeartbeatRequest,
    },
    /// Send grants, and answer with `GrantAnswered` or `GrantFailed`.
    Grant {
        /// The server.
        server: ServerName,
        /// Its address.
        address: SocketAddress,
        /// What to send.
        request: GrantRequest,
    },
    /// Ask for releases, and answer with `ReleaseAnswered` or `ReleaseFailed`.
    Release {
        /// The server.
        server: ServerName,
        /// Its address.
        address: SocketAddress,
        /// What to send.
        request: ReleaseRequest,
    },
    /// Ask what the server holds, and answer with `HoldingsAnswered` or `HoldingsFailed`.
    Holdings {
        /// The server.
        server: ServerName,
        /// Its address.
        address: SocketAddress,
        /// Group to ask for.
        group: GroupId,
    },
    /// Tell the server to leave or stay, and answer with `DrainDone`.
    Drain {
        /// The server.
        server: ServerName,
        /// Its address.
        address: SocketAddress,
        /// What to send.
        request: DrainRequest,
    },
    /// Propose a command to consensus; `ProposeFailed` if it is refused.
    Propose(Command),
}
