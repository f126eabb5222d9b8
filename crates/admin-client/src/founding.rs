//! Members of a founding request.

use grebepin_schema::{IdentityAnswer, Member, MemberRole};

/// The voting member that a replica becomes when it takes part in founding a group.
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
