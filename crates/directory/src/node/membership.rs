//! Who belongs to the group: joining, and one change of membership after the other.
//!
//! Invariant: one member changes at a time.

use std::collections::BTreeSet;
use std::time::Duration;

use grebepin_consensus::ProposeError;
use grebepin_replica::members;
use grebepin_schema::{
    JoinRequest, JoinResponse, Member, MemberRole, Membership, PeerFrame, ReplicaId, SocketAddress,
};
use grebepin_storage::Disk;

use super::config::{socket_address, zone_name, GROUP};
use super::messages::{NodeOutput, Notice};
use super::Node;
use crate::link::ReplicaAddress;

/// Most members, voters and learners: a bound on what one leader sends to at all, well above the control
/// machines of any deployment planned.
const MAXIMUM_MEMBERS: usize = 128;

/// Silence after which a learner is taken off the list.
const LEARNER_FORGOTTEN_AFTER: Duration = Duration::from_secs(20);

/// Where and when to ask to be taken in.
#[derive(Debug)]
pub(super) struct Joining {
    pub(super) next_at: Duration,
    next_seed: usize,
    hint: Option<SocketAddress>,
    /// Where the leader was when a replica last told; a newcomer's own log names no member yet.
    told_leader: Option<SocketAddress>,
    /// When this replica last knew a leader.
    leader_seen: Duration,
}

impl Joining {
    pub(super) fn new(next_at: Duration) -> Self {
        Self {
            next_at,
            next_seed: 0,
            hint: None,
            told_leader: None,
            leader_seen: Duration::ZERO,
        }
    }
}

impl<D: Disk> Node<D> {
    /// Internal addresses of all replicas known.
    fn replica_addresses(&self) -> Vec<String> {
        let members = self.consensus.membership().members.iter();
        members
            .map(|member| member.peer_address.to_string())
            .collect()
    }

    /// All replicas known, for gateways.
    pub fn replicas(&self) -> Vec<ReplicaAddress> {
        let members = self.consensus.membership().members.iter();
        members
            .map(|member| ReplicaAddress {
                address: member.peer_address.to_string(),
                zone: member.zone.to_string(),
                votes: member.role == MemberRole::Voter,
            })
            .collect()
    }

    /// Internal address of another replica that leads.
    pub fn other_leader(&self) -> Option<String> {
        let leader = self.leader_address()?;
        let own = socket_address(self.config.link_address);
        (leader != own).then(|| leader.to_string())
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
        let knows_members = !self.consensus.membership().members.is_empty();
        if knows_members && self.consensus.leader().is_some() {
            self.joining.leader_seen = now;
            return self.correct_zone();
        }
        if now < self.joining.leader_seen + interval * 2 {
            return;
        }
        let Some(address) = self.next_address() else {
            return;
        };
        self.ask_to_join(address);
    }

    fn ask_to_join(&mut self, address: String) {
        let request = JoinRequest {
            group: GROUP,
            member: self.config.newcomer(self.replica),
        };
        let frame = PeerFrame::JoinRequest(request);
        self.outputs.push(NodeOutput::Peer { address, frame });
    }

    /// Tells the leader in which zone this replica stands where the membership has another: founders know
    /// each other by their addresses only.
    fn correct_zone(&mut self) {
        let zone = zone_name(&self.config.zone);
        let members = &self.consensus.membership().members;
        let own = members.iter().find(|member| member.replica == self.replica);
        if own.is_none_or(|own| own.zone == zone) {
            return;
        }
        if self.leadership.is_some() {
            let own = self.config.newcomer(self.replica);
            self.note_newcomer(own);
        } else if let Some(leader) = self.leader_address() {
            self.ask_to_join(leader.to_string());
        }
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

    /// Where a leader may be whose address the membership here does not tell: a replica whose log is empty knows
    /// it by its identity only.
    pub(super) fn likely_leaders(&self) -> Vec<String> {
        let seeds = self.config.seeds.iter().map(ToString::to_string);
        let told = self
            .joining
            .told_leader
            .iter()
            .map(|address| address.to_string());
        let likely: BTreeSet<String> = seeds.chain(told).collect();
        likely.into_iter().collect()
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
                self.note_newcomer(request.member);
                self.keep_members(now);
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
                self.joining.hint = Some(leader.clone());
                self.joining.told_leader = Some(leader);
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

    /// Keeps who wants to be taken in until its change can be made.
    fn note_newcomer(&mut self, member: Member) {
        if let Some(leadership) = &mut self.leadership {
            leadership.newcomers.insert(member.replica, member);
        }
    }

    /// Makes one change of membership where one is due.
    pub(super) fn keep_members(&mut self, now: Duration) {
        self.forget_members_taken_in();
        let Some(next) = self.next_membership(now) else {
            return;
        };
        match self.consensus.propose_membership(now, next) {
            // Busy is usual: changes are made one after the other, and this one at the next look.
            Ok(_) | Err(ProposeError::MembershipBusy) => {}
            Err(error) => self.notice(Notice::MembershipRefused { error }),
        }
    }

    /// Forgets newcomers that the membership lists as they told.
    fn forget_members_taken_in(&mut self) {
        let members = &self.consensus.membership().members;
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        leadership.newcomers.retain(|replica, newcomer| {
            let listed = members.iter().find(|member| member.replica == *replica);
            listed.is_none_or(|listed| listed.zone != newcomer.zone)
        });
    }

    fn next_membership(&self, now: Duration) -> Option<Membership> {
        self.without_lost_voter(now)
            .or_else(|| self.without_surplus_voter(now))
            .or_else(|| self.with_corrected_zone())
            .or_else(|| self.with_another_voter(now))
            .or_else(|| self.with_newcomer())
            .or_else(|| self.without_forgotten_learner(now))
    }

    fn with_newcomer(&self) -> Option<Membership> {
        let membership = self.consensus.membership();
        let (_, newcomer) = self.leadership.as_ref()?.newcomers.first_key_value()?;
        let next = members::admitting(membership, newcomer.clone());
        (next.members.len() <= MAXIMUM_MEMBERS).then_some(next)
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
    pub(super) fn silence(&self, now: Duration) -> Vec<(ReplicaId, Duration)> {
        let since = self.consensus.leader_since().unwrap_or(now);
        let progress = self.consensus.member_progress().into_iter();
        progress
            .map(|(replica, _, heard)| (replica, now.saturating_sub(heard.unwrap_or(since))))
            .collect()
    }
}
