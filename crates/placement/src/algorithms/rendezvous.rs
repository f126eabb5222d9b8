//! Weighted rendezvous hashing: each shard goes to the server with the highest score of their common
//! hash.
//!
//! Invariant: the owner of a shard follows from the weights alone; load has no influence.

use std::collections::BTreeMap;

use super::{mix, Algorithm, Placement, Problem};

/// Placement that every process derives from the weights alone.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rendezvous;

/// Servers of equal weight. The highest hash among them has the highest score, so only one logarithm is
/// computed per class.
struct WeightClass {
    weight: f64,
    servers: Vec<usize>,
}

impl Algorithm for Rendezvous {
    fn name(&self) -> &'static str {
        "rendezvous"
    }

    fn place(&self, problem: &Problem<'_>, seed: u64) -> Placement {
        let classes = weight_classes(problem);
        let change = |shard: usize| {
            let present = problem.eligible_owner(shard);
            if problem.keep_owners && present.is_some() {
                return None;
            }
            let owner = best_server(&classes, shard, seed)?;
            (present != Some(owner)).then_some((shard, owner))
        };
        Placement {
            changes: (0..problem.owners.len()).filter_map(change).collect(),
            ..Placement::default()
        }
    }
}

fn weight_classes(problem: &Problem<'_>) -> Vec<WeightClass> {
    let mut classes: BTreeMap<u64, Vec<usize>> = BTreeMap::new();
    for (server, weight) in problem.weights().into_iter().enumerate() {
        if weight > 0.0 {
            classes.entry(weight.to_bits()).or_default().push(server);
        }
    }
    classes
        .into_iter()
        .map(|(bits, servers)| WeightClass {
            weight: f64::from_bits(bits),
            servers,
        })
        .collect()
}

fn best_server(classes: &[WeightClass], shard: usize, seed: u64) -> Option<usize> {
    let hash = |server: usize| mix(seed, shard as u64 + 1, server as u64 + 1);
    let best_of_class = |class: &WeightClass| {
        let hashes = class.servers.iter().map(|&server| (hash(server), server));
        let (hash, server) = hashes.max()?;
        let uniform = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
        Some((-class.weight / uniform.ln(), server))
    };
    classes
        .iter()
        .filter_map(best_of_class)
        .max_by(|left, right| left.0.total_cmp(&right.0))
        .map(|(_, server)| server)
}
