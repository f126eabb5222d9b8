//! Memberships that follow from a present one, one change at a time.
//!
//! Invariant: each function changes one member only.

use grebepin_consensus::Consensus;
use grebepin_schema::{Member, MemberRole, Membership, ReplicaId, SocketAddress, ZoneName};

/// The members that count towards a majority.
pub fn voters(membership: &Membership) -> impl Iterator<Item = &Member> {
    let members = membership.members.iter();
    members.filter(|member| member.role == MemberRole::Voter)
}

/// The voter at an internal address, if there is one.
pub fn voter_at(membership: &Membership, address: &SocketAddress) -> Option<ReplicaId> {
    let mut voters = voters(membership);
    let voter = voters.find(|member| member.peer_address == *address);
    voter.map(|member| member.replica)
}

/// The first learner that holds all that the leader's log does; only a leader knows.
pub fn caught_up_learner(consensus: &Consensus) -> Option<&Member> {
    caught_up_learners(consensus).next()
}

/// The learners that hold all that the leader's log does; only a leader knows. Observers are none of them.
pub fn caught_up_learners(consensus: &Consensus) -> impl Iterator<Item = &Member> {
    consensus.membership().members.iter().filter(|member| {
        member.role == MemberRole::Learner && consensus.learner_is_caught_up(member.replica)
    })
}

/// Out of some learners the one whose zone has the fewest voters, so that the loss of a zone takes as few
/// voters as possible.
pub fn select_learner_by_zone<'a>(
    membership: &Membership,
    learners: impl Iterator<Item = &'a Member>,
) -> Option<&'a Member> {
    learners.min_by_key(|learner| voters_in(membership, &learner.zone))
}

/// Whether a voter less in the zone with most of them, and one more in this learner's, would spread the
/// voters better.
pub fn improves_zone_spread(membership: &Membership, learner: &Member) -> bool {
    let most = voters(membership).map(|voter| voters_in(membership, &voter.zone));
    most.max().unwrap_or(0) > voters_in(membership, &learner.zone) + 1
}

/// The voter to take out when there are more than wanted: one of the zone with most of them, but not `kept`.
pub fn surplus_voter(membership: &Membership, kept: ReplicaId) -> Option<ReplicaId> {
    let others = voters(membership).filter(|member| member.replica != kept);
    let surplus = others.max_by_key(|member| voters_in(membership, &member.zone));
    surplus.map(|member| member.replica)
}

fn voters_in(membership: &Membership, zone: &ZoneName) -> usize {
    let in_zone = voters(membership).filter(|voter| voter.zone == *zone);
    in_zone.count()
}

/// The membership with a member's zone as the member itself tells it.
pub fn with_zone(membership: &Membership, replica: ReplicaId, zone: &ZoneName) -> Membership {
    let mut next = membership.clone();
    for member in &mut next.members {
        if member.replica == replica {
            member.zone = zone.clone();
        }
    }
    next
}

/// The membership without a member.
pub fn without_member(membership: &Membership, replica: ReplicaId) -> Membership {
    let members = membership.members.iter();
    let members = members.filter(|member| member.replica != replica);
    Membership {
        members: members.cloned().collect(),
    }
}

/// The first step towards a membership with a new learner or observer: one without an older one at its
/// address, whose folder must be lost, or else with the new one.
pub fn admission_step(membership: &Membership, member: Member) -> Membership {
    let is_stale = |other: &&Member| {
        other.role != MemberRole::Voter && other.peer_address == member.peer_address
    };
    if let Some(stale) = membership.members.iter().find(is_stale) {
        return without_member(membership, stale.replica);
    }
    let mut members = membership.members.clone();
    let role = match member.role {
        MemberRole::Observer => MemberRole::Observer,
        MemberRole::Learner | MemberRole::Voter => MemberRole::Learner,
    };
    members.push(Member { role, ..member });
    Membership { members }
}

/// The membership with a member as a voter.
pub fn with_voter(membership: &Membership, replica: ReplicaId) -> Membership {
    let mut next = membership.clone();
    for member in &mut next.members {
        if member.replica == replica {
            member.role = MemberRole::Voter;
        }
    }
    next
}

/// Whether the voters that are heard from are a majority of those that stay when one goes.
pub fn keeps_quorum_without(
    membership: &Membership,
    removed: ReplicaId,
    is_heard: impl Fn(ReplicaId) -> bool,
) -> bool {
    let staying = voters(membership).map(|member| member.replica);
    let staying: Vec<ReplicaId> = staying.filter(|replica| *replica != removed).collect();
    let heard = staying.iter().filter(|replica| is_heard(**replica)).count();
    heard > staying.len() / 2
}
