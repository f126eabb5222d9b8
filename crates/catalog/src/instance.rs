//! Identity, state and attributes of registered servers.

use std::fmt;
use std::sync::Arc;

use serde::de::{self, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Identifies one incarnation of a server: the server's name and the start time of the process.
///
/// A server may restart under the same name. The start time distinguishes its incarnations, so that what is
/// known about one, granted to it or received from it is never attributed to another. A server that does not
/// report a start time must use a new name for each start.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InstanceId {
    name: Arc<str>,
    /// Unix time in milliseconds on the server's clock; 0 if the server did not report it.
    started_ms: u64,
}

impl InstanceId {
    /// Creates the identity of a server that does not report its start time.
    pub fn new(name: &str) -> Self {
        Self::started_at(name, 0)
    }

    /// Creates the identity of the incarnation that started at `started_ms`, a Unix time in milliseconds on
    /// the server's clock. 0 means that the start time is not reported.
    pub fn started_at(name: &str, started_ms: u64) -> Self {
        Self {
            name: Arc::from(name),
            started_ms,
        }
    }

    /// Returns the server's name, without the start time.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns whether the server reported its start time.
    pub fn has_start_time(&self) -> bool {
        self.started_ms > 0
    }

    /// Returns whether this is an earlier incarnation of the same server as `other`.
    pub fn is_earlier_incarnation_of(&self, other: &Self) -> bool {
        self.name == other.name && self.started_ms < other.started_ms
    }

    /// Returns the range of identities that covers every incarnation of the same server.
    pub(crate) fn all_incarnations(&self) -> std::ops::RangeInclusive<Self> {
        let incarnation = |started_ms| Self {
            name: Arc::clone(&self.name),
            started_ms,
        };
        incarnation(0)..=incarnation(u64::MAX)
    }
}

/// Writes the name, followed by `@` and the start time if the server reported one.
impl fmt::Display for InstanceId {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(&self.name)?;
        match self.started_ms {
            0 => Ok(()),
            started_ms => write!(out, "@{started_ms}"),
        }
    }
}

impl fmt::Debug for InstanceId {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, out)
    }
}

/// Writes the name alone if there is no start time, and a sequence of name and start time otherwise. The
/// first form is that of logs and messages from versions without start times.
impl Serialize for InstanceId {
    fn serialize<S: Serializer>(&self, out: S) -> Result<S::Ok, S::Error> {
        match self.started_ms {
            0 => out.serialize_str(&self.name),
            started_ms => (&*self.name, started_ms).serialize(out),
        }
    }
}

impl<'de> Deserialize<'de> for InstanceId {
    fn deserialize<D: Deserializer<'de>>(input: D) -> Result<Self, D::Error> {
        input.deserialize_any(InstanceIdVisitor)
    }
}

/// Reads both forms without an intermediate copy, since a catalog may hold 10,000 identities.
struct InstanceIdVisitor;

impl<'de> Visitor<'de> for InstanceIdVisitor {
    type Value = InstanceId;

    fn expecting(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str("a server name, or a sequence of server name and start time")
    }

    fn visit_str<E: de::Error>(self, name: &str) -> Result<InstanceId, E> {
        Ok(InstanceId::new(name))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut parts: A) -> Result<InstanceId, A::Error> {
        let missing = |part| de::Error::invalid_length(part, &self);
        let name: &str = parts.next_element()?.ok_or_else(|| missing(0))?;
        let started_ms = parts.next_element()?.ok_or_else(|| missing(1))?;
        Ok(InstanceId::started_at(name, started_ms))
    }
}

/// Lifecycle state of a server. The order of the variants is the order in which states may follow each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum InstanceState {
    /// Accepts new requests.
    Ready,
    /// Completes the requests it has and accepts no new ones.
    Draining,
    /// Ended. This identity never becomes active again, unless it is only suspended.
    Gone,
}

/// One registered server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Instance {
    /// Name and start time of the server.
    pub id: InstanceId,
    /// Name of the service that it belongs to.
    pub service: String,
    /// Address for requests, `IP:PORT`.
    pub address: String,
    /// Zone that it runs in.
    pub zone: String,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Lifecycle state; never goes back to an earlier one.
    pub state: InstanceState,
    /// Whether the server is warming up and can handle few requests. Taken from its last heartbeat, or
    /// assumed after the evacuation of its zone until the next heartbeat.
    #[serde(default)]
    pub is_cold: bool,
}
