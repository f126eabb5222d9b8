//! The replica: its state, the caller's loop, and where each message goes.
//!
//! Invariant: the term never falls; within a term the replica votes for at most one candidate; term
//! and vote leave in a [`Ready`] before or with any message that depends on them.

use std::time::Duration;

use grebepin_schema::{
    HardState, LogIndex, MemberRole, PeerBody, PeerMessage, ReplicaId, SnapshotMeta, Term,
};
use rand::rngs::SmallRng;
use rand::SeedableRng;

use crate::config::{Config, Guard};
use crate::election::Votes;
use crate::leader::Leadership;
use crate::log::{Log, Snapshot};
use crate::membership::{is_member, MembershipHistory};
use crate::ready::{ReadId, Ready, Restored};
use crate::snapshot::IncomingSnapshot;

/// What a replica does in its term.
#[derive(Debug)]
pub(crate) enum State {
    Follower,
    PreCandidate(Votes),
    Candidate(Votes),
    Leader(Box<Leadership>),
}

/// One replica of a control group.
#[derive(Debug)]
pub struct Consensus {
    pub(crate) config: Config,
    pub(crate) random: SmallRng,
    pub(crate) started: Duration,
    pub(crate) now: Duration,
    pub(crate) term: Term,
    pub(crate) vote: Option<ReplicaId>,
    /// Term and vote that last left for storage.
    saved: (Term, Option<ReplicaId>),
    pub(crate) log: Log,
    pub(crate) memberships: MembershipHistory,
    pub(crate) state: State,
    pub(crate) leader: Option<ReplicaId>,
    pub(crate) last_leader_contact: Option<Duration>,
    /// Highest commit index that a leader told, whether this replica holds it or not.
    pub(crate) leader_commit: LogIndex,
    pub(crate) election_deadline: Duration,
    pub(crate) incoming: Option<IncomingSnapshot>,
    /// A snapshot that is installed here and not yet handed to storage.
    pub(crate) snapshot_to_save: Option<(SnapshotMeta, Vec<u8>)>,
    pub(crate) messages: Vec<PeerMessage>,
    pub(crate) confirmed_reads: Vec<(ReadId, LogIndex)>,
    pub(crate) last_read: u64,
    pub(crate) lost_leadership: bool,
}

impl Consensus {
    /// Starts a replica from what its storage held. It waits one election timeout from `now` before
    /// it votes, since it may have forgotten a promise to a leader.
    ///
    /// # Panics
    /// When `restored.entries` leave a gap, which [`Restored`] forbids.
    pub fn new(config: Config, restored: Restored, now: Duration) -> Self {
        let hard_state = restored.hard_state;
        let log = Log::restore(restored.snapshot, restored.entries, hard_state.commit);
        // A term that only an entry or a snapshot shows was never voted in.
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
            memberships: MembershipHistory::of(&log),
            log,
            state: State::Follower,
            leader: None,
            last_leader_contact: None,
            leader_commit: LogIndex(0),
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

    /// Lets time pass: elections, heartbeats, the check that a leader still hears a majority.
    pub fn tick(&mut self, now: Duration) {
        self.advance(now);
        match self.state {
            State::Leader(_) => self.tick_leader(),
            _ => self.tick_election(),
        }
    }

    /// Time never runs backwards here, whatever the caller passes.
    pub(crate) fn advance(&mut self, now: Duration) {
        self.now = self.now.max(now);
    }

    /// Takes in a message of another replica. Any message is safe to pass; one that breaks the
    /// protocol is ignored.
    pub fn step(&mut self, now: Duration, message: PeerMessage) {
        self.advance(now);
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

    /// Compares the message's term with the replica's, takes over a later one where the message
    /// proves it, and tells whether the message is to be handled.
    fn accept_term(&mut self, message: &PeerMessage) -> bool {
        match &message.body {
            PeerBody::PreVoteRequest(_) => return true,
            PeerBody::PreVoteResponse(response) if response.granted => return true,
            _ => {}
        }
        if message.term < self.term {
            self.answer_stale(message);
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

    /// Follows in a term, without a known leader unless one is given.
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

    /// Takes the work that waits for the caller.
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
            committed: self.log.take_committed(),
            reads: std::mem::take(&mut self.confirmed_reads),
            lost_leadership: std::mem::take(&mut self.lost_leadership),
        }
    }

    /// The commit index alone is not worth a sync: a replica learns it again from the leader. It
    /// goes along when something else is synced, and covers only entries synced before: a crash
    /// within this sync may leave the hard state without the entries, over older ones.
    fn take_hard_state(&mut self, syncs_anyway: bool) -> Option<HardState> {
        let present = (self.term, self.vote);
        if present == self.saved && !syncs_anyway {
            return None;
        }
        self.saved = present;
        Some(HardState {
            term: self.term,
            vote: self.vote,
            commit: self.log.commit().min(self.log.durable()),
        })
    }

    /// Tells that all of the last [`Ready`] is durable: the leader now counts its own copy.
    pub fn synced(&mut self, now: Duration) {
        self.advance(now);
        self.log.mark_durable();
        self.advance_commit();
    }

    /// Drops the log up to a snapshot that the caller has saved durably. `meta` comes from
    /// [`Consensus::snapshot_meta`]; a snapshot of entries that were not handed out as committed,
    /// or older than the present one, is ignored.
    pub fn compact(&mut self, meta: SnapshotMeta, data: Vec<u8>) {
        let index = meta.index;
        let newer = self
            .log
            .snapshot()
            .is_none_or(|snapshot| snapshot.meta.index < index);
        if !newer || index > self.log.delivered() || self.log.term_at(index) != Some(meta.term) {
            return;
        }
        let keep_after = self.slowest_needed(index);
        self.memberships.compact(index);
        let snapshot = std::sync::Arc::new(Snapshot::new(meta, data));
        self.log.compact(snapshot, keep_after);
    }

    /// Term and membership at an index that was handed out as committed, for a snapshot there.
    /// `None` when the index is not in the log any more or was not handed out.
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

    /// Members that count towards majorities.
    pub(crate) fn counted_members(&self) -> Vec<ReplicaId> {
        let members = &self.memberships.current().members;
        let counted = members.iter().filter(|member| self.counts(member.role));
        counted.map(|member| member.replica).collect()
    }

    fn counts(&self, role: MemberRole) -> bool {
        role == MemberRole::Voter || !self.config.guards.has(Guard::LearnerRule)
    }

    /// Whether this replica counts towards majorities.
    pub(crate) fn is_counted(&self) -> bool {
        self.counted_members().contains(&self.config.id)
    }

    /// Whether this replica may seek election: also one whose removal is not known to be committed
    /// may be needed, since its log may be the only one with that entry. It doesn't count its own vote.
    pub(crate) fn may_lead(&self) -> bool {
        let mut undecided = self.memberships.undecided(self.log.commit());
        undecided.any(|membership| {
            let mut members = membership.members.iter();
            members.any(|member| member.replica == self.config.id && self.counts(member.role))
        })
    }
}
