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

/// The replica whose state is taken, out of the heads that replicas at these addresses told; `None` as long as
/// they are no majority.
pub fn newest_of_majority<'a, T>(heads: impl Iterator<Item = (T, &'a str, &'a Head)>) -> Option<T> {
    let voters: Vec<(T, &str, &Head)> = heads.filter(|(_, _, head)| head.votes).collect();
    let is_covered = |head: &Head| {
        let members = head.replicas.iter();
        let asked = members.filter(|member| voters.iter().any(|voter| voter.1 == member.as_str()));
        asked.count() > head.replicas.len() / 2
    };
    if !voters.iter().all(|(_, _, head)| is_covered(head)) {
        return None;
    }
    let newest = voters.into_iter().max_by_key(|(_, _, head)| head.applied);
    newest.map(|(replica, _, _)| replica)
}
