//! Leader state: proposals, lease, linearizable reads and check-quorum.
//!
//! Invariant: an entry is committed once a majority has stored it durably and it, or a later such entry, is
//! of the leader's own term. The lease is counted from the send time of a round that a majority answered.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use grebepin_schema::{Bytes, EntryPayload, LogIndex, Membership, ReplicaId, Term};

use crate::config::Guard;
use crate::core::{Consensus, State};
use crate::error::{MembershipError, ProposeError};
use crate::limits::{
    MAX_COMMAND_BYTES, MAX_PENDING_READS, MAX_UNCOMMITTED_BYTES, MAX_UNCOMMITTED_ENTRIES,
    RETAINED_BYTES, RETAINED_DURING_TRANSFER, RETAINED_DURING_TRANSFER_BYTES, RETAINED_ENTRIES,
    SMALL_COMMANDS_RESERVE_BYTES, SMALL_COMMAND_BYTES,
};
use crate::membership::{check_change, is_member};
use crate::progress::{PendingRemoval, Progress, SendState};
use crate::quorum::reached_by_majority;
use crate::ready::ReadId;
use crate::rounds::Rounds;

/// Maximum time for which a leader notifies a removed member of its removal, in election timeouts.
const REMOVAL_NOTICE_TIMEOUTS: u32 = 10;

/// State that a leader keeps for its term.
#[derive(Debug)]
pub(crate) struct Leadership {
    pub since: Duration,
    /// Index of the first entry of this term.
    pub first_index: LogIndex,
    pub rounds: Rounds,
    pub next_heartbeat: Duration,
    /// Earliest time at which a deferred message to a learner is due; `None` if there is none.
    pub deferred_until: Option<Duration>,
    /// Whether a round starts at the next flush.
    pub round_requested: bool,
    pub progress: BTreeMap<ReplicaId, Progress>,
    reads: VecDeque<PendingRead>,
}

/// A read that waits until a majority has answered a round that started after the request.
#[derive(Debug)]
struct PendingRead {
    id: ReadId,
    index: LogIndex,
    round: u64,
}

impl Consensus {
    pub(crate) fn become_leader(&mut self) {
        let first_index = LogIndex(self.log.last_index().0 + 1);
        self.leader = Some(self.config.id);
        self.state = State::Leader(Box::new(Leadership {
            since: self.now,
            first_index,
            rounds: Rounds::default(),
            next_heartbeat: self.now,
            deferred_until: None,
            round_requested: true,
            progress: BTreeMap::new(),
            reads: VecDeque::new(),
        }));
        self.update_progress_members();
        self.log.append(self.term, EntryPayload::Noop);
    }

    /// Adds progress for new members and marks removed members, which are notified of their removal.
    fn update_progress_members(&mut self) {
        let State::Leader(leadership) = &mut self.state else {
            return;
        };
        let membership = self.memberships.current();
        let removal = PendingRemoval {
            index: self.memberships.current_index(),
            until: self.now + self.config.election_timeout * REMOVAL_NOTICE_TIMEOUTS,
        };
        for (replica, progress) in &mut leadership.progress {
            if !is_member(membership, *replica) {
                progress.removal.get_or_insert(removal);
            }
        }
        let others = membership.members.iter().map(|member| member.replica);
        for replica in others.filter(|replica| *replica != self.config.id) {
            let progress = leadership.progress.entry(replica);
            let progress = progress.or_insert_with(|| Progress::new(self.log.last_index()));
            progress.removal = None;
        }
    }

    /// Requests a round when a heartbeat is due, and steps down when no majority has responded within an
    /// election timeout.
    pub(crate) fn tick_leader(&mut self) {
        if self
            .check_quorum_deadline()
            .is_none_or(|until| self.now >= until)
        {
            self.become_follower(self.term, None);
            return;
        }
        let now = self.now;
        if let State::Leader(leadership) = &mut self.state {
            if now >= leadership.next_heartbeat {
                leadership.round_requested = true;
            }
        }
    }

    /// Returns the time at which the leader steps down unless a majority responds again.
    pub(crate) fn check_quorum_deadline(&self) -> Option<Duration> {
        let last_contact = self.majority_value(self.now, |leadership, progress| {
            progress.last_response_at.unwrap_or(leadership.since)
        })?;
        Some(last_contact + self.config.election_timeout)
    }

    /// Returns the highest value that a majority has reached, given the leader's own value and a function for
    /// the value of each other member.
    fn majority_value<T: Ord + Copy>(
        &self,
        own: T,
        of: impl Fn(&Leadership, &Progress) -> T,
    ) -> Option<T> {
        let State::Leader(leadership) = &self.state else {
            return None;
        };
        let mut values = Vec::new();
        for replica in self.quorum_members() {
            if replica == self.config.id {
                values.push(own);
            } else if let Some(progress) = leadership.progress.get(&replica) {
                values.push(of(leadership, progress));
            }
        }
        reached_by_majority(values)
    }

    fn majority_round(&self) -> Option<u64> {
        let State::Leader(leadership) = &self.state else {
            return None;
        };
        let current = leadership.rounds.current();
        self.majority_value(current, |_, progress| progress.acknowledged_round)
    }

    /// Returns the end of this leader's lease, which may be in the past; `None` if this replica is not the
    /// leader.
    pub fn leader_lease_until(&self) -> Option<Duration> {
        let State::Leader(leadership) = &self.state else {
            return None;
        };
        if !self.config.guards.has(Guard::LeaderLease) {
            const UNLIMITED: Duration = Duration::from_secs(365 * 24 * 3600);
            return Some(self.now + UNLIMITED);
        }
        let round = self.majority_round()?;
        let sent = leadership.rounds.sent_at(round);
        Some(sent.map_or(leadership.since, |sent| sent + self.config.leader_lease()))
    }

    /// Confirms reads and discards send times of rounds that are no longer needed, after a response to a
    /// round.
    pub(crate) fn on_round_response(&mut self) {
        let Some(round) = self.majority_round() else {
            return;
        };
        if let State::Leader(leadership) = &mut self.state {
            leadership.rounds.remove_before(round);
        }
        self.confirm_reads();
    }

    fn confirm_reads(&mut self) {
        let Some(round) = self.majority_round() else {
            return;
        };
        let State::Leader(leadership) = &mut self.state else {
            return;
        };
        if self.log.commit() < leadership.first_index {
            return;
        }
        while leadership
            .reads
            .front()
            .is_some_and(|read| read.round <= round)
        {
            if let Some(read) = leadership.reads.pop_front() {
                self.confirmed_reads.push((read.id, read.index));
            }
        }
    }

    /// Commits the entries that a majority has stored, if the last of them is of this leader's term.
    pub(crate) fn advance_commit(&mut self) {
        let own = self.log.durable();
        let Some(stored) = self.majority_value(own, |_, progress| progress.matched) else {
            return;
        };
        if self.log.term_at(stored) == Some(self.term) && self.log.commit_to(stored) {
            self.confirm_reads();
        }
    }

    /// Returns whether this replica is the leader and its own removal is committed, so that it must step
    /// down.
    pub(crate) fn is_removed_leader(&self) -> bool {
        matches!(self.state, State::Leader(_))
            && !self.is_quorum_member()
            && self.memberships.current_index() <= self.log.commit()
    }

    /// Appends a command to the leader's log and returns its term and index. The command is committed once
    /// [`Consensus::ready`] returns an entry of this index and term as committed.
    ///
    /// # Errors
    /// Returns a [`ProposeError`] if the proposal is refused; the log is unchanged then.
    pub fn propose(
        &mut self,
        now: Duration,
        command: Vec<u8>,
    ) -> Result<(Term, LogIndex), ProposeError> {
        self.advance_clock(now);
        self.check_may_append()?;
        if command.len() > MAX_COMMAND_BYTES {
            return Err(ProposeError::CommandTooLarge {
                bytes: command.len(),
                limit: MAX_COMMAND_BYTES,
            });
        }
        self.check_uncommitted_bytes(command.len())?;
        let payload = EntryPayload::Command(Bytes(command));
        Ok((self.term, self.log.append(self.term, payload)))
    }

    fn check_may_append(&self) -> Result<(), ProposeError> {
        self.leadership()?;
        let waiting = (self.log.last_index().0 - self.log.commit().0) as usize;
        if waiting >= MAX_UNCOMMITTED_ENTRIES {
            return Err(ProposeError::Overloaded { waiting });
        }
        Ok(())
    }

    /// Checks that a command of `bytes` may wait in memory together with the uncommitted entries.
    fn check_uncommitted_bytes(&self, bytes: usize) -> Result<(), ProposeError> {
        let limit = match bytes <= SMALL_COMMAND_BYTES {
            true => MAX_UNCOMMITTED_BYTES + SMALL_COMMANDS_RESERVE_BYTES,
            false => MAX_UNCOMMITTED_BYTES,
        };
        if self.log.uncommitted_bytes().saturating_add(bytes) > limit {
            let waiting = (self.log.last_index().0 - self.log.commit().0) as usize;
            return Err(ProposeError::Overloaded { waiting });
        }
        Ok(())
    }

    fn leadership(&self) -> Result<&Leadership, ProposeError> {
        match &self.state {
            State::Leader(leadership) => Ok(leadership),
            _ => Err(ProposeError::NotLeader {
                leader: self.leader,
            }),
        }
    }

    /// Appends a new membership, which must differ from the current one by one member. A new member joins as
    /// a learner or observer; only a learner that has caught up can become a voter.
    ///
    /// # Errors
    /// Returns a [`ProposeError`] if the proposal is refused; the log is unchanged then.
    pub fn propose_membership(
        &mut self,
        now: Duration,
        membership: Membership,
    ) -> Result<(Term, LogIndex), ProposeError> {
        self.advance_clock(now);
        self.check_may_append()?;
        let commit = self.log.commit();
        if commit < self.leadership()?.first_index || self.memberships.current_index() > commit {
            return Err(ProposeError::MembershipBusy);
        }
        if let Some(replica) = check_change(self.memberships.current(), &membership)? {
            if !self.learner_is_caught_up(replica) {
                return Err(MembershipError::LearnerBehind { replica }.into());
            }
        }
        let payload = EntryPayload::Membership(membership.clone());
        let index = self.log.append(self.term, payload);
        self.memberships.push(index, membership);
        self.update_progress_members();
        Ok((self.term, index))
    }

    /// Requests a linearizable read. [`Consensus::ready`] returns it once a majority has confirmed, in a
    /// round that started after this call, that this replica is still the leader.
    ///
    /// # Errors
    /// Returns [`ProposeError::NotLeader`] or [`ProposeError::Overloaded`].
    pub fn request_read(&mut self, now: Duration) -> Result<ReadId, ProposeError> {
        self.advance_clock(now);
        let waiting = self.leadership()?.reads.len();
        if waiting >= MAX_PENDING_READS {
            return Err(ProposeError::Overloaded { waiting });
        }
        let commit = self.log.commit();
        self.last_read += 1;
        let id = ReadId(self.last_read);
        if let State::Leader(leadership) = &mut self.state {
            leadership.round_requested = true;
            leadership.reads.push_back(PendingRead {
                id,
                index: commit.max(leadership.first_index),
                round: leadership.rounds.current() + 1,
            });
        }
        Ok(id)
    }

    /// Returns the index up to which the log may be discarded after a snapshot at `index`. Entries are
    /// retained for followers slightly behind and for those that are receiving an earlier snapshot.
    pub(crate) fn compaction_limit(&self, index: LogIndex) -> LogIndex {
        let State::Leader(leadership) = &self.state else {
            return index;
        };
        let lowest = |entries: u64, bytes: usize| {
            let by_bytes = self.log.index_before_bytes(index, bytes);
            LogIndex(index.0.saturating_sub(entries)).max(by_bytes)
        };
        let retained = lowest(RETAINED_ENTRIES, RETAINED_BYTES);
        let retained_during_transfer =
            lowest(RETAINED_DURING_TRANSFER, RETAINED_DURING_TRANSFER_BYTES);
        let needed = leadership.progress.values().filter_map(|progress| {
            let lowest = match progress.send_state {
                SendState::Snapshot(_) => retained_during_transfer,
                _ => retained,
            };
            let after = progress.needs_after();
            (after >= lowest).then_some(after)
        });
        needed.min().unwrap_or(index).min(index)
    }
}
