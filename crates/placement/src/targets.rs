//! Target weights and shard counts of servers.

use std::collections::BTreeMap;

use grebepin_schema::{Server, SideName, SideShare};

use crate::Candidate;

/// Weight of each server for [`Candidate`]: its side's share, divided among the side's eligible servers
/// in proportion to their own weights.
///
/// `eligible[position]` tells whether the server at that position may receive shards now. The weights
/// add up to the sum of the shares of all sides with an eligible server, so the share of a side without
/// one is distributed to the other sides.
pub fn target_weights(sides: &[SideShare], servers: &[Server], eligible: &[bool]) -> Vec<f64> {
    let mut side_weights: BTreeMap<&SideName, f64> = BTreeMap::new();
    let is_eligible = |position: usize| eligible.get(position).copied().unwrap_or(false);
    for (position, server) in servers.iter().enumerate() {
        if is_eligible(position) {
            *side_weights.entry(&server.side).or_default() += f64::from(server.weight.get());
        }
    }
    let shares: BTreeMap<&SideName, f64> = sides
        .iter()
        .map(|side| (&side.side, f64::from(side.share)))
        .collect();
    let weight_of = |(position, server): (usize, &Server)| {
        if !is_eligible(position) {
            return 0.0;
        }
        let share = shares.get(&server.side).copied().unwrap_or(0.0);
        let own = f64::from(server.weight.get());
        share * own / side_weights.get(&server.side).copied().unwrap_or(own)
    };
    servers.iter().enumerate().map(weight_of).collect()
}

/// Number of shards that follows from each server's weight, not rounded; all zero when no server is
/// eligible.
pub(crate) fn exact_shares(candidates: &[Candidate], shards: usize) -> Vec<f64> {
    let total: f64 = candidates.iter().map(Candidate::effective_weight).sum();
    let share = |candidate: &Candidate| match candidate.effective_weight() {
        weight if weight > 0.0 => weight / total * shards as f64,
        _ => 0.0,
    };
    candidates.iter().map(share).collect()
}

/// Whole numbers of shards that follow the weights and add up to `shards`.
///
/// Each is the exact share rounded up or down. Servers that hold more than their share rounded down are
/// rounded up first, so that rounding causes no moves. All zero when no server is eligible.
pub fn target_counts(candidates: &[Candidate], counts: &[usize], shards: usize) -> Vec<usize> {
    let exact = exact_shares(candidates, shards);
    let mut targets: Vec<usize> = exact.iter().map(|share| share.floor() as usize).collect();
    let mut order: Vec<usize> = (0..candidates.len())
        .filter(|&server| candidates[server].effective_weight() > 0.0)
        .collect();
    let holds_more = |server: usize| {
        counts
            .get(server)
            .is_some_and(|&held| held > targets[server])
    };
    let fraction = |server: usize| exact[server].fract();
    order.sort_by(|&left, &right| {
        let by_held = holds_more(right).cmp(&holds_more(left));
        by_held.then(fraction(right).total_cmp(&fraction(left)))
    });
    let missing = shards.saturating_sub(targets.iter().sum());
    for &server in order.iter().cycle().take(missing) {
        targets[server] += 1;
    }
    targets
}
