//! Who belongs to the group: joining, and the replacement of voters that are gone.
//!
//! Invariant: one member changes at a time; a voter leaves only while the others that are heard from
//! are a majority of those that stay.

use std::time::Duration;

use grebepin_replica::members;
use grebepin_schema::{
    JoinRequest, JoinResponse, Member, MemberRole, Membership, PeerFrame, ReplicaId, SocketAddress,
};
use grebepin_storage::Disk;

use super::config::{socket_address, GROUP};
use super::messages::NodeOutput;
use super::Node;

/// Voters of a whole group; further replicas stay learners until one is needed.
const WANTED_VOTERS: usize = 3;

/// Most members, voters and learners.
const MAXIMUM_MEMBERS: usize = 15;

/// Silence after which a learner is taken off the list.
const LEARNER_FORGOTTEN_AFTER: Duration = Duration::from_secs(20);

/// Where and when to ask to be taken in.
#[derive(Debug)]
pub(super) struct Joining {
    pub(super) next_at: Duration,
    next_seed: usize,
    hint: Option<SocketAddress>,
    /// When this replica last knew a leader.
    leader_seen: Duration,
}

impl Joining {
    pub(super) fn new(next_at: Duration) -> Self {
        Self {
            next_at,
            next_seed: 0,
            hint: None,
            leader_seen: Duration::ZERO,
        }
    }
}

impl<D: Disk> Node<D> {
    /// Internal addresses of all replicas known.
    pub fn replica_addresses(&self) -> Vec<String> {
        let members = self.consensus.membership().members.iter();
        members
            .map(|member| member.peer_address.to_string())
            .collect()
    }

    /// Whether this replica is a voter of the group.
    pub fn votes(&self) -> bool {
        let mut voters = members::voters(self.consensus.membership());
        voters.any(|member| member.replica == self.replica)
    }

    /// Asks to be taken in while no leader speaks to this replica.
    pub(super) fn keep_joining(&mut self, now: Duration) {
        if now < self.joining.next_at {
            return;
        }
        let interval = self.config.timing.election_timeout;
        self.joining.next_at = now + interval;
        if self.consensus.leader().is_some() {
            self.joining.leader_seen = now;
            return;
        }
        if now < self.joining.leader_seen + interval * 2 {
            return;
        }
        let Some(address) = self.next_address() else {
            return;
        };
        let request = JoinRequest {
            group: GROUP,
            member: self.config.member(self.replica, MemberRole::Learner),
        };
        let frame = PeerFrame::JoinRequest(request);
        self.outputs.push(NodeOutput::Peer { address, frame });
    }

    fn next_address(&mut self) -> Option<String> {
        if let Some(hint) = self.joining.hint.take() {
            return Some(hint.to_string());
        }
        let own = self.config.link_address.to_string();
        let mut known = self.replica_addresses();
        known.extend(self.config.seeds.iter().map(ToString::to_string));
        known.retain(|address| *address != own);
        known.sort();
        known.dedup();
        self.joining.next_seed = self.joining.next_seed.wrapping_add(1);
        let count = known.len();
        known.into_iter().nth(self.joining.next_seed % count.max(1))
    }

    /// Takes other seeds over from changed settings.
    pub fn set_seeds(&mut self, seeds: Vec<std::net::SocketAddr>) {
        self.config.seeds = seeds;
    }

    pub(super) fn take_in_join(&mut self, now: Duration, request: JoinRequest) {
        if request.group != GROUP {
            return;
        }
        let address = request.member.peer_address.to_string();
        let response = match &self.leadership {
            Some(_) => {
                if !self.is_member(request.member.replica) {
                    self.admit(now, request.member);
                }
                JoinResponse::Joining
            }
            None => match self.leader_address() {
                Some(leader) => JoinResponse::TryLeader(leader),
                None => return,
            },
        };
        let frame = PeerFrame::JoinResponse(response);
        self.outputs.push(NodeOutput::Peer { address, frame });
    }

    pub(super) fn take_in_join_response(&mut self, now: Duration, response: JoinResponse) {
        if let JoinResponse::TryLeader(leader) = response {
            if leader != socket_address(self.config.link_address) {
                self.joining.hint = Some(leader);
                self.joining.next_at = self
                    .joining
                    .next_at
                    .min(now + self.config.timing.election_timeout / 10);
            }
        }
    }

    fn leader_address(&self) -> Option<SocketAddress> {
        let leader = self.consensus.leader()?;
        let members = &self.consensus.membership().members;
        let member = members.iter().find(|member| member.replica == leader)?;
        Some(member.peer_address.clone())
    }

    fn is_member(&self, replica: ReplicaId) -> bool {
        let members = &self.consensus.membership().members;
        members.iter().any(|member| member.replica == replica)
    }

    /// Adds a learner.
    fn admit(&mut self, now: Duration, member: Member) {
        let membership = self.consensus.membership();
        let next = members::admitting(membership, member);
        if next.members.len() > MAXIMUM_MEMBERS {
            return;
        }
        // A refused change is made again when the replica asks again.
        let _ = self.consensus.propose_membership(now, next);
    }

    /// Makes one change of membership where one is due.
    pub(super) fn keep_members(&mut self, now: Duration) {
        if let Some(next) = self.next_membership(now) {
            // A refused change is made again at the next look.
            let _ = self.consensus.propose_membership(now, next);
        }
    }

    fn next_membership(&self, now: Duration) -> Option<Membership> {
        let membership = self.consensus.membership();
        let Some(learner) = members::caught_up_learner(&self.consensus) else {
            return self.without_forgotten_learner(now);
        };
        // A voter at the address of a newer replica has lost its folder.
        let replaced =
            members::voter_at(membership, &learner.peer_address).or_else(|| self.silent_voter(now));
        if let Some(replaced) = replaced {
            let allowed = self.keeps_quorum_without(now, replaced);
            return allowed.then(|| members::without(membership, replaced));
        }
        let wants_voter = members::voters(membership).count() < WANTED_VOTERS;
        wants_voter.then(|| members::promoting(membership, learner.replica))
    }

    fn without_forgotten_learner(&self, now: Duration) -> Option<Membership> {
        let membership = self.consensus.membership();
        let is_learner = |replica: &ReplicaId| {
            !members::voters(membership).any(|voter| voter.replica == *replica)
        };
        let forgotten = self
            .silence(now)
            .into_iter()
            .find(|(replica, silence)| is_learner(replica) && *silence > LEARNER_FORGOTTEN_AFTER);
        forgotten.map(|(replica, _)| members::without(membership, replica))
    }

    /// For how long each other member has been silent, counted from the start of this leader's time.
    fn silence(&self, now: Duration) -> Vec<(ReplicaId, Duration)> {
        let since = self.consensus.leader_since().unwrap_or(now);
        let progress = self.consensus.member_progress().into_iter();
        progress
            .map(|(replica, _, heard)| (replica, now.saturating_sub(heard.unwrap_or(since))))
            .collect()
    }

    fn silent_voter(&self, now: Duration) -> Option<ReplicaId> {
        let limit = self.config.timing.replace_after;
        let silent = self.silence(now).into_iter().find(|(replica, silence)| {
            let mut voters = members::voters(self.consensus.membership());
            *silence > limit && voters.any(|voter| voter.replica == *replica)
        });
        silent.map(|(replica, _)| replica)
    }

    fn keeps_quorum_without(&self, now: Duration, removed: ReplicaId) -> bool {
        let limit = self.config.timing.election_timeout;
        let silence = self.silence(now);
        let is_heard = |replica: ReplicaId| {
            replica == self.replica
                || silence
                    .iter()
                    .any(|(one, silence)| *one == replica && *silence < limit)
        };
        members::keeps_quorum_without(self.consensus.membership(), removed, is_heard)
    }
}
