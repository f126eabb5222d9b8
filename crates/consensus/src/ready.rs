//! Input of a replica at startup, and its output to the caller.

use grebepin_schema::{Entry, HardState, LogIndex, PeerMessage, SnapshotMeta, Term};

/// Persistent state read from storage at startup.
#[derive(Clone, Debug)]
pub struct Restored {
    /// Last synced term, vote and commit index.
    pub hard_state: HardState,
    /// Latest snapshot; its membership applies until the first membership entry after it.
    pub snapshot: Option<(SnapshotMeta, Vec<u8>)>,
    /// Entries after the snapshot, with contiguous indexes.
    pub entries: Vec<Entry>,
}

impl Default for Restored {
    /// Empty storage: term 0, no vote and no entries. A replica that starts from it is not a voter until a
    /// leader of the group has sent it the log.
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

/// Identifies a linearizable read; unique within one run of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReadId(pub u64);

/// Current role of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Accepts proposals and replicates them.
    Leader,
    /// A voter that follows a leader or waits for an election.
    Follower,
    /// A voter that requests votes in a new term.
    Candidate,
    /// A voter that requests pre-votes; its term is unchanged.
    PreCandidate,
    /// Not a voter: a learner, or a replica outside the membership.
    Learner,
}

/// Work for the caller, to be done in the order of the fields: sync `snapshot`, `hard_state` and `entries`,
/// call [`crate::Consensus::synced`], and only then send `messages`, apply `committed` and answer `reads`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ready {
    /// Snapshot received from the leader. It replaces the whole log and the applied state.
    pub snapshot: Option<(SnapshotMeta, Vec<u8>)>,
    /// New term, vote or commit index. The commit index covers no entry of this `Ready`.
    pub hard_state: Option<HardState>,
    /// Entries to append, with contiguous indexes. They overwrite stored entries at or after the first index.
    pub entries: Vec<Entry>,
    /// Messages to other replicas. They must not be sent before all of the above is synced.
    pub messages: Vec<PeerMessage>,
    /// Entries to apply, in order, contiguous with the previously applied ones (or with `snapshot`).
    pub committed: Vec<Entry>,
    /// Reads confirmed by a majority, each with the index that must be applied before the read is answered.
    pub reads: Vec<(ReadId, LogIndex)>,
    /// Whether leadership was lost since the last `Ready`. Unanswered reads are then void, and a later leader
    /// may or may not commit unanswered proposals.
    pub lost_leadership: bool,
}

impl Ready {
    /// Returns whether there is no work for the caller.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Returns whether data must be synced before the messages are sent.
    pub fn must_sync(&self) -> bool {
        self.snapshot.is_some() || self.hard_state.is_some() || !self.entries.is_empty()
    }
}
