//! Members that come and go: learners join, are promoted when caught up, and replace the member whose
//! address they took over.
//!
//! Invariant: one change at a time, each committed before the next; a voter is removed only while the
//! voters heard from are a majority without it, and by itself only when it is silent.

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

/// Most members of one group, voters and learners.
const MAXIMUM_MEMBERS: usize = 15;

impl<D: Disk> ControlNode<D> {
    pub(super) fn take_in_join(&mut self, now: Duration, request: JoinRequest) {
        let address = request.member.peer_address.clone();
        if let Some(response) = self.join(now, request) {
            self.send_frame(address, PeerFrame::JoinResponse(response));
        }
    }

    /// Answer to a join request; none while no leader is known.
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
            if self.consensus.membership().members.len() >= MAXIMUM_MEMBERS {
                let text = format!("the group has {MAXIMUM_MEMBERS} members already");
                return Some(JoinResponse::Refused(text));
            }
            self.admit(now, request.member);
        }
        Some(JoinResponse::Joining)
    }

    /// Adds a learner.
    fn admit(&mut self, now: Duration, member: Member) {
        let next = members::admission_step(self.consensus.membership(), member);
        // A refused change is made again when the replica asks again.
        let _ = self.consensus.propose_membership(now, next);
    }

    /// Moves one learner on: first the voter at its address goes, then the learner becomes a voter.
    pub(super) fn keep_members(&mut self, now: Duration) {
        if self.leadership.is_none() {
            return;
        }
        let Some(next) = self.next_membership(now) else {
            return;
        };
        // A refused change is made again at the next look.
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

    /// Whether the voters heard from lately are a majority of those that remain.
    fn keeps_quorum_without(&self, now: Duration, removed: ReplicaId) -> bool {
        let alive = self.alive_members(now);
        let is_heard = |replica: ReplicaId| alive.contains(&replica);
        members::keeps_quorum_without(self.consensus.membership(), removed, is_heard)
    }

    pub(super) fn remove_member(
        &mut self,
        now: Duration,
        reply: ReplyId,
        request: RemoveMemberRequest,
    ) {
        let replica = request.replica;
        if self.leadership.is_none() {
            let error = self.no_leadership();
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
                let error = self.refusal(error);
                self.reply(reply, Err(error));
            }
        }
    }

    pub(super) fn answer_membership(&mut self, waiter: EntryWaiter, index: LogIndex) {
        let answer = AdminAnswer::Removed(RemoveMemberAnswer { index });
        self.reply(waiter.reply(), Ok(answer));
    }
}
