//! Servers that registered themselves.

use std::fmt;
use std::sync::Arc;

use serde::de::{self, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// One life of a server process: the name that the server goes by and when this life of it started.
///
/// A server may restart under its old name. The start tells its lives apart, so that nothing learnt of one life,
/// granted to it or said by it is taken for the other's. A server that never states its start takes a new name
/// at each start.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InstanceId {
    name: Arc<str>,
    /// Unix milliseconds by the server's clock; 0 when it was not stated.
    started_ms: u64,
}

impl InstanceId {
    /// A server that does not state when it started.
    pub fn new(name: &str) -> Self {
        Self::started_at(name, 0)
    }

    /// The life of a server that started at `started_ms`, in Unix milliseconds by its own clock.
    pub fn started_at(name: &str, started_ms: u64) -> Self {
        Self {
            name: Arc::from(name),
            started_ms,
        }
    }

    /// The name, without the start.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Whether the server stated when it started.
    pub fn has_start_time(&self) -> bool {
        self.started_ms > 0
    }

    /// Whether this is an earlier life of the server whose life `other` is.
    pub fn is_earlier_incarnation_of(&self, other: &Self) -> bool {
        self.name == other.name && self.started_ms < other.started_ms
    }

    /// Every life of the same server, as bounds of a range in the order of identities.
    pub(crate) fn all_lives(&self) -> std::ops::RangeInclusive<Self> {
        let life = |started_ms| Self {
            name: Arc::clone(&self.name),
            started_ms,
        };
        life(0)..=life(u64::MAX)
    }
}

/// As logs show it: the name, and the start where it was stated.
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

/// Written as a name alone where no start was stated, as before starts were known; else as name and start.
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

/// Reads both forms without a copy in between: a whole state holds 10,000 of them.
struct InstanceIdVisitor;

impl<'de> Visitor<'de> for InstanceIdVisitor {
    type Value = InstanceId;

    fn expecting(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str("a server's name, or its name and start")
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

/// What a server may be used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum InstanceState {
    /// Takes new requests.
    Ready,
    /// Finishes what it has and takes nothing new.
    Draining,
    /// Ended; it never comes back under this identity.
    Gone,
}

/// One registered server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Instance {
    /// Its identity.
    pub id: InstanceId,
    /// Service it serves.
    pub service: String,
    /// Address for requests, `IP:PORT`.
    pub address: String,
    /// Zone it runs in.
    pub zone: String,
    /// Requests it works on at a time.
    pub slots: u32,
    /// What it may be used for; never goes back.
    pub state: InstanceState,
    /// Whether it warms up and takes few requests, as it last told, or as is assumed until it tells.
    #[serde(default)]
    pub is_cold: bool,
}
