//! Disables each protection of the product in turn; the checkers must report it within the given seeds.

use grebepin_check::Promise;
use grebepin_sim::{run, select, Finding, Removal, RunGuards};

/// The kind of report that a disabled protection must cause.
enum Noticed {
    Promise(Promise),
    Finding(&'static str),
}

/// Disabled protection, scenario, number of seeds, and the report that at least one of them must give.
#[rustfmt::skip]
const CASES: [(Removal, &str, u64, Noticed); 12] = [
    (Removal::Nonce, "server-slow-network", 20, Noticed::Promise(Promise::SoleOwnership)),
    (Removal::Session, "grant-overtaken-by-lapse", 20, Noticed::Promise(Promise::SoleOwnership)),
    (Removal::LeaderLease, "leader-frozen", 20, Noticed::Finding(Finding::TWO_LEADERS)),
    (Removal::VotePromise, "follower-without-leader", 20, Noticed::Finding(Finding::TWO_LEADERS)),
    (Removal::EpochCheck, "server-cut-off", 20, Noticed::Promise(Promise::SoleOwnership)),
    (Removal::Sync, "power-loss-everywhere", 20, Noticed::Promise(Promise::AssignmentSurvives)),
    (Removal::LearnerRule, "disk-lost-and-slow-follower", 40, Noticed::Finding(Finding::COMMITTED_WITHOUT_MAJORITY)),
    (Removal::Tombstone, "calm", 20, Noticed::Promise(Promise::NotRun)),
    (Removal::ResendRule, "server-mute", 20, Noticed::Promise(Promise::AtMostOnce)),
    (Removal::CompareAndSet, "operators-race", 20, Noticed::Promise(Promise::BundleInForce)),
    (Removal::FencingBound, "server-refuses-control", 20, Noticed::Promise(Promise::SoleOwnership)),
    (Removal::MonotonicTable, "router-late-frames", 20, Noticed::Promise(Promise::BundleInForce)),
];

#[test]
fn each_protection_taken_out_is_noticed() {
    let mut unnoticed = Vec::new();
    for (removal, word, seeds, expected) in &CASES {
        let scenario = &select(word).expect("the scenario exists")[0];
        let noticed = (0..*seeds).filter(|seed| {
            let outcome = run(scenario, *seed, RunGuards::without(*removal));
            match expected {
                Noticed::Promise(promise) => {
                    let mut violations = outcome.violations.iter();
                    violations.any(|one| one.promise == *promise)
                }
                Noticed::Finding(kind) => outcome.findings.iter().any(|one| one.kind == *kind),
            }
        });
        let noticed = noticed.count();
        println!("| {removal:?} | {word} | {noticed} of {seeds} |");
        if noticed == 0 {
            unnoticed.push(format!(
                "{removal:?} in {word}: not noticed in {seeds} seeds"
            ));
        }
    }
    assert!(unnoticed.is_empty(), "{}", unnoticed.join("\n"));
}
