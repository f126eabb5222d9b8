//! How many replicas vote, in which zones, and when one of them goes.
//!
//! Invariant: a voter leaves only while the others that are heard from are a majority of those that stay; where
//! voters only move between zones, the new one comes before the old one goes.

use std::time::Duration;

use grebepin_replica::members;
use grebepin_schema::{Membership, ReplicaId};
use grebepin_storage::Disk;

use super::config::{zone_name, FaultTolerance, UNKNOWN_ZONE};
use super::messages::Notice;
use super::Node;

/// Time after its beginning for which a leader turns the very first configuration away while the group is
/// short of voters. A group that finds no further machines serves on after that.
const FOUNDING_PATIENCE: Duration = Duration::from_secs(3);

impl<D: Disk> Node<D> {
    /// Without a voter that lost its folder or is silent, once a learner can take its place.
    pub(super) fn without_lost_voter(&self, now: Duration) -> Option<Membership> {
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
    pub(super) fn without_surplus_voter(&self, now: Duration) -> Option<Membership> {
        let membership = self.consensus.membership();
        if self.voter_count() <= self.wanted_voters() {
            return None;
        }
        let silent = self.silent_voter(now);
        let surplus = silent.or_else(|| members::surplus_voter(membership, self.replica))?;
        let allowed = self.keeps_quorum_without(now, surplus);
        allowed.then(|| members::without(membership, surplus))
    }

    pub(super) fn with_corrected_zone(&self) -> Option<Membership> {
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
    pub(super) fn with_another_voter(&self, now: Duration) -> Option<Membership> {
        let membership = self.consensus.membership();
        let learners = members::caught_up_learners(&self.consensus);
        let learner = members::best_spread(membership, learners)?;
        let wanted = self.wanted_voters();
        let is_short = self.voter_count() < wanted;
        let spreads = || self.are_zones_known() && members::would_spread(membership, learner);
        let may_spread = self.voter_count() == wanted && self.silent_voter(now).is_none();
        let is_wanted = is_short || (may_spread && spreads());
        is_wanted.then(|| members::promoting(membership, learner.replica))
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
