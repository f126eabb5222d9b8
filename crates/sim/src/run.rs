//! Runs scenarios over ranges of seeds on several threads.
//!
//! Invariant: results are ordered by seed, independent of the number of threads.

use std::ops::Range;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};

use grebepin_check::{check, measure, CheckLimits, Counts, Measures, Violation};
use grebepin_schema::HistoryRecord;
use serde::Serialize;
use sha2::{Digest as _, Sha256};

use crate::deployment::CONTROLS;
use crate::removal::RunGuards;
use crate::scenario::Scenario;
use crate::unavailable::{self, Unavailable};
use crate::world::{Finding, World};

/// Result of one run.
#[derive(Clone, Debug, Serialize)]
pub struct RunOutcome {
    /// Name of the scenario.
    pub scenario: String,
    /// Seed that the run was started with.
    pub seed: u64,
    /// Violations that the checkers reported.
    pub violations: Vec<Violation>,
    /// Failures of the simulator's own checks.
    pub findings: Vec<Finding>,
    /// Counts of the events in the history.
    pub counts: Counts,
    /// Churn, imbalance and unavailable time.
    pub measures: Measures,
    /// Times without a working owner and without a leader.
    pub unavailable: Unavailable,
    /// The history, ordered by time.
    #[serde(skip)]
    pub records: Vec<HistoryRecord>,
}

impl RunOutcome {
    /// Whether there are neither violations nor findings.
    pub fn is_clean(&self) -> bool {
        self.violations.is_empty() && self.findings.is_empty()
    }

    /// SHA-256 of the records as lines of JSON.
    pub fn digest(&self) -> String {
        let mut hash = Sha256::new();
        for line in self.lines() {
            hash.update(line);
            hash.update("\n");
        }
        hex::encode(hash.finalize())
    }

    /// The records as lines of JSON.
    pub fn lines(&self) -> impl Iterator<Item = String> + '_ {
        self.records.iter().map(line)
    }
}

fn line(record: &HistoryRecord) -> String {
    serde_json::to_string(record).expect("records encode as JSON")
}

/// Runs one scenario with one seed.
pub fn run(scenario: &Scenario, seed: u64, guards: RunGuards) -> RunOutcome {
    let mut world = World::new(scenario, seed, guards);
    world.run();
    let without_leader_us = world.longest_without_leader();
    let (records, findings) = world.into_parts();
    let limits = CheckLimits {
        control_replicas: CONTROLS,
        ..CheckLimits::default()
    };
    let report = check(&records, &limits);
    RunOutcome {
        scenario: scenario.name.clone(),
        seed,
        violations: report.violations,
        findings,
        counts: report.counts,
        measures: measure(&records),
        unavailable: unavailable::measure(&records, without_leader_us),
        records,
    }
}

/// Results of the runs of one scenario.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Batch {
    /// Name of the scenario.
    pub scenario: String,
    /// Number of runs.
    pub runs: u64,
    /// Runs with at least one violation.
    pub broken: u64,
    /// Runs with at least one finding.
    pub found: u64,
    /// Requests answered over all runs.
    pub answered: u64,
    /// Effects over all runs.
    pub effects: u64,
    /// The first few runs that were not clean, without their records.
    pub unclean: Vec<RunOutcome>,
    /// Unavailable times of all runs.
    #[serde(skip)]
    pub unavailable: Vec<Unavailable>,
}

/// Maximum number of outcomes in [`Batch::unclean`].
const KEPT_OUTCOMES: usize = 20;

/// Runs a scenario with every seed of a range, on `threads` threads.
pub fn run_many(
    scenario: &Scenario,
    seeds: Range<u64>,
    guards: RunGuards,
    threads: usize,
) -> Batch {
    let count = usize::try_from(seeds.end.saturating_sub(seeds.start)).unwrap_or(usize::MAX);
    let next = AtomicUsize::new(0);
    let outcomes = Mutex::new(Vec::with_capacity(count));
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(|| loop {
                let place = next.fetch_add(1, Ordering::Relaxed);
                if place >= count {
                    break;
                }
                let mut outcome = run(scenario, seeds.start + place as u64, guards);
                outcome.records = Vec::new();
                let mut outcomes = outcomes.lock().unwrap_or_else(PoisonError::into_inner);
                outcomes.push(outcome);
            });
        }
    });
    let mut outcomes = outcomes
        .into_inner()
        .unwrap_or_else(PoisonError::into_inner);
    outcomes.sort_by_key(|outcome| outcome.seed);
    summarize(scenario, outcomes)
}

fn summarize(scenario: &Scenario, outcomes: Vec<RunOutcome>) -> Batch {
    let mut batch = Batch {
        scenario: scenario.name.clone(),
        ..Batch::default()
    };
    for outcome in outcomes {
        batch.runs += 1;
        batch.broken += u64::from(!outcome.violations.is_empty());
        batch.found += u64::from(!outcome.findings.is_empty());
        batch.answered += outcome.counts.answered;
        batch.effects += outcome.counts.effects;
        batch.unavailable.push(outcome.unavailable.clone());
        if !outcome.is_clean() && batch.unclean.len() < KEPT_OUTCOMES {
            batch.unclean.push(outcome);
        }
    }
    batch
}
