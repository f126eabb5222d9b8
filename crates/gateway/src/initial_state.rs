//! Which state a gateway without any takes while it has no contact with a leader.
//!
//! After a restart of all machines the group needs an election before there is a leader, and gateways need
//! not wait for it: the state that a majority of the voters holds covers every acknowledged change except
//! those whose commit its members had not yet learnt of. Until there is a leader the state may be outdated by
//! that much, like that of any gateway that lost its leader.
//!
//! Invariant: a state is taken only when a majority of the voters was asked, by the membership that each of
//! them knows, and only if it is the newest among them. A voter that missed changes is not enough alone, nor
//! together with a replica that lost its disk, since that one is no voter.

use grebepin_directory::link::SourceStatus;

/// Log index of the newest state among the voters in `heads`, which are pairs of a replica's address and the
/// head that it sent; `None` while these are not a majority. The state may be fetched from any replica that
/// has applied that index.
pub fn newest_of_majority<'a>(
    heads: impl Iterator<Item = (&'a str, &'a SourceStatus)>,
) -> Option<u64> {
    let voters: Vec<(&str, &SourceStatus)> = heads.filter(|(_, head)| head.votes).collect();
    let is_covered = |head: &SourceStatus| {
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
