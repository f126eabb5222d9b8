//! What goes into a node and what comes out.

use grebepin_catalog::Effects;
use grebepin_consensus::ProposeError;
use grebepin_grants::LoadSample;
use grebepin_schema::PeerFrame;

use crate::call::{Call, Reply};
use crate::crashes::CrashReport;

/// Names a call until it is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// One thing that happened.
#[derive(Clone, Debug)]
pub enum NodeInput {
    /// A frame of another replica.
    Peer(PeerFrame),
    /// What a gateway saw of load.
    Load(LoadSample),
    /// Crashes that gateways told of.
    Crashes(Vec<CrashReport>),
    /// A call, of a client here or relayed by another replica.
    Call {
        /// Names the call.
        id: CallId,
        /// The call.
        call: Call,
    },
}

/// One thing to do.
#[derive(Clone, Debug)]
pub enum NodeOutput {
    /// Send a frame to a replica; it may be lost.
    Peer {
        /// Internal address of the replica.
        address: String,
        /// The frame.
        frame: PeerFrame,
    },
    /// Answer a call.
    Reply {
        /// Names the call.
        id: CallId,
        /// The outcome.
        reply: Reply,
    },
    /// Let the leader answer a call.
    Relay {
        /// Names the call.
        id: CallId,
        /// Internal address of the leader.
        address: String,
        /// Address at which the leader takes calls itself.
        endpoint: String,
        /// The call.
        call: Call,
    },
    /// Entries were applied; the gateways that follow want them.
    Applied,
    /// The whole state was replaced; the gateways that follow must get it anew.
    StateReplaced,
    /// This replica began or ceased to lead.
    LeadershipChanged,
    /// Something worth a log line.
    Notice(Notice),
}

/// Something worth a log line.
#[derive(Clone, Debug)]
pub enum Notice {
    /// The group was founded here.
    Founded,
    /// This replica leads in a term.
    Leads {
        /// The term.
        term: u64,
    },
    /// This replica leads no more.
    Follows {
        /// The present term.
        term: u64,
    },
    /// A membership is committed.
    Membership {
        /// Log index.
        index: u64,
        /// Internal addresses of the voters.
        voters: Vec<String>,
        /// Number of learners.
        learners: usize,
    },
    /// A change of membership breaks a rule of consensus; the same one comes up again while it seems due.
    MembershipRefused {
        /// The rule.
        error: ProposeError,
    },
    /// The group fell short of the voters that it should have, or has them again.
    Voters {
        /// Voters of the membership.
        voters: usize,
        /// Voters that the losses to be borne need.
        wanted: usize,
    },
    /// The state was restored from the log, up to an index.
    Replayed {
        /// Log index.
        index: u64,
    },
    /// An entry changed the state.
    Effects {
        /// Log index.
        index: u64,
        /// What changed.
        effects: Effects,
        /// Whether this replica leads: one line for a server and a move of shards in the whole group is enough.
        is_leader: bool,
    },
    /// An unfinished write was cut off the log at the start.
    TornTailCut {
        /// Bytes cut.
        bytes: u64,
    },
}
