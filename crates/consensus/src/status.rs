//! What a replica tells of itself.

use std::time::Duration;

use grebepin_schema::{LogIndex, Membership, ReplicaId, Term};

use crate::core::{Consensus, State};
use crate::limits::CAUGHT_UP_WITHIN_ENTRIES;
use crate::progress::Sending;
use crate::ready::Role;

impl Consensus {
    /// When [`Consensus::tick`] must be called next, at the latest.
    pub fn next_wake(&self) -> Duration {
        match &self.state {
            State::Leader(leadership) => {
                let quorum = self.quorum_heard_until().unwrap_or(self.now);
                let news = leadership.news_wait_until.unwrap_or(quorum);
                leadership.next_heartbeat.min(quorum).min(news)
            }
            _ => self.election_deadline,
        }
    }

    /// What this replica is now.
    pub fn role(&self) -> Role {
        match &self.state {
            State::Leader(_) => Role::Leader,
            _ if !self.may_lead() => Role::Learner,
            State::Follower => Role::Follower,
            State::PreCandidate(_) => Role::PreCandidate,
            State::Candidate(_) => Role::Candidate,
        }
    }

    /// The leader of the present term, where known.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// When a leader was last heard, and the highest commit index that any told; `None` before the first word.
    pub fn leader_contact(&self) -> Option<(Duration, LogIndex)> {
        let at = self.last_leader_contact?;
        Some((at, self.leader_commit))
    }

    /// The present term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Highest index known to be committed.
    pub fn commit(&self) -> LogIndex {
        self.log.commit()
    }

    /// Index of the last entry in the log.
    pub fn last_index(&self) -> LogIndex {
        self.log.last_index()
    }

    /// The membership in force: the last one in the log, committed or not.
    pub fn membership(&self) -> &Membership {
        self.memberships.current()
    }

    /// When this replica became leader; `None` when it does not lead.
    pub fn leader_since(&self) -> Option<Duration> {
        match &self.state {
            State::Leader(leadership) => Some(leadership.since),
            _ => None,
        }
    }

    /// Whether this replica leads and an entry of its own term is committed, so that everything
    /// acknowledged by earlier leaders is known to be committed here.
    pub fn has_committed_in_term(&self) -> bool {
        match &self.state {
            State::Leader(leadership) => self.log.commit() >= leadership.first_index,
            _ => false,
        }
    }

    /// For a leader: for each member, itself included, the highest index known to be durable there
    /// and when it was last heard from (`None` for a member never heard from in this term).
    pub fn member_progress(&self) -> Vec<(ReplicaId, LogIndex, Option<Duration>)> {
        let State::Leader(leadership) = &self.state else {
            return Vec::new();
        };
        let members = &self.memberships.current().members;
        let known = members.iter().filter_map(|member| {
            if member.replica == self.config.id {
                return Some((member.replica, self.log.durable(), Some(self.now)));
            }
            let progress = leadership.progress.get(&member.replica)?;
            Some((member.replica, progress.matched, progress.last_heard))
        });
        known.collect()
    }

    /// For a leader: whether a learner holds everything committed but for some entries that are on their way, and
    /// was heard from within an election timeout, so that it may become a voter.
    pub fn learner_is_caught_up(&self, replica: ReplicaId) -> bool {
        let State::Leader(leadership) = &self.state else {
            return false;
        };
        let Some(progress) = leadership.progress.get(&replica) else {
            return false;
        };
        let recent = progress
            .last_heard
            .is_some_and(|heard| self.now < heard + self.config.election_timeout);
        let on_their_way = match progress.sending {
            Sending::Replicate { .. } => CAUGHT_UP_WITHIN_ENTRIES,
            Sending::Probe { .. } | Sending::Snapshot(_) => 0,
        };
        recent && progress.matched.0 + on_their_way >= self.log.commit().0
    }
}
