//! Servers that registered themselves.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// One life of a server process: the name that the server goes by and when this life of it started.
///
/// A server may restart under its old name. The start tells its lives apart, so that nothing learnt of one life,
/// granted to it or said by it is taken for the other's. A server that never states its start takes a new name
/// at each start.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "StoredInstanceId", into = "StoredInstanceId")]
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
    pub fn states_start(&self) -> bool {
        self.started_ms > 0
    }

    /// Whether this is an earlier life of the server whose life `other` is.
    pub fn is_earlier_life_of(&self, other: &Self) -> bool {
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

/// An identity as logs and messages hold it: a name alone where no start was stated, as before starts were
/// known.
#[derive(Serialize, Deserialize)]
#[serde(untagged)]
enum StoredInstanceId {
    Name(String),
    Life(String, u64),
}

impl From<StoredInstanceId> for InstanceId {
    fn from(stored: StoredInstanceId) -> Self {
        match stored {
            StoredInstanceId::Name(name) => Self::new(&name),
            StoredInstanceId::Life(name, started_ms) => Self::started_at(&name, started_ms),
        }
    }
}

impl From<InstanceId> for StoredInstanceId {
    fn from(id: InstanceId) -> Self {
        let name = id.name.as_ref().to_owned();
        match id.started_ms {
            0 => Self::Name(name),
            started_ms => Self::Life(name, started_ms),
        }
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
