//! Violations of the rules for bundles, with the field that violates them.

use std::fmt;

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Path of the field, such as `services[autoriza-venda].servers[av-1].address`.
    pub field: String,
    /// The violated rule.
    pub kind: FindingKind,
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.field, self.kind)
    }
}

/// A rule that a bundle violates.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FindingKind {
    /// A number is outside its range.
    #[error("{value} is outside {minimum} to {maximum}")]
    OutOfRange {
        /// The value.
        value: u64,
        /// Lowest allowed value.
        minimum: u64,
        /// Highest allowed value.
        maximum: u64,
    },
    /// The note, or the canonical form of the bundle, is too large.
    #[error("{bytes} bytes are over the limit of {maximum}")]
    TooLarge {
        /// Size in bytes.
        bytes: u64,
        /// Maximum size in bytes.
        maximum: u64,
    },
    /// A list is empty that must not be.
    #[error("at least one is needed")]
    Empty,
    /// The paths of the service would be those of the control calls of back ends.
    #[error("the name {name} is reserved: its paths are those of the back ends' control calls")]
    ReservedName {
        /// The reserved name.
        name: String,
    },
    /// A name or address occurs more than once.
    #[error("{value} stands twice, first at {first}")]
    Duplicate {
        /// The repeated value.
        value: String,
        /// Path of its first occurrence.
        first: String,
    },
    /// All shares of a service are zero.
    #[error("all shares are zero; no side may carry the service")]
    AllSharesZero,
    /// A side has a share of the shards but no server.
    #[error("the side has a share and no server")]
    SideWithoutServers,
    /// A server names a side that the service does not have.
    #[error("the service has no side {side}")]
    UnknownSide {
        /// The unknown side.
        side: String,
    },
    /// An address is not an IP address and port that can be connected to from other machines.
    #[error("{address} is not a reachable IP number and port")]
    InvalidAddress {
        /// The invalid address.
        address: String,
    },
    /// A server accepts fewer connections than it has slots.
    #[error("{connections} connections are fewer than {slots} slots")]
    FewerConnectionsThanSlots {
        /// Number of connections in the bundle.
        connections: u32,
        /// Number of slots in the bundle.
        slots: u32,
    },
    /// A path prefix does not start with `/` or contains characters that are not allowed in a path.
    #[error("{prefix:?} is not a path prefix: start with / and use no space, ? or #")]
    InvalidPathPrefix {
        /// The invalid prefix.
        prefix: String,
    },
    /// An HTTP method is empty or contains characters other than upper-case letters.
    #[error("{method:?} is not an HTTP method in capital letters")]
    InvalidMethod {
        /// The invalid method.
        method: String,
    },
    /// An earlier class matches every request that this class matches.
    #[error("the earlier class {earlier} takes all its requests; put the longer prefix first")]
    ShadowedClass {
        /// Name of the earlier class.
        earlier: String,
    },
    /// The first bundle of a deployment has a parent.
    #[error("the first bundle has no parent")]
    UnexpectedParent,
    /// The parent of the bundle is not the accepted bundle.
    #[error("the accepted bundle is {accepted}, version {accepted_version}; start from that one")]
    ParentMismatch {
        /// Digest of the accepted bundle.
        accepted: String,
        /// Version of the accepted bundle.
        accepted_version: u64,
    },
    /// The version is not greater than the accepted version.
    #[error("version {version} does not follow the accepted version {accepted_version}")]
    VersionNotGreater {
        /// Version of the bundle.
        version: u64,
        /// Version of the accepted bundle.
        accepted_version: u64,
    },
    /// The name of the deployment changed.
    #[error("the deployment is {accepted} and can't change")]
    DeploymentChanged {
        /// Name in the accepted bundle.
        accepted: String,
    },
    /// The number of shards of a service changed.
    #[error("a service keeps its {accepted} shards for life; make a new service and migrate")]
    ShardCountChanged {
        /// Number of shards in the accepted bundle.
        accepted: u32,
    },
    /// A server was moved to another service, although it may still hold shards of the previous one.
    #[error("the server served {accepted}; give the new one a new name, the old may hold shards")]
    ServerChangedService {
        /// Service in the accepted bundle.
        accepted: String,
    },
}
