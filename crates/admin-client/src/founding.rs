//! What a founding request is made of.

use grebepin_schema::{IdentityAnswer, Member, MemberRole};

/// The member that a replica becomes when it is one of those that found a group.
pub fn founding_voter(identity: &IdentityAnswer) -> Member {
    Member {
        replica: identity.replica,
        role: MemberRole::Voter,
        zone: identity.zone.clone(),
        peer_address: identity.peer_address.clone(),
        router_address: identity.router_address.clone(),
        admin_address: identity.admin_address.clone(),
    }
}
