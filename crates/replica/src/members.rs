//! Queries on a membership, and new memberships that differ from a current one in a single change.
//!
//! Invariant: each function that returns a membership changes at most one member.

use grebepin_consensus::Consensus;
use grebepin_schema::{Member, MemberRole, Membership, ReplicaId, SocketAddress, ZoneName};

/// The members that count for the quorum.
pub fn voters(membership: &Membership) -> impl Iterator<Item = &Member> {
    let members = membership.members.iter();
    members.filter(|member| member.role == MemberRole::Voter)
}

/// The voter with this peer address.
pub fn voter_at(membership: &Membership, address: &SocketAddress) -> Option<ReplicaId> {
    let mut voters = voters(membership);
    let voter = voters.find(|member| member.peer_address == *address);
    voter.map(|member| member.replica)
}

/// The first of [`caught_up_learners`].
pub fn caught_up_learner(consensus: &Consensus) -> Option<&Member> {
    caught_up_learners(consensus).next()
}

/// The learners that are caught up with the leader's log as defined by [`Consensus::learner_is_caught_up`],
/// without observers. Empty on a replica that is not the leader.
pub fn caught_up_learners(consensus: &Consensus) -> impl Iterator<Item = &Member> {
    consensus.membership().members.iter().filter(|member| {
        member.role == MemberRole::Learner && consensus.learner_is_caught_up(member.replica)
    })
}

/// The learner whose zone has the fewest voters. Promoting it minimizes the number of voters that are lost
/// with a zone.
pub fn select_learner_by_zone<'a>(
    membership: &Membership,
    learners: impl Iterator<Item = &'a Member>,
) -> Option<&'a Member> {
    learners.min_by_key(|learner| voters_in(membership, &learner.zone))
}

/// Whether the zones would be better balanced with one voter less in the zone with the most voters and one
/// more in the learner's zone.
pub fn improves_zone_spread(membership: &Membership, learner: &Member) -> bool {
    let most = voters(membership).map(|voter| voters_in(membership, &voter.zone));
    most.max().unwrap_or(0) > voters_in(membership, &learner.zone) + 1
}

/// The voter to remove if there are more than wanted: a voter of the zone with the most voters, but never
/// `kept`.
pub fn surplus_voter(membership: &Membership, kept: ReplicaId) -> Option<ReplicaId> {
    let others = voters(membership).filter(|member| member.replica != kept);
    let surplus = others.max_by_key(|member| voters_in(membership, &member.zone));
    surplus.map(|member| member.replica)
}

fn voters_in(membership: &Membership, zone: &ZoneName) -> usize {
    let in_zone = voters(membership).filter(|voter| voter.zone == *zone);
    in_zone.count()
}

/// The membership with the zone of a member replaced by the zone that the member reports.
pub fn with_zone(membership: &Membership, replica: ReplicaId, zone: &ZoneName) -> Membership {
    let mut next = membership.clone();
    for member in &mut next.members {
        if member.replica == replica {
            member.zone = zone.clone();
        }
    }
    next
}

/// The membership without this member.
pub fn without_member(membership: &Membership, replica: ReplicaId) -> Membership {
    let members = membership.members.iter();
    let members = members.filter(|member| member.replica != replica);
    Membership {
        members: members.cloned().collect(),
    }
}

/// The next step of adding a learner or observer. If an older learner or observer has the same peer address,
/// it must have lost its folder and is removed; otherwise the new member is added. A voter is added as a
/// learner.
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

/// The membership with this member as a voter.
pub fn with_voter(membership: &Membership, replica: ReplicaId) -> Membership {
    let mut next = membership.clone();
    for member in &mut next.members {
        if member.replica == replica {
            member.role = MemberRole::Voter;
        }
    }
    next
}

/// Whether the responsive voters are a majority of the voters that remain after one is removed.
pub fn keeps_quorum_without(
    membership: &Membership,
    removed: ReplicaId,
    is_responsive: impl Fn(ReplicaId) -> bool,
) -> bool {
    let remaining = voters(membership).map(|member| member.replica);
    let remaining: Vec<ReplicaId> = remaining.filter(|replica| *replica != removed).collect();
    let responsive = remaining
        .iter()
        .filter(|replica| is_responsive(**replica))
        .count();
    responsive > remaining.len() / 2
}
