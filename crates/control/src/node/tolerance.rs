//! Failures that a control group can still tolerate without losing its quorum.

use std::collections::{BTreeMap, BTreeSet};

use grebepin_replica::members::voters;
use grebepin_schema::{Member, Membership, ReplicaId, ToleratedLosses, ZoneName};

/// Failures tolerated at present, given the alive members.
///
/// A voter that isn't alive counts as already lost. A zone is listed if all its voters may fail at once
/// without loss of the quorum.
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
