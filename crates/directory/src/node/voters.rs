//! Number of voters, their distribution over zones, and their replacement.
//!
//! Invariant: a voter is removed only while the other responsive voters form a majority of the remaining
//! ones. When voters are only moved between zones, the new one is added before the old one is removed.

use std::time::Duration;

use grebepin_replica::members;
use grebepin_schema::{Membership, ReplicaId};
use grebepin_storage::Disk;

use super::config::{zone_name, FaultTolerance, UNKNOWN_ZONE};
use super::messages::Notice;
use super::Node;

/// Time after the start of a leadership in which the leader answers changes as unavailable while the group
/// has no configuration yet and fewer voters than wanted. A group that finds no further machines accepts them
/// afterwards.
const FOUNDING_VOTER_WAIT: Duration = Duration::from_secs(3);

impl<D: Disk> Node<D> {
    /// Membership without a voter that lost its data folder or is unresponsive, once a learner can replace
    /// it.
    pub(super) fn without_lost_voter(&self, now: Duration) -> Option<Membership> {
        let membership = self.consensus.membership();
        let mut learners = members::caught_up_learners(&self.consensus).peekable();
        learners.peek()?;
        // A voter with the same address as a newer replica has lost its data folder.
        let replaced =
            learners.find_map(|learner| members::voter_at(membership, &learner.peer_address));
        let replaced = replaced.or_else(|| self.unresponsive_voter(now))?;
        let allowed = self.keeps_quorum_without(now, replaced);
        allowed.then(|| members::without_member(membership, replaced))
    }

    /// Membership without one voter beyond the wanted number.
    pub(super) fn without_surplus_voter(&self, now: Duration) -> Option<Membership> {
        let membership = self.consensus.membership();
        if self.voter_count() <= self.wanted_voters() {
            return None;
        }
        let unresponsive = self.unresponsive_voter(now);
        let surplus = unresponsive.or_else(|| members::surplus_voter(membership, self.replica))?;
        let allowed = self.keeps_quorum_without(now, surplus);
        allowed.then(|| members::without_member(membership, surplus))
    }

    pub(super) fn with_corrected_zone(&self) -> Option<Membership> {
        let membership = self.consensus.membership();
        let pending_members = &self.leadership.as_ref()?.pending_members;
        let mut listed = membership.members.iter();
        let pending = listed.find_map(|member| pending_members.get(&member.replica))?;
        Some(members::with_zone(
            membership,
            pending.replica,
            &pending.zone,
        ))
    }

    /// Membership with one more voter if there are too few, or if another one would improve the spread over
    /// zones. The new voter is added before one is removed, so that the number of tolerated losses never
    /// drops in between.
    pub(super) fn with_another_voter(&self, now: Duration) -> Option<Membership> {
        let membership = self.consensus.membership();
        let learners = members::caught_up_learners(&self.consensus);
        let learner = members::select_learner_by_zone(membership, learners)?;
        let wanted = self.wanted_voters();
        let is_short = self.voter_count() < wanted;
        let spreads =
            || self.are_zones_known() && members::improves_zone_spread(membership, learner);
        let may_spread = self.voter_count() == wanted && self.unresponsive_voter(now).is_none();
        let is_wanted = is_short || (may_spread && spreads());
        is_wanted.then(|| members::with_voter(membership, learner.replica))
    }

    fn are_zones_known(&self) -> bool {
        let unknown = zone_name(UNKNOWN_ZONE);
        members::voters(self.consensus.membership()).all(|voter| voter.zone != unknown)
    }

    /// Number of voters in the membership.
    pub fn voter_count(&self) -> usize {
        members::voters(self.consensus.membership()).count()
    }

    /// Number of voters required for the tolerated losses.
    pub fn wanted_voters(&self) -> usize {
        self.config.fault_tolerance.wanted_voters()
    }

    /// Replaces the tolerated losses after the settings changed.
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
            && now < leadership.started_at + FOUNDING_VOTER_WAIT
    }

    /// Emits a notice when the number of voters falls below the wanted one and when it is sufficient again.
    pub(super) fn report_voter_count(&mut self) {
        let (voters, wanted) = (self.voter_count(), self.wanted_voters());
        let is_short = voters < wanted;
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        if leadership.is_short_of_voters != is_short {
            leadership.is_short_of_voters = is_short;
            self.push_notice(Notice::Voters { voters, wanted });
        }
    }

    fn unresponsive_voter(&self, now: Duration) -> Option<ReplicaId> {
        let limit = self.config.timing.replace_after;
        let unresponsive = self
            .time_since_contact(now)
            .into_iter()
            .find(|(replica, elapsed)| {
                let mut voters = members::voters(self.consensus.membership());
                *elapsed > limit && voters.any(|voter| voter.replica == *replica)
            });
        unresponsive.map(|(replica, _)| replica)
    }

    fn keeps_quorum_without(&self, now: Duration, removed: ReplicaId) -> bool {
        let limit = self.config.timing.election_timeout;
        let time_since_contact = self.time_since_contact(now);
        let is_responsive = |replica: ReplicaId| {
            replica == self.replica
                || time_since_contact
                    .iter()
                    .any(|(one, elapsed)| *one == replica && *elapsed < limit)
        };
        members::keeps_quorum_without(self.consensus.membership(), removed, is_responsive)
    }
}
