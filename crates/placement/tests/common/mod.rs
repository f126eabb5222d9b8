//! Builders shared by the tests of placement.
#![allow(dead_code)]

use grebepin_placement::Candidate;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Settings of property tests: the same cases in each run.
pub fn fixed_cases(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(20_261_202),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

pub fn candidates(weights: &[f64]) -> Vec<Candidate> {
    let candidate = |&weight| Candidate {
        weight,
        eligible: true,
    };
    weights.iter().map(candidate).collect()
}

/// Arbitrary servers, including invalid weights, and owners that may be out of range.
pub fn any_fleet() -> impl Strategy<Value = (Vec<Candidate>, Vec<Option<usize>>)> {
    let weight = prop_oneof![
        6 => 0.1..10.0f64,
        1 => Just(0.0),
        1 => Just(-1.0),
        1 => Just(f64::NAN),
        1 => Just(f64::INFINITY),
    ];
    let candidate = (weight, prop::bool::weighted(0.8))
        .prop_map(|(weight, eligible)| Candidate { weight, eligible });
    let candidates = prop::collection::vec(candidate, 0..12);
    let owners = prop::collection::vec(prop::option::of(0..14usize), 0..120);
    (candidates, owners)
}

pub fn can_own(candidates: &[Candidate], server: usize) -> bool {
    candidates
        .get(server)
        .is_some_and(|one| one.eligible && one.weight.is_finite() && one.weight > 0.0)
}

pub fn counts(servers: usize, owners: &[Option<usize>]) -> Vec<usize> {
    let mut counts = vec![0; servers];
    for &server in owners.iter().flatten() {
        counts[server] += 1;
    }
    counts
}

pub fn round_robin(servers: usize, shards: usize) -> Vec<Option<usize>> {
    (0..shards).map(|shard| Some(shard % servers)).collect()
}
