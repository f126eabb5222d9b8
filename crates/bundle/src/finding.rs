//! What is wrong with a bundle, and where.

use std::fmt;

/// One broken rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Path of the field, such as `services[autoriza-venda].servers[av-1].address`.
    pub field: String,
    /// The rule that is broken.
    pub kind: FindingKind,
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.field, self.kind)
    }
}

/// A rule that a bundle breaks.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FindingKind {
    /// The value is outside its limits.
    #[error("{value} is outside {minimum} to {maximum}")]
    OutOfRange {
        /// Value found.
        value: u64,
        /// Least value allowed.
        minimum: u64,
        /// Greatest value allowed.
        maximum: u64,
    },
    /// The bundle's canonical form is too large.
    #[error("{bytes} bytes are over the limit of {maximum}")]
    TooLarge {
        /// Size found.
        bytes: u64,
        /// Greatest size allowed.
        maximum: u64,
    },
    /// A list that must not be empty is.
    #[error("at least one is needed")]
    Empty,
    /// A service's paths would be those of the control calls of back ends.
    #[error("the name {name} is reserved: its paths are those of the back ends' control calls")]
    ReservedName {
        /// Name found.
        name: String,
    },
    /// A name or address stands twice.
    #[error("{value} stands twice, first at {first}")]
    Duplicate {
        /// Value found twice.
        value: String,
        /// Path of the first use.
        first: String,
    },
    /// All shares of a service are zero.
    #[error("all shares are zero; no side may carry the service")]
    NoShares,
    /// A side should carry shards and has no server.
    #[error("the side has a share and no server")]
    SideWithoutServers,
    /// A server names a side that the service does not have.
    #[error("the service has no side {side}")]
    UnknownSide {
        /// Side named.
        side: String,
    },
    /// An address is no IP number with a port that others can reach.
    #[error("{address} is not a reachable IP number and port")]
    InvalidAddress {
        /// Address found.
        address: String,
    },
    /// A server accepts fewer connections than it runs requests.
    #[error("{connections} connections are fewer than {slots} slots")]
    FewerConnectionsThanSlots {
        /// Connections stated.
        connections: u32,
        /// Slots stated.
        slots: u32,
    },
    /// A path prefix does not start with `/` or holds characters that no path has.
    #[error("{prefix:?} is not a path prefix: start with / and use no space, ? or #")]
    InvalidPathPrefix {
        /// Prefix found.
        prefix: String,
    },
    /// A method is not in capital letters.
    #[error("{method:?} is not an HTTP method in capital letters")]
    InvalidMethod {
        /// Method found.
        method: String,
    },
    /// An earlier class takes every request of this one.
    #[error("the earlier class {earlier} takes all its requests; put the longer prefix first")]
    HiddenClass {
        /// Name of the earlier class.
        earlier: String,
    },
    /// The first bundle names a parent.
    #[error("the first bundle has no parent")]
    UnexpectedParent,
    /// The bundle does not follow the accepted one.
    #[error("the accepted bundle is {accepted}, version {accepted_version}; start from that one")]
    ParentMismatch {
        /// Digest of the accepted bundle.
        accepted: String,
        /// Version of the accepted bundle.
        accepted_version: u64,
    },
    /// The version number does not grow.
    #[error("version {version} does not follow the accepted version {accepted_version}")]
    VersionNotGreater {
        /// Version found.
        version: u64,
        /// Version accepted.
        accepted_version: u64,
    },
    /// The deployment's name changed.
    #[error("the deployment is {accepted} and can't change")]
    DeploymentChanged {
        /// Name in the accepted bundle.
        accepted: String,
    },
    /// A service's count of shards changed.
    #[error("a service keeps its {accepted} shards for life; make a new service and migrate")]
    ShardCountChanged {
        /// Count in the accepted bundle.
        accepted: u32,
    },
    /// A server serves another service, while it may still hold shards of the former.
    #[error("the server served {accepted}; give the new one a new name, the old may hold shards")]
    ServerChangedService {
        /// Service in the accepted bundle.
        accepted: String,
    },
}
