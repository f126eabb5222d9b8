//! Measurements of a placement, and the rows of the table.

use std::time::Instant;

use grebepin_placement::algorithms::Algorithm;
use grebepin_placement::Candidate;

use crate::fleet::Size;
use crate::scenario::Scenario;

/// Measurements of one placement.
pub struct Measured {
    imbalance_keys: f64,
    imbalance_load: f64,
    changes: usize,
    least: usize,
    messages: u64,
    rounds: u32,
    milliseconds: f64,
}

impl Measured {
    pub fn of(algorithm: &dyn Algorithm, scenario: Scenario, size: &Size, seed: u64) -> Self {
        let case = scenario.case(algorithm, size, seed);
        let start = Instant::now();
        let placement = algorithm.place(&case.problem(), seed);
        let elapsed = start.elapsed();
        let owners = placement.owners_after(&case.owners);
        let changed = |(before, after): &(&Option<usize>, &Option<usize>)| before != after;
        let ones = vec![1.0; size.shards];
        Self {
            imbalance_keys: most_over_share(&case.candidates, &owners, &ones),
            imbalance_load: most_over_share(&case.candidates, &owners, &case.loads),
            changes: case.owners.iter().zip(&owners).filter(changed).count(),
            least: case.least_changes(),
            messages: placement.messages,
            rounds: placement.rounds,
            milliseconds: elapsed.as_secs_f64() * 1e3,
        }
    }
}

/// Largest ratio of what a server holds to its share by weight.
fn most_over_share(candidates: &[Candidate], owners: &[Option<usize>], sizes: &[f64]) -> f64 {
    let mut held = vec![0.0; candidates.len()];
    for (shard, owner) in owners.iter().enumerate() {
        if let Some(server) = owner {
            held[*server] += sizes[shard];
        }
    }
    let weight = |one: &Candidate| if one.eligible { one.weight } else { 0.0 };
    let weight_sum: f64 = candidates.iter().map(weight).sum();
    let total: f64 = held.iter().sum();
    let ratio = |(server, one): (usize, &Candidate)| match weight(one) {
        weight if weight > 0.0 => held[server] / (total * weight / weight_sum),
        _ => 0.0,
    };
    candidates.iter().enumerate().map(ratio).fold(0.0, f64::max)
}

/// One row: means over seeds, and the worst imbalance.
#[derive(Default)]
pub struct Row {
    seeds: usize,
    imbalance_keys: f64,
    imbalance_load: f64,
    worst_load: f64,
    changes: usize,
    least: usize,
    messages: u64,
    rounds: u64,
    milliseconds: f64,
}

impl Row {
    pub fn print_header() {
        println!(
            "| scenario | way | seeds | keys max/share | load max/share | worst load | \
             changes | least | changes/least | messages/change | rounds | ms |"
        );
        println!(
            "| --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |"
        );
    }

    pub fn add(&mut self, measured: &Measured) {
        self.seeds += 1;
        self.imbalance_keys += measured.imbalance_keys;
        self.imbalance_load += measured.imbalance_load;
        self.worst_load = self.worst_load.max(measured.imbalance_load);
        self.changes += measured.changes;
        self.least += measured.least;
        self.messages += measured.messages;
        self.rounds += u64::from(measured.rounds);
        self.milliseconds += measured.milliseconds;
    }

    pub fn print(&self, scenario: &str, way: &str) {
        let seeds = self.seeds as f64;
        let per = |sum: f64, count: f64| if count > 0.0 { sum / count } else { 0.0 };
        println!(
            "| {scenario} | {way} | {} | {:.3} | {:.3} | {:.3} | {:.0} | {:.0} | {:.2} | {:.2} | {:.0} | {:.2} |",
            self.seeds,
            self.imbalance_keys / seeds,
            self.imbalance_load / seeds,
            self.worst_load,
            self.changes as f64 / seeds,
            self.least as f64 / seeds,
            per(self.changes as f64, self.least as f64),
            per(self.messages as f64, self.changes as f64),
            self.rounds as f64 / seeds,
            self.milliseconds / seeds,
        );
    }
}
