//! New owners for shards without an owner.

use crate::heap::LeastLoaded;
use crate::Candidate;

/// Assigns every shard without an eligible owner to the server with the fewest shards relative to its
/// weight.
///
/// `owners[shard]` is an index into `candidates`. Returns pairs of shard and new owner; empty when no
/// server is eligible.
pub fn assign_orphans(candidates: &[Candidate], owners: &[Option<usize>]) -> Vec<(usize, usize)> {
    let mut counts = vec![0; candidates.len()];
    let mut orphans = Vec::new();
    for (shard, owner) in owners.iter().enumerate() {
        match owner.filter(|&server| is_eligible(candidates, server)) {
            Some(server) => counts[server] += 1,
            None => orphans.push(shard),
        }
    }
    let weights = candidates.iter().map(Candidate::effective_weight).collect();
    let mut servers = LeastLoaded::new(weights, counts);
    let place = |shard| Some((shard, servers.take()?));
    orphans.into_iter().map_while(place).collect()
}

/// New owners after the loss of one server. They follow from the ownership table alone, so every process
/// that has the table derives the same owners.
///
/// Returns the same as [`assign_orphans`] with that server not eligible.
pub fn owners_after_loss(
    candidates: &[Candidate],
    owners: &[Option<usize>],
    lost: usize,
) -> Vec<(usize, usize)> {
    let mut remaining = candidates.to_vec();
    if let Some(candidate) = remaining.get_mut(lost) {
        candidate.eligible = false;
    }
    assign_orphans(&remaining, owners)
}

fn is_eligible(candidates: &[Candidate], server: usize) -> bool {
    candidates
        .get(server)
        .is_some_and(|candidate| candidate.eligible)
}
