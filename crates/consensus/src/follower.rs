//! Follower side of log replication.
//!
//! Invariant: an entry is accepted only if the entry before it matches the leader's log. Two logs with an
//! entry of the same index and term are therefore equal up to that entry. Committed entries are never
//! replaced.

use grebepin_schema::{
    AppendRequest, AppendResponse, Entry, EntryPayload, LogIndex, PeerBody, ReplicaId, Term,
};

use crate::core::{Consensus, State};

impl Consensus {
    pub(crate) fn on_append_request(&mut self, from: ReplicaId, mut request: AppendRequest) {
        if !is_well_formed(&request, self.term) || !self.accept_leader(from) {
            return;
        }
        self.leader_commit = self.leader_commit.max(request.commit);
        self.leader_commit_at = Some(self.now);
        if !self.skip_committed(&mut request) {
            return;
        }
        let AppendRequest {
            previous_index,
            previous_term,
            entries,
            commit,
            round,
        } = request;
        if self.log.term_at(previous_index) != Some(previous_term) {
            let hint = self.log.last_possible_match(previous_index, previous_term);
            self.reject_append(from, hint, round);
            return;
        }
        let matched = LogIndex(previous_index.0 + entries.len() as u64);
        self.store(entries);
        self.log.commit_to(commit.min(matched));
        self.acknowledge_append(from, matched, round);
    }

    /// Follows the sender of a leader's message in the current term and resets the election timeout. Returns
    /// false if the sender cannot be the leader: this replica leads the term, or knows another leader of it.
    pub(crate) fn accept_leader(&mut self, leader: ReplicaId) -> bool {
        let other_known = self.leader.is_some_and(|known| known != leader);
        if other_known || matches!(self.state, State::Leader(_)) {
            return false;
        }
        self.become_follower(self.term, Some(leader));
        self.last_leader_contact = Some(self.now);
        self.reset_election_deadline();
        true
    }

    /// Removes entries from the request that are already committed here, since those match the leader's log.
    /// Returns false if the request contradicts a committed entry and must be ignored.
    fn skip_committed(&self, request: &mut AppendRequest) -> bool {
        let commit = self.log.commit();
        if request.previous_index >= commit {
            return true;
        }
        let known = (commit.0 - request.previous_index.0) as usize;
        let last_known = request.entries.get(known - 1);
        if last_known.is_some_and(|entry| Some(entry.term) != self.log.term_at(commit)) {
            return false;
        }
        request.entries.drain(..known.min(request.entries.len()));
        request.previous_index = commit;
        request.previous_term = self.log.term_at(commit).unwrap_or_default();
        true
    }

    /// Appends entries that follow a matching one. From the first conflicting entry on, the leader's entries
    /// replace those of this replica.
    fn store(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            let present = self.log.term_at(entry.index);
            if present == Some(entry.term) {
                continue;
            }
            if present.is_some() {
                self.log.truncate_from(entry.index);
                self.memberships.truncate_from(entry.index);
            }
            if let EntryPayload::Membership(membership) = &entry.payload {
                self.memberships.push(entry.index, membership.clone());
            }
            self.log.push(entry);
        }
    }

    pub(crate) fn acknowledge_append(&mut self, to: ReplicaId, last_index: LogIndex, round: u64) {
        let response = AppendResponse {
            accepted: true,
            last_index,
            round,
        };
        self.send(to, self.term, PeerBody::AppendResponse(response));
    }

    pub(crate) fn reject_append(&mut self, to: ReplicaId, hint: LogIndex, round: u64) {
        let response = AppendResponse {
            accepted: false,
            last_index: hint,
            round,
        };
        self.send(to, self.term, PeerBody::AppendResponse(response));
    }
}

/// Returns whether the entries follow `previous_index` without a gap, with terms that do not decrease and do
/// not exceed the leader's term.
fn is_well_formed(request: &AppendRequest, leader_term: Term) -> bool {
    let mut index = request.previous_index.0;
    let mut term = request.previous_term;
    if index.checked_add(request.entries.len() as u64).is_none() {
        return false;
    }
    for entry in &request.entries {
        index += 1;
        if entry.index.0 != index || entry.term < term {
            return false;
        }
        term = entry.term;
    }
    term <= leader_term
}
