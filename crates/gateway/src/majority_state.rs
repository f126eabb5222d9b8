//! Which state a gateway takes while it has no contact with a leader, and what that state may lack.
//!
//! After a restart of all machines the group needs an election before there is a leader, and gateways need
//! not wait for it: the newest state of a majority of the voters and the ends of their logs together contain
//! every acknowledged change. A change at the end of a log may or may not be committed, so whatever it touches
//! stays undecided, see [`crate::undecided`].
//!
//! Invariant: a state is taken only when a majority of the voters was asked, by the membership that each of
//! them knows, only if it is the newest among them, and only if the ends of their logs are known completely. A
//! voter that missed changes is not enough alone, nor together with a replica that lost its disk, since that
//! one is no voter.

use grebepin_catalog::Command;
use grebepin_directory::link::SourceStatus;

/// The newest state of a majority of the voters.
#[derive(Clone, Debug, PartialEq)]
pub struct MajorityState<'a> {
    /// Log index of the state. It may be fetched from any replica that has applied that index.
    pub index: u64,
    /// Commands after that index, and after the gateway's own, that may be acknowledged, in any order.
    pub undecided: Vec<&'a Command>,
}

/// The newest state, given pairs of a replica's address and the head that it sent; `None` while these are not a
/// majority, or do not describe the ends of the logs completely. `applied` is the log index of the state that
/// the gateway has, 0 for none: it has decided all commands up to there.
pub fn newest_of_majority<'a>(
    heads: impl Iterator<Item = (&'a str, &'a SourceStatus)>,
    applied: u64,
) -> Option<MajorityState<'a>> {
    let voters: Vec<(&str, &SourceStatus)> = heads.filter(|(_, head)| head.votes).collect();
    let is_covered = |head: &SourceStatus| {
        let members = head.replicas.iter().filter(|member| member.votes);
        let members: Vec<&str> = members.map(|member| member.address.as_str()).collect();
        let asked = members
            .iter()
            .filter(|member| voters.iter().any(|voter| voter.0 == **member));
        asked.count() > members.len() / 2
    };
    let is_complete = |head: &SourceStatus| !head.open_entries.is_truncated;
    if !voters
        .iter()
        .all(|(_, head)| is_covered(head) && is_complete(head))
    {
        return None;
    }
    let index = voters.iter().map(|(_, head)| head.applied).max()?;
    let open = voters
        .iter()
        .flat_map(|(_, head)| &head.open_entries.commands);
    let undecided = open.filter(|(at, _)| *at > index.max(applied));
    Some(MajorityState {
        index,
        undecided: undecided.map(|(_, command)| command).collect(),
    })
}
