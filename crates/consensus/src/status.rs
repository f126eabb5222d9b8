//! Status of a replica, as read by its caller.

use std::time::Duration;

use grebepin_schema::{Entry, LogIndex, Membership, ReplicaId, Term};

use crate::core::{Consensus, State};
use crate::limits::MAX_CAUGHT_UP_LAG;
use crate::progress::SendState;
use crate::ready::Role;

impl Consensus {
    /// Returns the latest time at which [`Consensus::tick`] must be called next. It is not in the future while
    /// committed entries are left that [`Consensus::ready`] has not returned.
    pub fn next_wake(&self) -> Duration {
        if self.log.delivered() < self.log.commit() {
            return self.now;
        }
        match &self.state {
            State::Leader(leadership) => {
                let quorum = self.check_quorum_deadline().unwrap_or(self.now);
                let deferred = leadership.deferred_until.unwrap_or(quorum);
                leadership.next_heartbeat.min(quorum).min(deferred)
            }
            _ => self.election_deadline,
        }
    }

    /// Returns the current role of this replica.
    pub fn role(&self) -> Role {
        match &self.state {
            State::Leader(_) => Role::Leader,
            _ if !self.may_lead() => Role::Learner,
            State::Follower => Role::Follower,
            State::PreCandidate(_) => Role::PreCandidate,
            State::Candidate(_) => Role::Candidate,
        }
    }

    /// Returns the leader of the current term, if known.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Returns the time of the last message in which a leader stated its commit index, and the highest index
    /// that was stated. `None` until the leader of the current term is known to have committed an entry of its
    /// term: before that, it does not know which entries of its log earlier leaders committed.
    pub fn leader_commit(&self) -> Option<(Duration, LogIndex)> {
        let at = self.leader_commit_at?;
        let committed = self.leader_commit.max(self.log.commit());
        let is_missing = committed > self.log.last_index();
        let is_of_this_term = self.log.term_at(committed) == Some(self.term);
        (is_missing || is_of_this_term).then_some((at, committed))
    }

    /// Iterates over the entries after an index, committed or not; empty if the log no longer contains the
    /// first of them.
    pub fn entries_after(&self, index: LogIndex) -> impl Iterator<Item = &Entry> {
        self.log.entries_from(LogIndex(index.0 + 1))
    }

    /// Returns the size of the log after its start, in bytes, as estimated by [`crate::entry_size`].
    pub fn log_bytes(&self) -> usize {
        self.log.bytes()
    }

    /// Returns the current term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Returns the highest index known to be committed.
    pub fn commit(&self) -> LogIndex {
        self.log.commit()
    }

    /// Returns the index of the last entry in the log, whether it is synced and committed or not.
    pub fn last_index(&self) -> LogIndex {
        self.log.last_index()
    }

    /// Returns the effective membership, which is the last one in the log, committed or not.
    pub fn membership(&self) -> &Membership {
        self.memberships.current()
    }

    /// Returns the time at which this replica became leader; `None` if it is not the leader.
    pub fn leader_since(&self) -> Option<Duration> {
        match &self.state {
            State::Leader(leadership) => Some(leadership.since),
            _ => None,
        }
    }

    /// Returns whether this replica is the leader and has committed an entry of its term. From then on, every
    /// entry that an earlier leader acknowledged is known to be committed here.
    pub fn has_committed_in_term(&self) -> bool {
        match &self.state {
            State::Leader(leadership) => self.log.commit() >= leadership.first_index,
            _ => false,
        }
    }

    /// Returns, on the leader, the highest index known to be durable on each member and the time of the
    /// member's last response (`None` if there was none in this term). The list includes the leader itself;
    /// it is empty on other replicas.
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
            Some((member.replica, progress.matched, progress.last_response_at))
        });
        known.collect()
    }

    /// Returns, on the leader, whether a learner may become a voter: it responded within an election timeout
    /// and has every committed entry, except for a bounded number of entries in flight. False on other
    /// replicas.
    pub fn learner_is_caught_up(&self, replica: ReplicaId) -> bool {
        let State::Leader(leadership) = &self.state else {
            return false;
        };
        let Some(progress) = leadership.progress.get(&replica) else {
            return false;
        };
        let recent = progress
            .last_response_at
            .is_some_and(|at| self.now < at + self.config.election_timeout);
        let allowed_lag = match progress.send_state {
            SendState::Replicate { .. } => MAX_CAUGHT_UP_LAG,
            SendState::Probe { .. } | SendState::Snapshot(_) => 0,
        };
        recent && progress.matched.0 + allowed_lag >= self.log.commit().0
    }
}
