//! State of one replica, its interface to the caller, and dispatch of messages.
//!
//! Invariant: the term never decreases; a replica votes for at most one candidate per term; the term and the
//! vote are returned in a [`Ready`] before or together with any message that depends on them.

use std::time::Duration;

use grebepin_schema::{
    HardState, LogIndex, MemberRole, PeerBody, PeerMessage, ReplicaId, SnapshotMeta, Term,
};
use rand::rngs::SmallRng;
use rand::SeedableRng;

use crate::config::{Config, Guard};
use crate::election::Votes;
use crate::leader::Leadership;
use crate::limits::MAX_COMMITTED_BATCH_BYTES;
use crate::log::{Log, Snapshot};
use crate::membership::{is_member, MembershipHistory};
use crate::ready::{ReadId, Ready, Restored};
use crate::snapshot::IncomingSnapshot;

/// Role of a replica in its term, with the state that belongs to the role.
#[derive(Debug)]
pub(crate) enum State {
    Follower,
    PreCandidate(Votes),
    Candidate(Votes),
    Leader(Box<Leadership>),
}

/// One replica of a consensus group.
#[derive(Debug)]
pub struct Consensus {
    pub(crate) config: Config,
    pub(crate) random: SmallRng,
    pub(crate) started: Duration,
    pub(crate) now: Duration,
    pub(crate) term: Term,
    pub(crate) vote: Option<ReplicaId>,
    /// Term and vote that were last returned for storage.
    saved: (Term, Option<ReplicaId>),
    pub(crate) log: Log,
    pub(crate) memberships: MembershipHistory,
    pub(crate) state: State,
    pub(crate) leader: Option<ReplicaId>,
    pub(crate) last_leader_contact: Option<Duration>,
    /// Highest commit index received from a leader. This replica may not have the entry yet.
    pub(crate) leader_commit: LogIndex,
    /// When a leader last stated its commit index. `None` also while it sends a snapshot, whose index may be
    /// far below its commit index.
    pub(crate) leader_commit_at: Option<Duration>,
    pub(crate) election_deadline: Duration,
    pub(crate) incoming: Option<IncomingSnapshot>,
    /// Installed snapshot that was not yet returned for storage.
    pub(crate) snapshot_to_save: Option<(SnapshotMeta, Vec<u8>)>,
    pub(crate) messages: Vec<PeerMessage>,
    pub(crate) confirmed_reads: Vec<(ReadId, LogIndex)>,
    pub(crate) last_read: u64,
    pub(crate) lost_leadership: bool,
}

impl Consensus {
    /// Starts a replica from its stored state. It does not vote within one election timeout of `now`, since a
    /// promise to a leader from before the restart is not stored.
    ///
    /// # Panics
    /// Panics if the indexes of `restored.entries` are not contiguous, as [`Restored`] requires.
    pub fn new(config: Config, restored: Restored, now: Duration) -> Self {
        let hard_state = restored.hard_state;
        let log = Log::restore(restored.snapshot, restored.entries, hard_state.commit);
        // If the term is known only from an entry or a snapshot, this replica has not voted in it.
        let term = hard_state.term.max(log.last_term());
        let vote = hard_state.vote.filter(|_| term == hard_state.term);
        let mut consensus = Self {
            random: SmallRng::seed_from_u64(config.seed),
            config,
            started: now,
            now,
            term,
            vote,
            saved: (hard_state.term, hard_state.vote),
            memberships: MembershipHistory::from_log(&log),
            log,
            state: State::Follower,
            leader: None,
            last_leader_contact: None,
            leader_commit: LogIndex(0),
            leader_commit_at: None,
            election_deadline: now,
            incoming: None,
            snapshot_to_save: None,
            messages: Vec::new(),
            confirmed_reads: Vec::new(),
            last_read: 0,
            lost_leadership: false,
        };
        consensus.reset_election_deadline();
        consensus
    }

    /// Advances the clock to `now`: starts elections and heartbeat rounds that are due, and steps down as
    /// leader when a majority has not responded in time.
    pub fn tick(&mut self, now: Duration) {
        self.advance_clock(now);
        match self.state {
            State::Leader(_) => self.tick_leader(),
            _ => self.tick_election(),
        }
    }

    /// Sets the current time. A time before the current one is ignored.
    pub(crate) fn advance_clock(&mut self, now: Duration) {
        self.now = self.now.max(now);
    }

    /// Handles a message from another replica. Any message is safe to pass; one that violates the protocol is
    /// ignored.
    pub fn step(&mut self, now: Duration, message: PeerMessage) {
        self.advance_clock(now);
        if message.group != self.config.group || message.to != self.config.id {
            return;
        }
        if message.from == self.config.id || !self.accept_term(&message) {
            return;
        }
        let PeerMessage {
            from, term, body, ..
        } = message;
        match body {
            PeerBody::PreVoteRequest(request) => self.on_pre_vote_request(from, term, &request),
            PeerBody::PreVoteResponse(response) => self.on_pre_vote_response(from, term, &response),
            PeerBody::VoteRequest(request) => self.on_vote_request(from, &request),
            PeerBody::VoteResponse(response) => self.on_vote_response(from, &response),
            PeerBody::AppendRequest(request) => self.on_append_request(from, request),
            PeerBody::AppendResponse(response) => self.on_append_response(from, &response),
            PeerBody::SnapshotRequest(request) => self.on_snapshot_request(from, request),
            PeerBody::SnapshotResponse(response) => self.on_snapshot_response(from, &response),
        }
    }

    /// Compares the term of a message with the current term, adopts a later term if the message is proof of
    /// it, and returns whether the message is to be handled.
    fn accept_term(&mut self, message: &PeerMessage) -> bool {
        match &message.body {
            PeerBody::PreVoteRequest(_) => return true,
            PeerBody::PreVoteResponse(response) if response.granted => return true,
            _ => {}
        }
        if message.term < self.term {
            self.reject_stale(message);
            return false;
        }
        if message.term == self.term {
            return true;
        }
        match &message.body {
            PeerBody::VoteRequest(_) if self.vote_promised() => false,
            PeerBody::VoteRequest(_)
            | PeerBody::AppendRequest(_)
            | PeerBody::SnapshotRequest(_) => {
                self.become_follower(message.term, None);
                true
            }
            _ => {
                if is_member(self.memberships.current(), message.from) {
                    self.become_follower(message.term, None);
                }
                false
            }
        }
    }

    /// Becomes a follower in a term; `leader` is the leader of the term, if known.
    pub(crate) fn become_follower(&mut self, term: Term, leader: Option<ReplicaId>) {
        if let State::Leader(_) = self.state {
            self.lost_leadership = true;
            self.reset_election_deadline();
        }
        if term > self.term {
            self.term = term;
            self.vote = None;
        }
        self.state = State::Follower;
        self.leader = leader;
    }

    /// Returns the pending work for the caller and removes it from this replica.
    pub fn ready(&mut self) -> Ready {
        self.flush_leader();
        let entries = self.log.take_unsaved();
        let snapshot = self.snapshot_to_save.take();
        let hard_state = self.take_hard_state(!entries.is_empty() || snapshot.is_some());
        Ready {
            snapshot,
            hard_state,
            entries,
            messages: std::mem::take(&mut self.messages),
            committed: self.log.take_committed(MAX_COMMITTED_BATCH_BYTES),
            reads: std::mem::take(&mut self.confirmed_reads),
            lost_leadership: std::mem::take(&mut self.lost_leadership),
        }
    }

    /// Returns the hard state to sync, if any. A new commit index alone does not require a sync, since a
    /// restarted replica receives it again from the leader; it is included when other data is synced. It
    /// covers only entries that were synced before, since a crash during this sync may store the hard state
    /// but leave older entries in place of the new ones.
    fn take_hard_state(&mut self, other_data_to_sync: bool) -> Option<HardState> {
        let current = (self.term, self.vote);
        if current == self.saved && !other_data_to_sync {
            return None;
        }
        self.saved = current;
        Some(HardState {
            term: self.term,
            vote: self.vote,
            commit: self.log.commit().min(self.log.durable()),
        })
    }

    /// Reports that the last [`Ready`] is durable. A leader then counts its own copy of the entries towards
    /// their commit.
    pub fn synced(&mut self, now: Duration) {
        self.advance_clock(now);
        self.log.mark_durable();
        self.advance_commit();
    }

    /// Discards the log up to a snapshot that the caller has stored durably. `meta` must come from
    /// [`Consensus::snapshot_meta`]. A snapshot is ignored if it is not newer than the current one or covers
    /// entries that were not returned as committed.
    pub fn compact(&mut self, meta: SnapshotMeta, data: Vec<u8>) {
        let index = meta.index;
        let newer = self
            .log
            .snapshot()
            .is_none_or(|snapshot| snapshot.meta.index < index);
        if !newer || index > self.log.delivered() || self.log.term_at(index) != Some(meta.term) {
            return;
        }
        let keep_after = self.compaction_limit(index);
        self.memberships.compact(index);
        let snapshot = std::sync::Arc::new(Snapshot::new(meta, data));
        self.log.compact(snapshot, keep_after);
    }

    /// Returns the term and membership at an index that was returned as committed, for a snapshot at that
    /// index. `None` if the index is no longer in the log or was not returned as committed.
    pub fn snapshot_meta(&self, index: LogIndex) -> Option<SnapshotMeta> {
        if index > self.log.delivered() {
            return None;
        }
        Some(SnapshotMeta {
            index,
            term: self.log.term_at(index)?,
            membership: self.memberships.at(index)?.clone(),
        })
    }

    pub(crate) fn send(&mut self, to: ReplicaId, term: Term, body: PeerBody) {
        self.messages.push(PeerMessage {
            group: self.config.group,
            from: self.config.id,
            to,
            term,
            body,
        });
    }

    /// Returns the members that count towards majorities.
    pub(crate) fn quorum_members(&self) -> Vec<ReplicaId> {
        let members = &self.memberships.current().members;
        let counted = members
            .iter()
            .filter(|member| self.counts_towards_quorum(member.role));
        counted.map(|member| member.replica).collect()
    }

    fn counts_towards_quorum(&self, role: MemberRole) -> bool {
        role == MemberRole::Voter || !self.config.guards.has(Guard::LearnerRule)
    }

    /// Returns whether this replica counts towards majorities.
    pub(crate) fn is_quorum_member(&self) -> bool {
        self.quorum_members().contains(&self.config.id)
    }

    /// Returns whether this replica may start an election. A replica whose removal is not known to be
    /// committed may still be required, since its log may be the only one that contains the removal. Its own
    /// vote does not count in that case.
    pub(crate) fn may_lead(&self) -> bool {
        let mut undecided = self.memberships.undecided(self.log.commit());
        undecided.any(|membership| {
            let mut members = membership.members.iter();
            members.any(|member| {
                member.replica == self.config.id && self.counts_towards_quorum(member.role)
            })
        })
    }
}
