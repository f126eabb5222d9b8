//! Membership of the group: join requests and successive membership changes.
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

/// Maximum number of members, voters and learners together. It bounds the number of replicas that one leader
/// sends to and is well above the number of control machines of any planned deployment.
const MAX_MEMBERS: usize = 128;

/// Time without contact after which a learner is removed from the membership.
const LEARNER_REMOVAL_DELAY: Duration = Duration::from_secs(20);

/// State of this replica's attempts to join.
#[derive(Debug)]
pub(super) struct Joining {
    pub(super) next_at: Duration,
    next_seed: usize,
    leader_hint: Option<SocketAddress>,
    /// Address of the leader as last reported by another replica; the log of a replica that is joining names
    /// no member yet.
    reported_leader: Option<SocketAddress>,
    /// When this replica last knew a leader.
    leader_last_known: Duration,
}

impl Joining {
    pub(super) fn new(next_at: Duration) -> Self {
        Self {
            next_at,
            next_seed: 0,
            leader_hint: None,
            reported_leader: None,
            leader_last_known: Duration::ZERO,
        }
    }
}

impl<D: Disk> Node<D> {
    /// Internal addresses of all known replicas.
    fn replica_addresses(&self) -> Vec<String> {
        let members = self.consensus.membership().members.iter();
        members
            .map(|member| member.peer_address.to_string())
            .collect()
    }

    /// All known replicas, for gateways.
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

    /// Internal address of the leader if it is another replica.
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

    /// Sends join requests at intervals while no leader is in contact with this replica.
    pub(super) fn join_if_due(&mut self, now: Duration) {
        if now < self.joining.next_at {
            return;
        }
        let interval = self.config.timing.election_timeout;
        self.joining.next_at = now + interval;
        let knows_members = !self.consensus.membership().members.is_empty();
        if knows_members && self.consensus.leader().is_some() {
            self.joining.leader_last_known = now;
            return self.request_zone_correction();
        }
        if now < self.joining.leader_last_known + interval * 2 {
            return;
        }
        let Some(address) = self.next_address() else {
            return;
        };
        self.send_join_request(address);
    }

    fn send_join_request(&mut self, address: String) {
        let request = JoinRequest {
            group: GROUP,
            member: self.config.joining_member(self.replica),
        };
        let frame = PeerFrame::JoinRequest(request);
        self.outputs.push(NodeOutput::Peer { address, frame });
    }

    /// Reports this replica's zone to the leader if the membership has another one: founders know each other
    /// only by their addresses.
    fn request_zone_correction(&mut self) {
        let zone = zone_name(&self.config.zone);
        let members = &self.consensus.membership().members;
        let own = members.iter().find(|member| member.replica == self.replica);
        if own.is_none_or(|own| own.zone == zone) {
            return;
        }
        if self.leadership.is_some() {
            let own = self.config.joining_member(self.replica);
            self.add_pending_member(own);
        } else if let Some(leader) = self.leader_address() {
            self.send_join_request(leader.to_string());
        }
    }

    fn next_address(&mut self) -> Option<String> {
        if let Some(leader_hint) = self.joining.leader_hint.take() {
            return Some(leader_hint.to_string());
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

    /// Addresses at which to try a leader whose address the local membership does not contain: a replica with
    /// an empty log knows the leader only by its identity.
    pub(super) fn possible_leader_addresses(&self) -> Vec<String> {
        let seeds = self.config.seeds.iter().map(ToString::to_string);
        let reported = self
            .joining
            .reported_leader
            .iter()
            .map(|address| address.to_string());
        let possible: BTreeSet<String> = seeds.chain(reported).collect();
        possible.into_iter().collect()
    }

    /// Replaces the seeds after the settings changed.
    pub fn set_seeds(&mut self, seeds: Vec<std::net::SocketAddr>) {
        self.config.seeds = seeds;
    }

    pub(super) fn handle_join_request(&mut self, now: Duration, request: JoinRequest) {
        if request.group != GROUP {
            return;
        }
        let address = request.member.peer_address.to_string();
        let response = match &self.leadership {
            Some(_) => {
                self.add_pending_member(request.member);
                self.change_membership_if_due(now);
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

    pub(super) fn handle_join_response(&mut self, now: Duration, response: JoinResponse) {
        if let JoinResponse::TryLeader(leader) = response {
            if leader != socket_address(self.config.link_address) {
                self.joining.leader_hint = Some(leader.clone());
                self.joining.reported_leader = Some(leader);
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

    /// Keeps a member that wants to join or to correct its zone until the membership change can be made.
    fn add_pending_member(&mut self, member: Member) {
        if let Some(leadership) = &mut self.leadership {
            leadership.pending_members.insert(member.replica, member);
        }
    }

    /// Proposes one membership change if one is due.
    pub(super) fn change_membership_if_due(&mut self, now: Duration) {
        self.prune_pending_members();
        let Some(next) = self.next_membership(now) else {
            return;
        };
        match self.consensus.propose_membership(now, next) {
            // `MembershipBusy` is expected: changes are made one at a time, and this one is proposed again at
            // the next check.
            Ok(_) | Err(ProposeError::MembershipBusy) => {}
            Err(error) => self.push_notice(Notice::MembershipRefused { error }),
        }
    }

    /// Drops pending members that the membership lists with the zone they reported.
    fn prune_pending_members(&mut self) {
        let members = &self.consensus.membership().members;
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        leadership.pending_members.retain(|replica, pending| {
            let listed = members.iter().find(|member| member.replica == *replica);
            listed.is_none_or(|listed| listed.zone != pending.zone)
        });
    }

    fn next_membership(&self, now: Duration) -> Option<Membership> {
        self.without_lost_voter(now)
            .or_else(|| self.without_surplus_voter(now))
            .or_else(|| self.with_corrected_zone())
            .or_else(|| self.with_another_voter(now))
            .or_else(|| self.with_pending_member())
            .or_else(|| self.without_lost_learner(now))
    }

    fn with_pending_member(&self) -> Option<Membership> {
        let membership = self.consensus.membership();
        let (_, pending) = self
            .leadership
            .as_ref()?
            .pending_members
            .first_key_value()?;
        let next = members::admission_step(membership, pending.clone());
        (next.members.len() <= MAX_MEMBERS).then_some(next)
    }

    fn without_lost_learner(&self, now: Duration) -> Option<Membership> {
        let membership = self.consensus.membership();
        let is_learner = |replica: &ReplicaId| {
            !members::voters(membership).any(|voter| voter.replica == *replica)
        };
        let lost = self
            .time_since_contact(now)
            .into_iter()
            .find(|(replica, elapsed)| is_learner(replica) && *elapsed > LEARNER_REMOVAL_DELAY);
        lost.map(|(replica, _)| members::without_member(membership, replica))
    }

    /// Time since each other member was last in contact; a member that has not been in contact yet is counted
    /// from the start of this leadership.
    pub(super) fn time_since_contact(&self, now: Duration) -> Vec<(ReplicaId, Duration)> {
        let since = self.consensus.leader_since().unwrap_or(now);
        let progress = self.consensus.member_progress().into_iter();
        progress
            .map(|(replica, _, contact)| (replica, now.saturating_sub(contact.unwrap_or(since))))
            .collect()
    }
}
