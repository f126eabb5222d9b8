//! Calls by operators and servers and their outcomes, independent of the HTTP dialect they arrive in.

use std::time::Duration;

use grebepin_catalog::{InstanceId, ItemChange, ItemKind};
use grebepin_grants::Heartbeat;
use serde::{Deserialize, Serialize};

/// A call that any replica accepts and the leader answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Call {
    /// Heartbeat of a server, with the keys that it holds.
    Heartbeat(Heartbeat),
    /// A server announces that it is shutting down.
    Leave(InstanceId),
    /// An operator changes configuration items.
    ChangeItems(ItemChange),
    /// An operator reads all configuration items.
    ReadItems,
    /// An operator starts or ends the evacuation of a zone.
    SetEvacuation {
        /// Name of the zone.
        zone: String,
        /// `true` starts the evacuation, `false` ends it.
        evacuated: bool,
    },
}

impl Call {
    /// Whether the call starts or ends an evacuation.
    pub fn is_evacuation(&self) -> bool {
        matches!(self, Self::SetEvacuation { .. })
    }
}

/// What the replica that received a call knew before the call can have been sent. A call may be read, relayed or
/// committed long after its caller gave it up; it must not undo what its caller did since.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallBasis {
    /// Number of the last call that started or ended an evacuation; `None` if the receiver did not state it.
    #[serde(default)]
    pub evacuation_call: Option<u64>,
}

/// A key range granted to a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantedRange {
    /// First key.
    pub from: u32,
    /// Last key, inclusive.
    pub to: u32,
    /// Fencing token of the assignment.
    pub fence: u64,
    /// Handover data left by the previous owner; empty if there is none.
    pub handover: String,
}

/// All keys granted to a server. The lease counts from the moment at which the server sent its heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantedKeys {
    /// The granted key ranges.
    pub rows: Vec<GrantedRange>,
    /// Duration of the lease.
    pub lease: Duration,
}

/// A configuration item in force, as returned to an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ItemDocument {
    /// Kind of the item.
    pub kind: ItemKind,
    /// Host of a route; empty for other kinds.
    pub host: String,
    /// The item's document as the operator submitted it.
    pub document: String,
}

impl ItemDocument {
    /// Size of the texts, in bytes.
    pub fn bytes(&self) -> usize {
        self.host.len() + self.document.len()
    }
}

/// Outcome of a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The heartbeat was processed.
    Heartbeat {
        /// Keys granted to the server; `None` neither grants nor renews a lease.
        grant: Option<GrantedKeys>,
        /// Address to which the server should send later heartbeats, if it is not this replica.
        endpoint: Option<String>,
    },
    /// The server's shutdown is committed.
    Left,
    /// The change is committed, or was superseded by a later version.
    Changed,
    /// The start or end of the evacuation is committed.
    EvacuationSet,
    /// A later call for the same zone took effect before this one, which changed nothing. It may be repeated.
    Superseded,
    /// The evacuation names a zone that the deployment does not have.
    UnknownZone(String),
    /// The change violates a rule; no part of it is in force.
    Invalid(String),
    /// All items in force.
    Items(Vec<ItemDocument>),
    /// This replica cannot answer now; if the call was a change, it may or may not be in force.
    Unavailable(UnavailableReason),
}

impl Reply {
    /// Value of the outcome label in metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Heartbeat { grant: Some(_), .. } => "granted",
            Self::Heartbeat { grant: None, .. } => "acknowledged",
            Self::Left => "left",
            Self::Changed => "changed",
            Self::EvacuationSet => "evacuation",
            Self::Superseded => "superseded",
            Self::UnknownZone(_) => "unknown_zone",
            Self::Invalid(_) => "invalid",
            Self::Items(_) => "read",
            Self::Unavailable(_) => "unavailable",
        }
    }
}

/// Why a call could not be answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UnavailableReason {
    /// No leader is known.
    NoLeader,
    /// The leader's lease has expired, so another replica may be leading.
    LeaseOver,
    /// Leadership was lost before the outcome was known.
    LostLeadership,
    /// The leader did not answer in time.
    LeaderSilent,
    /// Too many proposals are waiting for a majority.
    Overloaded,
    /// The call waited unread for so long that its caller has given it up.
    GivenUp,
    /// A group that is being founded does not have enough voters yet.
    FewVoters,
    /// The calls and replies of this replica use all memory that they may.
    NoMemory,
}
