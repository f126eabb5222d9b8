//! Outcomes of commands that the replicated state machine has applied.

use grebepin_schema::{
    BundleRecord, DeploymentName, Epoch, LogIndex, ServerName, ServerStanding, ServiceName, ShardId,
};

/// An applied command's log index and outcome.
#[derive(Clone, Debug, PartialEq)]
pub struct Applied {
    /// Log index of the command.
    pub index: LogIndex,
    /// Outcome, by the kind of the command.
    pub outcome: Outcome,
}

/// Outcome of a command; each kind of command has its own variant.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// Outcome of `accept_bundle`.
    Bundle(BundleOutcome),
    /// Outcome of `assign`.
    Assigned(Assigned),
    /// Outcome of `set_standing`.
    Standing(StandingOutcome),
    /// Outcome of `register_boot`.
    Boot(BootOutcome),
}

/// Outcome of submitting a bundle.
#[derive(Clone, Debug, PartialEq)]
pub enum BundleOutcome {
    /// Accepted by this command, or by an earlier one that this command resends.
    Accepted {
        /// Version, digest and the log index of the first acceptance.
        record: BundleRecord,
        /// Whether the bundle was accepted by an earlier command.
        repeated: bool,
    },
    /// Refused; the state is unchanged.
    Refused(BundleRefusal),
}

/// Why a bundle was refused.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum BundleRefusal {
    /// Another bundle with this version was accepted.
    #[error("version {} was accepted with digest {}", accepted.version, accepted.digest.as_str())]
    VersionConflict {
        /// The accepted bundle with that version.
        accepted: BundleRecord,
    },
    /// The version is below that of the bundle in force.
    #[error("version {version} is older than version {} in force", accepted.version)]
    OlderVersion {
        /// Version of the refused bundle.
        version: u64,
        /// The bundle in force.
        accepted: BundleRecord,
    },
    /// The parent is not the bundle in force.
    #[error("the bundle does not follow the one in force")]
    ParentMismatch {
        /// The bundle in force; `None` before the first.
        accepted: Option<BundleRecord>,
    },
    /// The bundle belongs to another deployment.
    #[error("the deployment in force is {}", accepted.as_str())]
    DeploymentChanged {
        /// Deployment in force.
        accepted: DeploymentName,
    },
    /// The bundle changes the number of shards of an existing service.
    #[error("service {} has {shards} shards", service.as_str())]
    ShardCountChanged {
        /// The service.
        service: ServiceName,
        /// Its number of shards in force.
        shards: u32,
    },
    /// A server that the bundle lists for this service still owns shards of another service, or is the
    /// previous owner of one.
    #[error("server {} owns shards of service {}", server.as_str(), service.as_str())]
    ServerOfOtherService {
        /// The server.
        server: ServerName,
        /// The service to whose shards it belongs.
        service: ServiceName,
    },
    /// A service is listed twice.
    #[error("service {} is listed twice", service.as_str())]
    DuplicateService {
        /// The service.
        service: ServiceName,
    },
    /// A server is listed twice.
    #[error("server {} is listed twice", server.as_str())]
    DuplicateServer {
        /// The server.
        server: ServerName,
    },
}

/// Outcome of a batch of assignments; each one is accepted or refused independently.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Assigned {
    /// Accepted assignments, in the order of the command.
    pub accepted: Vec<AppliedAssignment>,
    /// Refused assignments, which have no effect.
    pub refused: Vec<RefusedAssignment>,
}

/// An accepted assignment.
#[derive(Clone, Debug, PartialEq)]
pub struct AppliedAssignment {
    /// Service of the shard.
    pub service: ServiceName,
    /// The shard.
    pub shard: ShardId,
    /// Epoch of the new ownership, which is the log index of the command.
    pub epoch: Epoch,
    /// New owner; `None` if the shard is left without one.
    pub server: Option<ServerName>,
    /// Owner before the assignment, if any.
    pub previous: Option<ServerName>,
}

/// A refused assignment, which has no effect.
#[derive(Clone, Debug, PartialEq)]
pub struct RefusedAssignment {
    /// Service of the shard.
    pub service: ServiceName,
    /// The shard.
    pub shard: ShardId,
    /// Reason for the refusal.
    pub reason: AssignmentRefusal,
}

/// Reason why an assignment was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AssignmentRefusal {
    /// The service does not exist.
    #[error("no such service")]
    UnknownService,
    /// The service has no shard with this number.
    #[error("no such shard")]
    UnknownShard,
    /// The shard's epoch is not the one that the command expects.
    #[error("the shard is at epoch {current}")]
    EpochMismatch {
        /// Current epoch of the shard.
        current: Epoch,
    },
    /// The service has no server with this name.
    #[error("no such server of this service")]
    UnknownServer,
    /// The server's standing does not allow it to receive shards.
    #[error("the server may receive no shards")]
    ServerNotActive,
}

/// Outcome of a command that sets a server's standing.
#[derive(Clone, Debug, PartialEq)]
pub enum StandingOutcome {
    /// The standing was set.
    Set {
        /// The server.
        server: ServerName,
        /// Its new standing.
        standing: ServerStanding,
        /// Number of shards that it owns.
        shards: u32,
    },
    /// No server has this name.
    UnknownServer {
        /// Name in the command.
        server: ServerName,
    },
}

/// Outcome of the registration of a server's start.
#[derive(Clone, Debug, PartialEq)]
pub enum BootOutcome {
    /// The start was registered; each shard of the server now has the command's log index as its epoch.
    Registered {
        /// The server.
        server: ServerName,
    },
    /// The registered boot number is not the one that the command expects.
    Mismatch {
        /// The server.
        server: ServerName,
    },
    /// No server has this name.
    UnknownServer {
        /// Name in the command.
        server: ServerName,
    },
}
