//! Whose state a gateway takes that has none yet while no leader speaks to it.
//!
//! After a loss of all machines the group needs an election before a leader speaks, and gateways need not
//! wait for it: what a majority of the voters holds covers every acknowledged change but those whose commit
//! its members had not heard of. It is older by that much until a leader speaks, as the state of any gateway
//! that lost its leader is.
//!
//! Invariant: a state is taken only when a majority of the voters was asked, whichever of them knows the
//! membership best, and it is the newest among them. A voter that missed changes alone does not suffice, nor
//! with one that lost its disk, since that one is no voter.

use grebepin_directory::link::Head;

/// The log index of the newest state that a majority of the voters holds, out of the heads that replicas at these
/// addresses told; `None` as long as they are no majority. Any replica that has applied as much will do to take
/// the state from.
pub fn newest_of_majority<'a>(heads: impl Iterator<Item = (&'a str, &'a Head)>) -> Option<u64> {
    let voters: Vec<(&str, &Head)> = heads.filter(|(_, head)| head.votes).collect();
    let is_covered = |head: &Head| {
        let members = head.replicas.iter().filter(|member| member.votes);
        let members: Vec<&str> = members.map(|member| member.address.as_str()).collect();
        let asked = members
            .iter()
            .filter(|member| voters.iter().any(|voter| voter.0 == **member));
        asked.count() > members.len() / 2
    };
    if !voters.iter().all(|(_, head)| is_covered(head)) {
        return None;
    }
    voters.into_iter().map(|(_, head)| head.applied).max()
}
