//! A leader: its proposals, its lease, its reads, and when it stops leading.
//!
//! Invariant: an entry is committed once a majority holds it durably and it, or a later one, is of
//! the leader's own term. The lease counts from the send time of a round that a majority answered.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use grebepin_schema::{Bytes, EntryPayload, LogIndex, Membership, ReplicaId, Term};

use crate::config::Guard;
use crate::core::{Consensus, State};
use crate::error::{MembershipError, ProposeError};
use crate::limits::{
    MAXIMUM_COMMAND_BYTES, RETAINED_DURING_TRANSFER, RETAINED_ENTRIES, UNCOMMITTED_ENTRIES,
    WAITING_READS,
};
use crate::membership::{check_change, is_member};
use crate::progress::{Leaving, Progress, Sending};
use crate::quorum::reached_by_majority;
use crate::ready::ReadId;
use crate::rounds::Rounds;

/// Election timeouts for which a leader tells a removed member of its removal, at most.
const TELL_REMOVED_FOR: u32 = 10;

/// What a leader keeps for its term.
#[derive(Debug)]
pub(crate) struct Leadership {
    pub since: Duration,
    /// Index of the first entry of this term.
    pub first_index: LogIndex,
    pub rounds: Rounds,
    pub next_heartbeat: Duration,
    /// When news that wait for a learner's pause are sent.
    pub news_wait_until: Option<Duration>,
    /// Whether a round must begin at the next flush.
    pub round_wanted: bool,
    pub progress: BTreeMap<ReplicaId, Progress>,
    reads: VecDeque<WaitingRead>,
}

/// A read that waits until a majority answered a round sent after it was asked.
#[derive(Debug)]
struct WaitingRead {
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
            news_wait_until: None,
            round_wanted: true,
            progress: BTreeMap::new(),
            reads: VecDeque::new(),
        }));
        self.match_progress_to_members();
        self.log.append(self.term, EntryPayload::Noop);
    }

    /// Follows the members of the last membership, and those it removed until they know it.
    fn match_progress_to_members(&mut self) {
        let State::Leader(leadership) = &mut self.state else {
            return;
        };
        let membership = self.memberships.current();
        let leaving = Leaving {
            index: self.memberships.current_index(),
            until: self.now + self.config.election_timeout * TELL_REMOVED_FOR,
        };
        for (replica, progress) in &mut leadership.progress {
            if !is_member(membership, *replica) {
                progress.leaving.get_or_insert(leaving);
            }
        }
        let others = membership.members.iter().map(|member| member.replica);
        for replica in others.filter(|replica| *replica != self.config.id) {
            let progress = leadership.progress.entry(replica);
            let progress = progress.or_insert_with(|| Progress::new(self.log.last_index()));
            progress.leaving = None;
        }
    }

    /// Begins a round when one is due, and steps down when no majority was heard for an election timeout.
    pub(crate) fn tick_leader(&mut self) {
        if self
            .quorum_heard_until()
            .is_none_or(|until| self.now >= until)
        {
            self.become_follower(self.term, None);
            return;
        }
        let now = self.now;
        if let State::Leader(leadership) = &mut self.state {
            if now >= leadership.next_heartbeat {
                leadership.round_wanted = true;
            }
        }
    }

    /// When the leader must step down unless a majority is heard again.
    pub(crate) fn quorum_heard_until(&self) -> Option<Duration> {
        let heard = self.majority_of(self.now, |leadership, progress| {
            progress.last_heard.unwrap_or(leadership.since)
        })?;
        Some(heard + self.config.election_timeout)
    }

    /// The highest value that a majority reached, with the leader's own value and that of each other member.
    fn majority_of<T: Ord + Copy>(
        &self,
        own: T,
        of: impl Fn(&Leadership, &Progress) -> T,
    ) -> Option<T> {
        let State::Leader(leadership) = &self.state else {
            return None;
        };
        let mut values = Vec::new();
        for replica in self.counted_members() {
            if replica == self.config.id {
                values.push(own);
            } else if let Some(progress) = leadership.progress.get(&replica) {
                values.push(of(leadership, progress));
            }
        }
        reached_by_majority(values)
    }

    fn round_of_majority(&self) -> Option<u64> {
        let State::Leader(leadership) = &self.state else {
            return None;
        };
        let current = leadership.rounds.current();
        self.majority_of(current, |_, progress| progress.answered_round)
    }

    /// Until when this leader's lease runs, which may be in the past; `None` when it does not lead.
    pub fn leader_lease_until(&self) -> Option<Duration> {
        let State::Leader(leadership) = &self.state else {
            return None;
        };
        if !self.config.guards.has(Guard::LeaderLease) {
            const WITHOUT_END: Duration = Duration::from_secs(365 * 24 * 3600);
            return Some(self.now + WITHOUT_END);
        }
        let round = self.round_of_majority()?;
        let sent = leadership.rounds.sent_at(round);
        Some(sent.map_or(leadership.since, |sent| sent + self.config.leader_lease()))
    }

    /// Uses a member's answer to a round: reads that it confirms, and rounds nobody needs any more.
    pub(crate) fn on_round_answered(&mut self) {
        let Some(round) = self.round_of_majority() else {
            return;
        };
        if let State::Leader(leadership) = &mut self.state {
            leadership.rounds.forget_before(round);
        }
        self.confirm_reads();
    }

    fn confirm_reads(&mut self) {
        let Some(round) = self.round_of_majority() else {
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

    /// Commits what a majority holds.
    pub(crate) fn advance_commit(&mut self) {
        let own = self.log.durable();
        let Some(held) = self.majority_of(own, |_, progress| progress.matched) else {
            return;
        };
        if self.log.term_at(held) == Some(self.term) && self.log.commit_to(held) {
            self.confirm_reads();
        }
    }

    /// Whether this leader's removal is committed, so that it must stop leading.
    pub(crate) fn is_removed_leader(&self) -> bool {
        matches!(self.state, State::Leader(_))
            && !self.is_counted()
            && self.memberships.current_index() <= self.log.commit()
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
        self.advance(now);
        self.check_may_append()?;
        if command.len() > MAXIMUM_COMMAND_BYTES {
            return Err(ProposeError::CommandTooLarge {
                bytes: command.len(),
                limit: MAXIMUM_COMMAND_BYTES,
            });
        }
        let payload = EntryPayload::Command(Bytes(command));
        Ok((self.term, self.log.append(self.term, payload)))
    }

    fn check_may_append(&self) -> Result<(), ProposeError> {
        self.leadership()?;
        let waiting = (self.log.last_index().0 - self.log.commit().0) as usize;
        if waiting >= UNCOMMITTED_ENTRIES {
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

    /// Appends a new membership, which must differ from the one in force by one member. A new
    /// member comes in as a learner and becomes a voter once it has caught up.
    ///
    /// # Errors
    /// [`ProposeError`]; nothing was written then.
    pub fn propose_membership(
        &mut self,
        now: Duration,
        membership: Membership,
    ) -> Result<(Term, LogIndex), ProposeError> {
        self.advance(now);
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
        self.match_progress_to_members();
        Ok((self.term, index))
    }

    /// Asks for a linearizable read: it comes out of [`Consensus::ready`] once a majority confirmed,
    /// in a round sent after this call, that this replica still leads.
    ///
    /// # Errors
    /// [`ProposeError::NotLeader`] or [`ProposeError::Overloaded`].
    pub fn request_read(&mut self, now: Duration) -> Result<ReadId, ProposeError> {
        self.advance(now);
        let waiting = self.leadership()?.reads.len();
        if waiting >= WAITING_READS {
            return Err(ProposeError::Overloaded { waiting });
        }
        let commit = self.log.commit();
        self.last_read += 1;
        let id = ReadId(self.last_read);
        if let State::Leader(leadership) = &mut self.state {
            leadership.round_wanted = true;
            leadership.reads.push_back(WaitingRead {
                id,
                index: commit.max(leadership.first_index),
                round: leadership.rounds.current() + 1,
            });
        }
        Ok(id)
    }

    /// Up to where a snapshot at `index` lets the log go: followers slightly behind, and those that
    /// receive an earlier snapshot now, still need what comes after theirs.
    pub(crate) fn slowest_needed(&self, index: LogIndex) -> LogIndex {
        let State::Leader(leadership) = &self.state else {
            return index;
        };
        let needed = leadership.progress.values().filter_map(|progress| {
            let kept = match progress.sending {
                Sending::Snapshot(_) => RETAINED_DURING_TRANSFER,
                _ => RETAINED_ENTRIES,
            };
            let after = progress.needs_after();
            (after.0.saturating_add(kept) >= index.0).then_some(after)
        });
        needed.min().unwrap_or(index).min(index)
    }
}
