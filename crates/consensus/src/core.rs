//! The replica: its state, its timers and its public face.

use std::time::Duration;

use grebepin_schema::{
    HardState, LogIndex, Membership, PeerMessage, ReplicaId, SnapshotMeta, Term,
};

use crate::config::Config;
use crate::error::ProposeError;
use crate::ready::{ReadId, Ready, Restored, Role};

/// One replica of a control group.
#[derive(Debug)]
pub struct Consensus {
    config: Config,
    hard_state: HardState,
    membership: Membership,
    now: Duration,
}

impl Consensus {
    /// Starts a replica from what its storage held. It waits one election timeout from `now` before
    /// it votes, since it may have forgotten a promise to a leader.
    ///
    /// # Panics
    /// When `restored.entries` leave a gap, which [`Restored`] forbids.
    pub fn new(config: Config, restored: Restored, now: Duration) -> Self {
        let membership = restored
            .snapshot
            .map(|(meta, _)| meta.membership)
            .unwrap_or(Membership {
                members: Vec::new(),
            });
        Self {
            config,
            hard_state: restored.hard_state,
            membership,
            now,
        }
    }

    /// Lets time pass: elections, heartbeats, the check that a leader still hears a majority.
    pub fn tick(&mut self, now: Duration) {
        self.now = self.now.max(now);
    }

    /// Takes in a message of another replica. Any message is safe to pass.
    pub fn step(&mut self, now: Duration, message: PeerMessage) {
        self.tick(now);
        let _ = message;
    }

    /// When [`Consensus::tick`] must be called next, at the latest.
    pub fn next_wake(&self) -> Duration {
        self.now + self.config.heartbeat
    }

    /// Appends a command to the leader's log; it is decided once it comes out as committed with the
    /// same term.
    ///
    /// # Errors
    /// [`ProposeError`]; nothing was written then.
    pub fn propose(
        &mut self,
        now: Duration,
        command: Vec<u8>,
    ) -> Result<(Term, LogIndex), ProposeError> {
        let _ = (now, command);
        Err(ProposeError::NotLeader { leader: None })
    }

    /// Appends a new membership, which must differ from the one in force by one member.
    ///
    /// # Errors
    /// [`ProposeError`]; nothing was written then.
    pub fn propose_membership(
        &mut self,
        now: Duration,
        membership: Membership,
    ) -> Result<(Term, LogIndex), ProposeError> {
        let _ = (now, membership);
        Err(ProposeError::NotLeader { leader: None })
    }

    /// Asks for a linearizable read: it comes out of [`Consensus::ready`] once a majority confirmed,
    /// in a round sent after this call, that this replica still leads.
    ///
    /// # Errors
    /// [`ProposeError::NotLeader`] or [`ProposeError::Overloaded`].
    pub fn request_read(&mut self, now: Duration) -> Result<ReadId, ProposeError> {
        let _ = now;
        Err(ProposeError::NotLeader { leader: None })
    }

    /// Takes the work that waits for the caller.
    pub fn ready(&mut self) -> Ready {
        Ready::default()
    }

    /// Tells that all of the last [`Ready`] is durable: the leader now counts its own copy.
    pub fn synced(&mut self, now: Duration) {
        self.tick(now);
    }

    /// Drops the log up to a snapshot that the caller has saved durably. `meta` comes from
    /// [`Consensus::snapshot_meta`]; a snapshot of entries that were not handed out as committed,
    /// or older than the present one, is ignored.
    pub fn compact(&mut self, meta: SnapshotMeta, data: Vec<u8>) {
        let _ = (meta, data);
    }

    /// Term and membership at an index that was handed out as committed, for a snapshot there.
    /// `None` when the index is not in the log any more or not committed.
    pub fn snapshot_meta(&self, index: LogIndex) -> Option<SnapshotMeta> {
        let _ = index;
        None
    }

    /// What this replica is now.
    pub fn role(&self) -> Role {
        Role::Learner
    }

    /// The leader of the present term, where known.
    pub fn leader(&self) -> Option<ReplicaId> {
        None
    }

    /// The present term.
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Highest index known to be committed.
    pub fn commit(&self) -> LogIndex {
        self.hard_state.commit
    }

    /// Index of the last entry in the log.
    pub fn last_index(&self) -> LogIndex {
        LogIndex(0)
    }

    /// The membership in force: the last one in the log, committed or not.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// When this replica became leader; `None` when it does not lead.
    pub fn leader_since(&self) -> Option<Duration> {
        None
    }

    /// Whether this replica leads and an entry of its own term is committed, so that everything
    /// acknowledged by earlier leaders is known to be committed here.
    pub fn leads_with_commit(&self) -> bool {
        false
    }

    /// Until when this leader's lease runs, which may be in the past; `None` when it does not lead.
    pub fn leader_lease_until(&self) -> Option<Duration> {
        None
    }

    /// For a leader: for each member, itself included, the highest index known to be stored there
    /// and when it was last heard from (`None` for itself and for a member never heard from in this term).
    pub fn member_progress(&self) -> Vec<(ReplicaId, LogIndex, Option<Duration>)> {
        Vec::new()
    }

    /// For a leader: whether a learner holds everything committed and was heard from within an
    /// election timeout, so that it may become a voter.
    pub fn learner_is_caught_up(&self, replica: ReplicaId) -> bool {
        let _ = replica;
        false
    }
}
