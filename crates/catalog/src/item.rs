//! Types of the configuration items: routes, services and limits. Each item has its own version.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Version of one item; a higher one replaces a lower one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version(pub u64);

/// Kind of a configuration item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ItemKind {
    /// Limits on what clients may send; a single item.
    Limits,
    /// Properties of a service's servers.
    Service,
    /// Targets of the requests for a host and path prefix.
    Route,
}

/// Identifies one item.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ItemKey {
    /// Kind of the item.
    pub kind: ItemKind,
    /// Name, unique among the items of its kind; empty for the limits.
    pub name: String,
}

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestKind {
    /// May be executed more than once.
    Safe,
    /// Is executed at most once for each attempt of the client.
    Unsafe,
}

/// Target service of a route, with its share of the requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Share of the requests, relative to the other weights of the route.
    pub weight: u32,
}

/// Targets and properties of the requests for a host and path prefix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Host name that clients send, without a port.
    pub host: String,
    /// Prefix of the path; begins with a slash.
    pub prefix: String,
    /// Whether requests may be executed more than once.
    pub kind: RequestKind,
    /// Latency within which a response has its full value to the client.
    pub target_latency: Duration,
    /// Maximum time that a gateway holds a request; above 0 and at most 600 s.
    pub timeout: Duration,
    /// Maximum number of servers that one request is sent to.
    pub maximum_attempts: u32,
    /// Priority among routes; 0 is the highest.
    pub priority: u32,
    /// Target services with their weights; a single entry if the requests are not split.
    pub targets: Vec<WeightedService>,
}

/// Properties of a service's servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Maximum number of connections to one server, summed over all callers.
    pub maximum_connections: u32,
    /// Whether keys have exclusive owners, assigned by shard.
    pub sharded: bool,
    /// Requests per second, summed over all callers, that a server handles while it warms up; `None` if
    /// warming up does not limit it.
    #[serde(default)]
    pub warmup_rate: Option<f64>,
}

/// Limits on what clients may send.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum size of a request's header section, in bytes.
    pub header_bytes: u64,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: u64,
    /// Time within which the complete header section must be received.
    pub header_timeout: Duration,
    /// Maximum idle time of a connection between two requests.
    pub idle_timeout: Duration,
}

/// Content of an item.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ItemContent {
    /// Limits on clients.
    Limits(Limits),
    /// Properties of a service.
    Service(Service),
    /// Targets and properties of a route.
    Route(Route),
}

impl ItemContent {
    /// Returns the kind of item that has this content.
    pub fn kind(&self) -> ItemKind {
        match self {
            Self::Limits(_) => ItemKind::Limits,
            Self::Service(_) => ItemKind::Service,
            Self::Route(_) => ItemKind::Route,
        }
    }
}

/// One configuration item.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Item {
    /// Name, unique among the items of its kind; empty for the limits.
    pub name: String,
    /// Version of the content.
    pub version: Version,
    /// Parsed content.
    pub content: ItemContent,
    /// Source text that the operator submitted, returned unchanged when the item is read.
    pub document: String,
}

impl Item {
    /// Returns the key that the item is stored under.
    pub fn key(&self) -> ItemKey {
        ItemKey {
            kind: self.content.kind(),
            name: self.name.clone(),
        }
    }
}

/// Removal of an item from the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Removal {
    /// Key of the item to remove.
    pub key: ItemKey,
    /// Version of the removal; it takes effect only if it is above the stored version.
    pub version: Version,
}

/// A change to several items. It is applied as a whole or refused as a whole.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ItemChange {
    /// Items to set.
    pub upserts: Vec<Item>,
    /// Items to remove.
    pub removals: Vec<Removal>,
}

impl ItemChange {
    /// Clears the item documents.
    pub(crate) fn drop_documents(&mut self) {
        for item in &mut self.upserts {
            item.document = String::new();
        }
    }
}
