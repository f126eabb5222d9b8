//! What a control group may still lose without losing its decisions.

use std::collections::{BTreeMap, BTreeSet};

use grebepin_replica::members::voters;
use grebepin_schema::{Member, Membership, ReplicaId, ToleratedLosses, ZoneName};

/// Losses tolerated now, given the members that are heard from.
///
/// A voter that isn't heard from counts as lost already. A zone is listed when every voter in it may
/// be lost at once.
pub fn tolerated_losses(membership: &Membership, alive: &BTreeSet<ReplicaId>) -> ToleratedLosses {
    let voters: Vec<&Member> = voters(membership).collect();
    let quorum = voters.len() / 2 + 1;
    let alive: Vec<&Member> = voters
        .iter()
        .copied()
        .filter(|member| alive.contains(&member.replica))
        .collect();
    let mut by_zone: BTreeMap<&ZoneName, usize> = BTreeMap::new();
    for member in &voters {
        by_zone.entry(&member.zone).or_default();
    }
    for member in &alive {
        *by_zone.entry(&member.zone).or_default() += 1;
    }
    let zones = by_zone
        .into_iter()
        .filter(|(_, lost)| alive.len() - lost >= quorum)
        .map(|(zone, _)| zone.clone())
        .collect();
    ToleratedLosses {
        replicas: alive.len().saturating_sub(quorum) as u32,
        zones,
    }
}
