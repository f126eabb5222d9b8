//! Inputs and outputs of a node.

use grebepin_catalog::Effects;
use grebepin_consensus::ProposeError;
use grebepin_grants::{AddressDecision, LoadSample};
use grebepin_schema::PeerFrame;

use crate::call::{Call, CallBasis, ItemDocument, Reply};
use crate::crashes::CrashReport;

/// Identifies a call until it is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// An event for the node to process.
#[derive(Clone, Debug)]
pub enum NodeInput {
    /// A frame from another replica.
    Peer(PeerFrame),
    /// Load measured by gateways.
    Load(LoadSample),
    /// Crashes reported by gateways.
    Crashes(Vec<CrashReport>),
    /// A call from a local client or relayed by another replica.
    Call {
        /// Identifies the call.
        id: CallId,
        /// The call.
        call: Call,
        /// What the replica that received it knew before it can have been sent.
        basis: CallBasis,
    },
}

/// An action for the caller to perform.
#[derive(Clone, Debug)]
pub enum NodeOutput {
    /// Send a frame to a replica. Delivery is not guaranteed.
    Peer {
        /// Internal address of the replica.
        address: String,
        /// The frame.
        frame: PeerFrame,
    },
    /// Answer a call.
    Reply {
        /// Identifies the call.
        id: CallId,
        /// The outcome.
        reply: Reply,
    },
    /// Answer reads with all items in force, which are held once for all of them.
    Items {
        /// Identifies the calls.
        calls: Vec<CallId>,
        /// The items.
        items: Vec<ItemDocument>,
    },
    /// Relay a call to the leader.
    Relay {
        /// Identifies the call.
        id: CallId,
        /// Internal address of the leader.
        address: String,
        /// Address at which the leader accepts calls from clients.
        endpoint: String,
        /// The call.
        call: Call,
        /// What this replica knew before the call can have been sent.
        basis: CallBasis,
    },
    /// Entries were applied and must be sent to the gateways that follow.
    Applied,
    /// The complete state was replaced and must be sent to the gateways that follow.
    StateReplaced,
    /// This replica gained or lost leadership.
    LeadershipChanged,
    /// Write a log line.
    Notice(Notice),
}

/// What a call to begin or end an evacuation did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvacuationOutcome {
    /// The evacuation began or ended.
    Changed,
    /// It was in force already.
    Unchanged,
    /// It was ignored, since a later call for the same zone took effect before.
    Superseded,
}

impl EvacuationOutcome {
    pub(super) fn reply(self) -> Reply {
        match self {
            Self::Changed | Self::Unchanged => Reply::EvacuationSet,
            Self::Superseded => Reply::Superseded,
        }
    }

    /// Value in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Changed => "changed",
            Self::Unchanged => "unchanged",
            Self::Superseded => "superseded",
        }
    }
}

/// An event worth a log line.
#[derive(Clone, Debug)]
pub enum Notice {
    /// This replica founded the group.
    Founded,
    /// This replica became the leader.
    Leads {
        /// The term.
        term: u64,
    },
    /// This replica is no longer the leader.
    Follows {
        /// The current term.
        term: u64,
    },
    /// A membership was committed.
    Membership {
        /// Log index.
        index: u64,
        /// Internal addresses of the voters.
        voters: Vec<String>,
        /// Number of other members.
        learners: usize,
    },
    /// Consensus rejected a membership change. The same change is proposed again for as long as it appears
    /// due.
    MembershipRefused {
        /// Why it was rejected.
        error: ProposeError,
    },
    /// The group now has fewer voters than wanted, or has enough again.
    Voters {
        /// Number of voters in the membership.
        voters: usize,
        /// Number of voters required for the tolerated losses.
        wanted: usize,
    },
    /// The state was restored from the log up to an index.
    Replayed {
        /// Log index.
        index: u64,
    },
    /// An entry changed the state.
    Effects {
        /// Log index.
        index: u64,
        /// The changes.
        effects: Effects,
        /// Whether this replica leads. Changes to servers and moves of shards are logged only by the leader,
        /// so that each produces one line in the whole group.
        is_leader: bool,
    },
    /// An entry decided a call to begin or end an evacuation.
    EvacuationDecided {
        /// The call.
        id: CallId,
        /// Log index.
        index: u64,
        /// What the call did.
        outcome: EvacuationOutcome,
    },
    /// A server sent a heartbeat with the address of another one.
    AddressClaimed(AddressDecision),
    /// A snapshot was saved, or installed from the leader.
    SnapshotSaved {
        /// Index of the last entry that it covers.
        index: u64,
        /// Size in bytes.
        bytes: usize,
    },
    /// An incomplete write was cut off the end of the log at startup.
    TornTailCut {
        /// Number of bytes removed.
        bytes: u64,
    },
}
