//! What goes into a replica at its start, and what comes out of it.

use grebepin_schema::{Entry, HardState, LogIndex, PeerMessage, SnapshotMeta, Term};

/// What the storage held at the start.
#[derive(Clone, Debug)]
pub struct Restored {
    /// Term, vote and commit index.
    pub hard_state: HardState,
    /// Last snapshot; its membership is the one in force up to the first membership entry.
    pub snapshot: Option<(SnapshotMeta, Vec<u8>)>,
    /// Entries after the snapshot, without a gap.
    pub entries: Vec<Entry>,
}

impl Default for Restored {
    /// An empty storage: term 0, no vote, no entry. Such a replica is no voter until a leader of
    /// the group sends it the log.
    fn default() -> Self {
        Self {
            hard_state: HardState {
                term: Term(0),
                vote: None,
                commit: LogIndex(0),
            },
            snapshot: None,
            entries: Vec::new(),
        }
    }
}

/// Number of a linearizable read, unique within one run of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReadId(pub u64);

/// What a replica is at this moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Takes proposals and replicates them.
    Leader,
    /// A voter that follows a leader or waits for one.
    Follower,
    /// A voter that asks for votes in a new term.
    Candidate,
    /// A voter that asks whether it would get votes; its term is unchanged.
    PreCandidate,
    /// No voter: a learner, or a replica which the membership doesn't name.
    Learner,
}

/// Work for the caller, in the order of the fields: sync `snapshot`, `hard_state` and `entries`,
/// call [`crate::Consensus::synced`], and only then send `messages`, apply `committed` and answer `reads`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ready {
    /// A snapshot received from the leader, which replaces the whole log and the applied state.
    pub snapshot: Option<(SnapshotMeta, Vec<u8>)>,
    /// New term, vote or commit index. The index covers no entry of this `Ready`.
    pub hard_state: Option<HardState>,
    /// Entries without a gap. Stored entries at or after the first one's index are overwritten.
    pub entries: Vec<Entry>,
    /// Messages to other replicas, to send only after all of the above is synced.
    pub messages: Vec<PeerMessage>,
    /// Entries to apply, in order, without a gap after the last ones (or after `snapshot`).
    pub committed: Vec<Entry>,
    /// Reads that a majority confirmed, each with the index that must be applied before it is answered.
    pub reads: Vec<(ReadId, LogIndex)>,
    /// Whether leadership was lost since the last `Ready`: unanswered reads are void, and unanswered
    /// proposals may or may not be committed by a later leader.
    pub lost_leadership: bool,
}

impl Ready {
    /// Whether there is nothing to do.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Whether something must be synced before the messages are sent.
    pub fn must_sync(&self) -> bool {
        self.snapshot.is_some() || self.hard_state.is_some() || !self.entries.is_empty()
    }
}
