//! What became of a command: the answers of the replicated state machine.

use grebepin_schema::{
    BundleRecord, DeploymentName, Epoch, LogIndex, ServerName, ServerStanding, ServiceName, ShardId,
};

/// What one applied command did.
#[derive(Clone, Debug, PartialEq)]
pub struct Applied {
    /// Log index of the command.
    pub index: LogIndex,
    /// What became of it.
    pub outcome: Outcome,
}

/// Outcome of a command, by its kind.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// Of `accept_bundle`.
    Bundle(BundleOutcome),
    /// Of `assign`.
    Assigned(Assigned),
    /// Of `set_standing`.
    Standing(StandingOutcome),
    /// Of `register_boot`.
    Boot(BootOutcome),
}

/// Outcome of submitting a bundle.
#[derive(Clone, Debug, PartialEq)]
pub enum BundleOutcome {
    /// Accepted by this command, or by an earlier one of which this is a resend.
    Accepted {
        /// Version, digest and the log index of the first acceptance.
        record: BundleRecord,
        /// Whether an earlier command accepted it.
        repeated: bool,
    },
    /// Refused; nothing changed.
    Refused(BundleRefusal),
}

/// Why a bundle was refused.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum BundleRefusal {
    /// Another bundle with this number was accepted.
    #[error("version {} was accepted with digest {}", accepted.version, accepted.digest.as_str())]
    VersionConflict {
        /// The accepted bundle of that number.
        accepted: BundleRecord,
    },
    /// The number is below that of the bundle in force.
    #[error("version {version} is older than version {} in force", accepted.version)]
    OlderVersion {
        /// Version refused.
        version: u64,
        /// The bundle in force.
        accepted: BundleRecord,
    },
    /// The parent is not the bundle in force.
    #[error("the bundle does not follow the one in force")]
    ParentMismatch {
        /// The bundle in force, if any.
        accepted: Option<BundleRecord>,
    },
    /// The bundle belongs to another deployment.
    #[error("the deployment in force is {}", accepted.as_str())]
    DeploymentChanged {
        /// Deployment in force.
        accepted: DeploymentName,
    },
    /// The count of shards of a live service differs.
    #[error("service {} has {shards} shards", service.as_str())]
    ShardCountChanged {
        /// The service.
        service: ServiceName,
        /// Its count of shards in force.
        shards: u32,
    },
    /// A server still owns shards of another service.
    #[error("server {} owns shards of service {}", server.as_str(), service.as_str())]
    ServerOfOtherService {
        /// The server.
        server: ServerName,
        /// The service whose shards it owns.
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

/// Outcome of a batch of assignments; each stands or falls by itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Assigned {
    /// In force, in the order of the command.
    pub accepted: Vec<AppliedAssignment>,
    /// Without effect.
    pub refused: Vec<RefusedAssignment>,
}

/// An assignment in force.
#[derive(Clone, Debug, PartialEq)]
pub struct AppliedAssignment {
    /// Service of the shard.
    pub service: ServiceName,
    /// The shard.
    pub shard: ShardId,
    /// Epoch of the new ownership: the index of its entry.
    pub epoch: Epoch,
    /// New owner, if any.
    pub server: Option<ServerName>,
    /// Owner until now, if any.
    pub previous: Option<ServerName>,
}

/// An assignment without effect.
#[derive(Clone, Debug, PartialEq)]
pub struct RefusedAssignment {
    /// Service of the shard.
    pub service: ServiceName,
    /// The shard.
    pub shard: ShardId,
    /// Why.
    pub reason: AssignmentRefusal,
}

/// Why an assignment had no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AssignmentRefusal {
    /// No such service.
    #[error("no such service")]
    UnknownService,
    /// The service has fewer shards.
    #[error("no such shard")]
    UnknownShard,
    /// The shard changed since the command was made.
    #[error("the shard is at epoch {current}")]
    EpochMismatch {
        /// Epoch of the shard.
        current: Epoch,
    },
    /// No such server of this service.
    #[error("no such server of this service")]
    UnknownServer,
    /// The server may receive nothing.
    #[error("the server may receive no shards")]
    ServerNotActive,
}

/// Outcome of a change of standing.
#[derive(Clone, Debug, PartialEq)]
pub enum StandingOutcome {
    /// In force.
    Set {
        /// The server.
        server: ServerName,
        /// Its standing.
        standing: ServerStanding,
        /// Shards it owns.
        shards: u32,
    },
    /// No such server.
    UnknownServer {
        /// Name given.
        server: ServerName,
    },
}

/// Outcome of the registration of a server's start.
#[derive(Clone, Debug, PartialEq)]
pub enum BootOutcome {
    /// In force; each shard of the server has this entry's index as its epoch.
    Registered {
        /// The server.
        server: ServerName,
    },
    /// The recorded boot is not the expected one.
    Mismatch {
        /// The server.
        server: ServerName,
    },
    /// No such server.
    UnknownServer {
        /// Name given.
        server: ServerName,
    },
}
