//! Memberships that follow from a present one, one change at a time.
//!
//! Invariant: each function changes one member only.

use grebepin_consensus::Consensus;
use grebepin_schema::{Member, MemberRole, Membership, ReplicaId, SocketAddress};

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
    consensus.membership().members.iter().find(|member| {
        member.role == MemberRole::Learner && consensus.learner_is_caught_up(member.replica)
    })
}

/// The membership without a member.
pub fn without(membership: &Membership, replica: ReplicaId) -> Membership {
    let members = membership.members.iter();
    let members = members.filter(|member| member.replica != replica);
    Membership {
        members: members.cloned().collect(),
    }
}

/// The first step towards a membership with a new learner: one without an older learner at its
/// address, whose folder must be lost, or else with the new one.
pub fn admitting(membership: &Membership, member: Member) -> Membership {
    let is_stale = |other: &&Member| {
        other.role == MemberRole::Learner && other.peer_address == member.peer_address
    };
    if let Some(stale) = membership.members.iter().find(is_stale) {
        return without(membership, stale.replica);
    }
    let mut members = membership.members.clone();
    members.push(Member {
        role: MemberRole::Learner,
        ..member
    });
    Membership { members }
}

/// The membership with a member as a voter.
pub fn promoting(membership: &Membership, replica: ReplicaId) -> Membership {
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
