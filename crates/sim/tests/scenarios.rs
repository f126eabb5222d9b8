//! Runs every scenario with fixed seeds: no promise may be broken, and the system must recover.

use std::collections::BTreeSet;

use grebepin_sim::{run, run_many, select, RunGuards, Scenario};

const THREADS: usize = 4;

fn keeps_every_promise(scenarios: &[Scenario], seeds: std::ops::Range<u64>) {
    let mut faults = Vec::new();
    for scenario in scenarios.iter().filter(|scenario| !scenario.must_break) {
        let batch = run_many(scenario, seeds.clone(), RunGuards::default(), THREADS);
        assert!(
            batch.answered > 50 * batch.runs,
            "{}: too few answered requests",
            scenario.name
        );
        for outcome in batch.unclean {
            let violations = outcome.violations.iter().map(|one| one.explanation.clone());
            let findings = outcome.findings.iter().map(|one| one.explanation.clone());
            let explanations: Vec<String> = violations.chain(findings).collect();
            faults.push(format!(
                "{} seed {}: {explanations:?}",
                outcome.scenario, outcome.seed
            ));
        }
    }
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}

#[test]
fn each_row_alone() {
    keeps_every_promise(&select("rows").expect("the table parses"), 0..6);
}

#[test]
fn each_row_twice() {
    keeps_every_promise(&select("twice").expect("the table parses"), 0..3);
}

#[test]
fn each_pair_of_rows() {
    keeps_every_promise(&select("pairs").expect("the table parses"), 0..2);
}

#[test]
fn a_broken_drift_bound_is_noticed() {
    let scenarios = select("drift-bound-broken").expect("the scenario exists");
    let batch = run_many(&scenarios[0], 0..10, RunGuards::default(), THREADS);
    let noticed = batch.unclean.iter().any(|outcome| {
        let mut violations = outcome.violations.iter();
        violations.any(|one| one.promise == grebepin_check::Promise::SoleOwnership)
    });
    assert!(noticed, "no overlap of owners in 10 seeds");
}

#[test]
fn the_same_seed_gives_the_same_bytes() {
    for word in ["network-noisy", "zone-cut", "leader-killed+disk-lost"] {
        let scenario = &select(word).expect("the scenario exists")[0];
        let one = run(scenario, 7, RunGuards::default());
        let other = run(scenario, 7, RunGuards::default());
        assert_eq!(
            one.lines().collect::<Vec<_>>(),
            other.lines().collect::<Vec<_>>()
        );
        assert_eq!(one.digest(), other.digest());
        assert_ne!(
            one.digest(),
            run(scenario, 8, RunGuards::default()).digest()
        );
    }
}

#[test]
fn the_number_of_threads_changes_nothing() {
    let scenario = &select("server-killed").expect("the scenario exists")[0];
    let one = run_many(scenario, 0..6, RunGuards::default(), 1);
    let many = run_many(scenario, 0..6, RunGuards::default(), THREADS);
    assert_eq!(one.unavailable, many.unavailable);
    assert_eq!((one.answered, one.effects), (many.answered, many.effects));
}

#[test]
fn names_of_scenarios_are_unique() {
    let scenarios = select("all").expect("the table parses");
    let names: BTreeSet<&str> = scenarios.iter().map(|one| one.name.as_str()).collect();
    assert_eq!(names.len(), scenarios.len());
}
