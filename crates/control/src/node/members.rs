//! Membership changes: learners join, are promoted to voters once caught up, and replace a failed voter at
//! the same peer address.
//!
//! Invariant: one change at a time, each committed before the next. A voter is removed only while the
//! remaining voters that are alive form a majority, and is replaced automatically only when it has failed.

use std::time::Duration;

use grebepin_replica::members;
use grebepin_schema::{
    ApiErrorKind, JoinRequest, JoinResponse, LogIndex, Member, MemberRole, Membership, PeerFrame,
    RemoveMemberAnswer, RemoveMemberRequest, ReplicaId,
};
use grebepin_storage::Disk;

use super::input::ReplyId;
use super::leadership::api_error;
use super::output::AdminAnswer;
use super::waiting::EntryWaiter;
use super::ControlNode;

/// Maximum number of members of a group, voters and learners together.
const MAX_MEMBERS: usize = 15;

impl<D: Disk> ControlNode<D> {
    pub(super) fn handle_join(&mut self, now: Duration, request: JoinRequest) {
        let address = request.member.peer_address.clone();
        if let Some(response) = self.join(now, request) {
            self.send_frame(address, PeerFrame::JoinResponse(response));
        }
    }

    /// Answer to a join request; none while no leader is known, so that the replica retries.
    fn join(&mut self, now: Duration, request: JoinRequest) -> Option<JoinResponse> {
        if request.group != self.config.group {
            let text = format!("this is group {}", self.config.group);
            return Some(JoinResponse::Refused(text));
        }
        if !self.is_founded() {
            return Some(JoinResponse::NotFounded);
        }
        if self.leadership.is_none() {
            let leader = self.leader_member()?;
            let address = leader.peer_address.clone();
            return Some(JoinResponse::TryLeader(address));
        }
        if request.member.peer_address == self.config.peer_address {
            let text = "the peer address is the leader's own".to_owned();
            return Some(JoinResponse::Refused(text));
        }
        if self.member(request.member.replica).is_none() {
            if self.consensus.membership().members.len() >= MAX_MEMBERS {
                let text = format!("the group has {MAX_MEMBERS} members already");
                return Some(JoinResponse::Refused(text));
            }
            self.add_learner(now, request.member);
        }
        Some(JoinResponse::Joining)
    }

    fn add_learner(&mut self, now: Duration, member: Member) {
        let next = members::admission_step(self.consensus.membership(), member);
        // A rejected change is proposed again with the replica's next join request.
        let _ = self.consensus.propose_membership(now, next);
    }

    /// Proposes the next change for a learner that has caught up: first the failed voter at its address is
    /// removed, then the learner is promoted.
    pub(super) fn update_membership(&mut self, now: Duration) {
        if self.leadership.is_none() {
            return;
        }
        let Some(next) = self.next_membership(now) else {
            return;
        };
        // A rejected change is proposed again on the next call.
        let _ = self.consensus.propose_membership(now, next);
    }

    fn next_membership(&self, now: Duration) -> Option<Membership> {
        let membership = self.consensus.membership();
        let learner = members::caught_up_learner(&self.consensus)?;
        if let Some(replaced) = members::voter_at(membership, &learner.peer_address) {
            let is_lost = !self.alive_members(now).contains(&replaced);
            let allowed = is_lost && self.keeps_quorum_without(now, replaced);
            return allowed.then(|| members::without_member(membership, replaced));
        }
        Some(members::with_voter(membership, learner.replica))
    }

    /// Whether the alive voters form a majority of the voters that remain without `removed`.
    fn keeps_quorum_without(&self, now: Duration, removed: ReplicaId) -> bool {
        let alive = self.alive_members(now);
        let is_alive = |replica: ReplicaId| alive.contains(&replica);
        members::keeps_quorum_without(self.consensus.membership(), removed, is_alive)
    }

    pub(super) fn remove_member(
        &mut self,
        now: Duration,
        reply: ReplyId,
        request: RemoveMemberRequest,
    ) {
        let replica = request.replica;
        if self.leadership.is_none() {
            let error = self.no_leadership_error();
            return self.reply(reply, Err(error));
        }
        let Some(member) = self.member(replica) else {
            let message = format!("replica {replica} is no member; see `grebepin status`");
            let error = api_error(ApiErrorKind::UnknownMember, message);
            return self.reply(reply, Err(error));
        };
        if member.role == MemberRole::Voter && !self.keeps_quorum_without(now, replica) {
            let message = "too few of the other voters are heard from; bring one back first";
            let error = api_error(ApiErrorKind::MembershipBusy, message.to_owned());
            return self.reply(reply, Err(error));
        }
        let next = members::without_member(self.consensus.membership(), replica);
        match self.consensus.propose_membership(now, next) {
            Ok((term, index)) => {
                let waiter = EntryWaiter::RemoveMember(reply);
                self.waiting.add_entry(term, index, waiter);
            }
            Err(error) => {
                let error = self.propose_error(error);
                self.reply(reply, Err(error));
            }
        }
    }

    pub(super) fn answer_membership(&mut self, waiter: EntryWaiter, index: LogIndex) {
        let answer = AdminAnswer::Removed(RemoveMemberAnswer { index });
        self.reply(waiter.reply(), Ok(answer));
    }
}
