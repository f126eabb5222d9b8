//! Elections: when to seek one, and when to vote.
//!
//! Invariant: a replica gives no vote within one election timeout of a leader's message or of its own
//! start (the vote promise), so a majority that answered a leader's round elects no other leader
//! within an election timeout of that round. A pre-vote changes no state.

use std::collections::BTreeSet;
use std::time::Duration;

use grebepin_schema::{
    LogIndex, PeerBody, PeerMessage, ReplicaId, Term, VoteRequest, VoteResponse,
};
use rand::Rng;

use crate::config::Guard;
use crate::core::{Consensus, State};
use crate::quorum::is_majority;

/// Replicas that granted a vote or a pre-vote.
pub(crate) type Votes = BTreeSet<ReplicaId>;

impl Consensus {
    /// Seeks election when no leader was heard for long enough. Replicas that count for nothing never do.
    pub(crate) fn tick_election(&mut self) {
        if self.now < self.election_deadline {
            return;
        }
        if !self.may_lead() {
            self.leader = None;
            self.reset_election_deadline();
            return;
        }
        self.become_pre_candidate();
    }

    fn become_pre_candidate(&mut self) {
        self.leader = None;
        self.state = State::PreCandidate(Votes::from([self.config.id]));
        // A pre-vote that fails disturbs nobody, so it is tried again soon.
        self.set_retry_deadline(self.config.election_timeout / 4);
        let term = Term(self.term.0.saturating_add(1));
        let request = self.vote_request();
        self.ask_voters(term, PeerBody::PreVoteRequest(request));
        self.count_votes();
    }

    fn become_candidate(&mut self) {
        self.term = Term(self.term.0.saturating_add(1));
        self.vote = Some(self.config.id);
        self.state = State::Candidate(Votes::from([self.config.id]));
        self.set_retry_deadline(self.config.election_timeout / 2);
        let request = self.vote_request();
        self.ask_voters(self.term, PeerBody::VoteRequest(request));
        self.count_votes();
    }

    fn vote_request(&self) -> VoteRequest {
        VoteRequest {
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        }
    }

    fn ask_voters(&mut self, term: Term, body: PeerBody) {
        for replica in self.counted_members() {
            if replica != self.config.id {
                self.send(replica, term, body.clone());
            }
        }
    }

    /// Goes on when a majority of those who count granted.
    fn count_votes(&mut self) {
        let (State::PreCandidate(votes) | State::Candidate(votes)) = &self.state else {
            return;
        };
        let counted = self.counted_members();
        let granted = counted.iter().filter(|id| votes.contains(id)).count();
        if !is_majority(granted, counted.len()) {
            return;
        }
        match self.state {
            State::PreCandidate(_) => self.become_candidate(),
            _ => self.become_leader(),
        }
    }

    pub(crate) fn on_pre_vote_request(
        &mut self,
        from: ReplicaId,
        term: Term,
        request: &VoteRequest,
    ) {
        let granted = term > self.term && self.is_up_to_date(request) && !self.vote_promised();
        let answer_term = if granted { term } else { self.term };
        let response = VoteResponse { granted };
        self.send(from, answer_term, PeerBody::PreVoteResponse(response));
    }

    pub(crate) fn on_pre_vote_response(
        &mut self,
        from: ReplicaId,
        term: Term,
        response: &VoteResponse,
    ) {
        let sought = Term(self.term.0.saturating_add(1));
        if let State::PreCandidate(votes) = &mut self.state {
            if response.granted && term == sought {
                votes.insert(from);
                self.count_votes();
            }
        }
    }

    pub(crate) fn on_vote_request(&mut self, from: ReplicaId, request: &VoteRequest) {
        let free = self.vote.is_none() || self.vote == Some(from);
        let granted = free && self.is_up_to_date(request) && !self.vote_promised();
        if granted {
            self.vote = Some(from);
            self.reset_election_deadline();
        }
        self.send(
            from,
            self.term,
            PeerBody::VoteResponse(VoteResponse { granted }),
        );
    }

    pub(crate) fn on_vote_response(&mut self, from: ReplicaId, response: &VoteResponse) {
        if let State::Candidate(votes) = &mut self.state {
            if response.granted {
                votes.insert(from);
                self.count_votes();
            }
        }
    }

    /// Answers a request of an earlier term, so that its sender learns the present one.
    pub(crate) fn answer_stale(&mut self, message: &PeerMessage) {
        match &message.body {
            PeerBody::VoteRequest(_) => {
                let response = VoteResponse { granted: false };
                self.send(message.from, self.term, PeerBody::VoteResponse(response));
            }
            PeerBody::AppendRequest(_) | PeerBody::SnapshotRequest(_) => {
                self.refuse_append(message.from, LogIndex(0), 0);
            }
            _ => {}
        }
    }

    /// Whether a candidate's log holds everything that this replica may have helped to commit.
    fn is_up_to_date(&self, request: &VoteRequest) -> bool {
        let own = (self.log.last_term(), self.log.last_index());
        (request.last_term, request.last_index) >= own
    }

    /// Whether this replica may give no vote now: it leads, it heard a leader within an election
    /// timeout, or it started within one and may have forgotten such a message.
    pub(crate) fn vote_promised(&self) -> bool {
        if !self.config.guards.has(Guard::VotePromise) {
            return false;
        }
        if matches!(self.state, State::Leader(_)) {
            return true;
        }
        let last = self.last_leader_contact.unwrap_or(self.started);
        self.now < last.max(self.started) + self.config.election_timeout
    }

    /// Waits for a leader between one and one and a half election timeouts.
    pub(crate) fn reset_election_deadline(&mut self) {
        let least = self.config.election_timeout;
        self.election_deadline = self.now + least + self.random_below(least / 2);
    }

    /// Waits for answers between `least` and twice that.
    fn set_retry_deadline(&mut self, least: Duration) {
        self.election_deadline = self.now + least + self.random_below(least);
    }

    fn random_below(&mut self, most: Duration) -> Duration {
        most.mul_f64(self.random.random::<f64>())
    }
}
