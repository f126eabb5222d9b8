//! Who belongs to the group: joining, as many voters as the losses to be borne need, spread over zones, and
//! the replacement of voters that are gone.
//!
//! Invariant: one member changes at a time; a voter leaves only while the others that are heard from
//! are a majority of those that stay.

use std::collections::BTreeSet;
use std::time::Duration;

use grebepin_consensus::ProposeError;
use grebepin_replica::members;
use grebepin_schema::{
    JoinRequest, JoinResponse, Member, MemberRole, Membership, PeerFrame, ReplicaId, SocketAddress,
};
use grebepin_storage::Disk;

use super::config::{socket_address, zone_name, FaultTolerance, GROUP, UNKNOWN_ZONE};
use super::messages::{NodeOutput, Notice};
use super::Node;
use crate::link::ReplicaAddress;

/// Most members, voters and learners: a bound on what one leader sends to at all, well above the control
/// machines of any deployment planned.
const MAXIMUM_MEMBERS: usize = 128;

/// Time after its beginning for which a leader turns the very first configuration away while the group is
/// short of voters. A group that finds no further machines serves on after that.
const FOUNDING_PATIENCE: Duration = Duration::from_secs(3);

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

    /// Without a voter that lost its folder or is silent, once a learner can take its place.
    fn without_lost_voter(&self, now: Duration) -> Option<Membership> {
        let membership = self.consensus.membership();
        let mut learners = members::caught_up_learners(&self.consensus).peekable();
        learners.peek()?;
        // A voter at the address of a newer replica has lost its folder.
        let replaced =
            learners.find_map(|learner| members::voter_at(membership, &learner.peer_address));
        let replaced = replaced.or_else(|| self.silent_voter(now))?;
        let allowed = self.keeps_quorum_without(now, replaced);
        allowed.then(|| members::without(membership, replaced))
    }

    /// Without a voter that is one too many.
    fn without_surplus_voter(&self, now: Duration) -> Option<Membership> {
        let membership = self.consensus.membership();
        if self.voter_count() <= self.config.fault_tolerance.wanted_voters() {
            return None;
        }
        let silent = self.silent_voter(now);
        let surplus = silent.or_else(|| members::surplus_voter(membership, self.replica))?;
        let allowed = self.keeps_quorum_without(now, surplus);
        allowed.then(|| members::without(membership, surplus))
    }

    fn with_corrected_zone(&self) -> Option<Membership> {
        let membership = self.consensus.membership();
        let newcomers = &self.leadership.as_ref()?.newcomers;
        let mut listed = membership.members.iter();
        let newcomer = listed.find_map(|member| newcomers.get(&member.replica))?;
        Some(members::with_zone(
            membership,
            newcomer.replica,
            &newcomer.zone,
        ))
    }

    /// With one more voter, where the group has too few, or where they stand too close together: the new one
    /// comes first and then one goes, so that at no time fewer losses are borne.
    fn with_another_voter(&self, now: Duration) -> Option<Membership> {
        let membership = self.consensus.membership();
        let learners = members::caught_up_learners(&self.consensus);
        let learner = members::best_spread(membership, learners)?;
        let wanted = self.config.fault_tolerance.wanted_voters();
        let is_short = self.voter_count() < wanted;
        let spreads = || self.are_zones_known() && members::would_spread(membership, learner);
        let may_spread = self.voter_count() == wanted && self.silent_voter(now).is_none();
        let is_wanted = is_short || (may_spread && spreads());
        is_wanted.then(|| members::promoting(membership, learner.replica))
    }

    fn with_newcomer(&self) -> Option<Membership> {
        let membership = self.consensus.membership();
        let (_, newcomer) = self.leadership.as_ref()?.newcomers.first_key_value()?;
        let next = members::admitting(membership, newcomer.clone());
        (next.members.len() <= MAXIMUM_MEMBERS).then_some(next)
    }

    fn are_zones_known(&self) -> bool {
        let unknown = zone_name(UNKNOWN_ZONE);
        members::voters(self.consensus.membership()).all(|voter| voter.zone != unknown)
    }

    /// Voters that the membership lists.
    pub fn voter_count(&self) -> usize {
        members::voters(self.consensus.membership()).count()
    }

    /// Voters that the group should have for the losses that it must bear.
    pub fn wanted_voters(&self) -> usize {
        self.config.fault_tolerance.wanted_voters()
    }

    /// Takes other losses to be borne over from changed settings.
    pub fn set_fault_tolerance(&mut self, fault_tolerance: FaultTolerance) {
        self.config.fault_tolerance = fault_tolerance;
    }

    /// Whether the group has no configuration yet and should have more voters before it acknowledges one.
    pub(super) fn awaits_voters(&self, now: Duration) -> bool {
        let Some(leadership) = &self.leadership else {
            return false;
        };
        let is_founding = self.catalog.items().in_force().next().is_none();
        is_founding
            && self.voter_count() < self.wanted_voters()
            && now < leadership.began + FOUNDING_PATIENCE
    }

    /// Notes when the group has fewer voters than it should, and when it has enough again.
    pub(super) fn watch_voters(&mut self) {
        let (voters, wanted) = (self.voter_count(), self.wanted_voters());
        let is_short = voters < wanted;
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        if leadership.is_short_of_voters != is_short {
            leadership.is_short_of_voters = is_short;
            self.notice(Notice::Voters { voters, wanted });
        }
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
