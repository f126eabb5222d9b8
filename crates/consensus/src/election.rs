//! Elections and voting.
//!
//! Invariant: a replica grants no vote within one election timeout of a leader's message or of its own start
//! (the vote promise). A majority that answered a leader's round therefore elects no other leader within an
//! election timeout of that round. A pre-vote does not change any state of the voter.

use std::collections::BTreeSet;
use std::time::Duration;

use grebepin_schema::{
    LogIndex, PeerBody, PeerMessage, ReplicaId, Term, VoteRequest, VoteResponse,
};
use rand::Rng;

use crate::config::Guard;
use crate::core::{Consensus, State};
use crate::quorum::is_majority;

/// Replicas that granted a vote or pre-vote.
pub(crate) type Votes = BTreeSet<ReplicaId>;

impl Consensus {
    /// Starts a pre-vote when the election timeout has expired. Replicas that do not count towards majorities
    /// never start one.
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
        // A failed pre-vote does not disturb the other replicas, so it is retried early.
        self.set_retry_deadline(self.config.election_timeout / 4);
        let term = Term(self.term.0.saturating_add(1));
        let request = self.vote_request();
        self.send_to_voters(term, PeerBody::PreVoteRequest(request));
        self.count_votes();
    }

    fn become_candidate(&mut self) {
        self.term = Term(self.term.0.saturating_add(1));
        self.vote = Some(self.config.id);
        self.state = State::Candidate(Votes::from([self.config.id]));
        self.set_retry_deadline(self.config.election_timeout / 2);
        let request = self.vote_request();
        self.send_to_voters(self.term, PeerBody::VoteRequest(request));
        self.count_votes();
    }

    fn vote_request(&self) -> VoteRequest {
        VoteRequest {
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        }
    }

    fn send_to_voters(&mut self, term: Term, body: PeerBody) {
        for replica in self.quorum_members() {
            if replica != self.config.id {
                self.send(replica, term, body.clone());
            }
        }
    }

    /// Starts the election, or takes leadership, when a majority has granted its pre-votes or votes.
    fn count_votes(&mut self) {
        let (State::PreCandidate(votes) | State::Candidate(votes)) = &self.state else {
            return;
        };
        let members = self.quorum_members();
        let granted = members.iter().filter(|id| votes.contains(id)).count();
        if !is_majority(granted, members.len()) {
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
        let response_term = if granted { term } else { self.term };
        let response = VoteResponse { granted };
        self.send(from, response_term, PeerBody::PreVoteResponse(response));
    }

    pub(crate) fn on_pre_vote_response(
        &mut self,
        from: ReplicaId,
        term: Term,
        response: &VoteResponse,
    ) {
        let next_term = Term(self.term.0.saturating_add(1));
        if let State::PreCandidate(votes) = &mut self.state {
            if response.granted && term == next_term {
                votes.insert(from);
                self.count_votes();
            }
        }
    }

    pub(crate) fn on_vote_request(&mut self, from: ReplicaId, request: &VoteRequest) {
        let may_vote = self.vote.is_none() || self.vote == Some(from);
        let granted = may_vote && self.is_up_to_date(request) && !self.vote_promised();
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

    /// Rejects a request of an earlier term, so that its sender learns the current term.
    pub(crate) fn reject_stale(&mut self, message: &PeerMessage) {
        match &message.body {
            PeerBody::VoteRequest(_) => {
                let response = VoteResponse { granted: false };
                self.send(message.from, self.term, PeerBody::VoteResponse(response));
            }
            PeerBody::AppendRequest(_) | PeerBody::SnapshotRequest(_) => {
                self.reject_append(message.from, LogIndex(0), 0);
            }
            _ => {}
        }
    }

    /// Returns whether a candidate's log contains every entry that this replica may have helped to commit.
    fn is_up_to_date(&self, request: &VoteRequest) -> bool {
        let own = (self.log.last_term(), self.log.last_index());
        (request.last_term, request.last_index) >= own
    }

    /// Returns whether this replica must not vote now: it is the leader, it received a leader's message
    /// within an election timeout, or it started within one and may have received such a message before its
    /// restart.
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

    /// Sets the election deadline to a random time between 1 and 1.5 election timeouts from now.
    pub(crate) fn reset_election_deadline(&mut self) {
        let minimum = self.config.election_timeout;
        self.election_deadline = self.now + minimum + self.random_below(minimum / 2);
    }

    /// Sets the deadline for responses to a random time between `minimum` and twice `minimum` from now.
    fn set_retry_deadline(&mut self, minimum: Duration) {
        self.election_deadline = self.now + minimum + self.random_below(minimum);
    }

    fn random_below(&mut self, limit: Duration) -> Duration {
        limit.mul_f64(self.random.random::<f64>())
    }
}
