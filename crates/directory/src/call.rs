//! Calls of operators and servers, and their outcomes, whatever dialect they came in.

use std::time::Duration;

use grebepin_catalog::{InstanceId, ItemChange, ItemKind};
use grebepin_grants::Heartbeat;
use serde::{Deserialize, Serialize};

/// A call that any replica takes and the leader answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Call {
    /// A server reports itself.
    Heartbeat(Heartbeat),
    /// A server is about to end.
    Leave(InstanceId),
    /// An operator changes items.
    ChangeItems(ItemChange),
    /// An operator reads all items.
    ReadItems,
    /// An operator evacuates a zone, or ends that.
    SetEvacuation {
        /// The zone.
        zone: String,
        /// Whether it is to be evacuated.
        evacuated: bool,
    },
}

/// Keys that a server is to hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantedRow {
    /// First key.
    pub from: u32,
    /// Last key, inclusive.
    pub to: u32,
    /// Fence.
    pub fence: u64,
    /// Handover of the last owner; empty without one.
    pub handover: String,
}

/// Everything that a server is to hold, counted from the sending of its heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantedKeys {
    /// The keys.
    pub rows: Vec<GrantedRow>,
    /// Length of the lease.
    pub lease: Duration,
}

/// An item in force, as it is read back.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ItemDocument {
    /// What it configures.
    pub kind: ItemKind,
    /// Host, for a route; empty otherwise.
    pub host: String,
    /// The operator's own text of the item.
    pub document: String,
}

/// Outcome of a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The heartbeat is taken in.
    Heartbeat {
        /// What the server holds; `None` grants and renews nothing.
        grant: Option<GrantedKeys>,
        /// Where later heartbeats are best sent, when not here.
        endpoint: Option<String>,
    },
    /// The server's leave is known to the whole group.
    Left,
    /// The change is committed, or had been overtaken.
    Changed,
    /// The beginning or end of an evacuation is committed.
    EvacuationSet,
    /// An evacuation names a zone that the deployment does not have.
    UnknownZone(String),
    /// The change breaks a rule and nothing of it is in force.
    Invalid(String),
    /// All items in force.
    Items(Vec<ItemDocument>),
    /// No answer can be given here and now; a change may be in force or not.
    Unavailable(UnavailableReason),
}

impl Reply {
    /// Short name of the outcome, for metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Heartbeat { grant: Some(_), .. } => "granted",
            Self::Heartbeat { grant: None, .. } => "acknowledged",
            Self::Left => "left",
            Self::Changed => "changed",
            Self::EvacuationSet => "evacuation",
            Self::UnknownZone(_) => "unknown_zone",
            Self::Invalid(_) => "invalid",
            Self::Items(_) => "read",
            Self::Unavailable(_) => "unavailable",
        }
    }
}

/// Why no answer could be given.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UnavailableReason {
    /// No leader is known.
    NoLeader,
    /// The leader is not sure to be the only one.
    LeaseOver,
    /// Leadership was lost before the outcome was known.
    LostLeadership,
    /// The leader did not answer in time.
    LeaderSilent,
    /// Too much waits for a majority.
    Overloaded,
    /// A group that is being founded still takes in the voters that it must have.
    FewVoters,
}
