//! Prints the comparison of the placement algorithms, and the cost of deriving new owners after a loss.
//!
//! `cargo run --release -p grebepin-placement --example placement_table -- [small,middle,large] [SEEDS]`

mod fleet;
mod measure;
mod scenario;
mod study;

use fleet::{Size, SIZES};
use grebepin_placement::algorithms::{Algorithm, Greedy, Rendezvous, ThresholdRounds, TwoChoices};
use measure::{Measured, Row};
use scenario::SCENARIOS;

const DEFAULT_SEEDS: u64 = 20;
const ALGORITHMS: [&dyn Algorithm; 4] = [&Greedy, &Rendezvous, &TwoChoices, &ThresholdRounds];

fn main() {
    let mut arguments = std::env::args().skip(1);
    let wanted = arguments.next();
    let seeds = arguments.next().and_then(|text| text.parse().ok());
    let seeds = seeds.unwrap_or(DEFAULT_SEEDS);
    let is_wanted = |size: &&Size| {
        let names = wanted.as_deref().map(|names| names.split(','));
        names.is_none_or(|mut names| names.any(|name| name == size.name))
    };
    for size in SIZES.iter().filter(is_wanted) {
        print_comparison(size, seeds);
        study::print(size);
    }
}

fn print_comparison(size: &Size, seeds: u64) {
    println!(
        "\n## {} servers, {} shards, {} zones\n",
        size.servers, size.shards, size.zones
    );
    Row::print_header();
    for algorithm in ALGORITHMS {
        // Rendezvous hashing computes a score for each pair of shard and server.
        let seeds = if algorithm.name() == Rendezvous.name() {
            seeds.min(size.rendezvous_seeds)
        } else {
            seeds
        };
        let mut rows: Vec<Row> = SCENARIOS.iter().map(|_| Row::default()).collect();
        for seed in 0..seeds {
            for (scenario, row) in SCENARIOS.iter().zip(&mut rows) {
                row.add(&Measured::of(algorithm, *scenario, size, seed));
            }
        }
        for (scenario, row) in SCENARIOS.iter().zip(&rows) {
            row.print(scenario.name(), algorithm.name());
        }
    }
}
