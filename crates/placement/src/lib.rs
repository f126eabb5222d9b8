//! Placement of shards on servers: pure algorithms.
//!
//! Invariant: a shard whose owner stays eligible is never moved by [`assign_orphans`].

/// A server as placement sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Share of all shards the server should carry, relative to the other candidates; 0 receives none.
    pub weight: f64,
    /// Whether the server may receive shards now.
    pub eligible: bool,
}

/// Gives every shard without an eligible owner to the server with the least load for its weight.
///
/// `owners[shard]` is a position in `candidates`. Returns pairs of shard and new owner; empty when no
/// server is eligible.
pub fn assign_orphans(candidates: &[Candidate], owners: &[Option<usize>]) -> Vec<(usize, usize)> {
    let mut counts = vec![0usize; candidates.len()];
    let mut orphans = Vec::new();
    for (shard, owner) in owners.iter().enumerate() {
        match owner.filter(|&server| candidates[server].eligible) {
            Some(server) => counts[server] += 1,
            None => orphans.push(shard),
        }
    }
    let mut placed = Vec::with_capacity(orphans.len());
    for shard in orphans {
        let Some(server) = least_loaded(candidates, &counts) else {
            return placed;
        };
        counts[server] += 1;
        placed.push((shard, server));
    }
    placed
}

fn least_loaded(candidates: &[Candidate], counts: &[usize]) -> Option<usize> {
    let load_after = |server: usize| (counts[server] + 1) as f64 / candidates[server].weight;
    (0..candidates.len())
        .filter(|&server| candidates[server].eligible && candidates[server].weight > 0.0)
        .min_by(|&left, &right| load_after(left).total_cmp(&load_after(right)))
}
