//! What the checkers say.

use grebepin_schema::{HistoryEvent, HistoryRecord, Outcome};
use serde::Serialize;

/// A promise to the users.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Promise {
    /// No key is owned by more than one server at any moment.
    SoleOwnership,
    /// An acknowledged assignment survives.
    AssignmentSurvives,
    /// A caller receives the whole answer to its own request.
    WholeAnswer,
    /// A request that was called not run was not run.
    NotRun,
    /// A request that may not be repeated runs at most once.
    AtMostOnce,
    /// A leaving back end receives no new work after a few seconds.
    LeavingGetsNoWork,
    /// A planned stop cuts no request in flight.
    PlannedStop,
    /// An accepted bundle is in force everywhere within seconds and never reverts.
    BundleInForce,
}

impl Promise {
    /// Every promise, in the order of the users' list.
    pub const ALL: [Promise; 8] = [
        Promise::SoleOwnership,
        Promise::AssignmentSurvives,
        Promise::WholeAnswer,
        Promise::NotRun,
        Promise::AtMostOnce,
        Promise::LeavingGetsNoWork,
        Promise::PlannedStop,
        Promise::BundleInForce,
    ];

    /// Name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Promise::SoleOwnership => "sole-ownership",
            Promise::AssignmentSurvives => "assignment-survives",
            Promise::WholeAnswer => "whole-answer",
            Promise::NotRun => "not-run",
            Promise::AtMostOnce => "at-most-once",
            Promise::LeavingGetsNoWork => "leaving-gets-no-work",
            Promise::PlannedStop => "planned-stop",
            Promise::BundleInForce => "bundle-in-force",
        }
    }
}

impl std::fmt::Display for Promise {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(self.name())
    }
}

/// One broken promise.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// Promise that was broken.
    pub promise: Promise,
    /// When, in microseconds on the run's clock.
    pub at_us: u64,
    /// Positions of the records that show it.
    pub events: Vec<usize>,
    /// What happened, for people.
    pub explanation: String,
}

/// What a history holds, so that a report without violations can be told from one without work.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Records.
    pub records: u64,
    /// Holds of a shard that began.
    pub acquired: u64,
    /// Effects made visible.
    pub effects: u64,
    /// Attempts of callers.
    pub sent: u64,
    /// Attempts answered.
    pub answered: u64,
    /// Attempts called not run.
    pub not_run: u64,
    /// Attempts of unknown outcome.
    pub unknown: u64,
    /// Attempts without an answer.
    pub unanswered: u64,
    /// Assignments acknowledged.
    pub acknowledged: u64,
    /// Bundles accepted.
    pub accepted: u64,
    /// Tables put in force.
    pub in_force: u64,
    /// Faults.
    pub faults: u64,
}

/// The outcome of a check.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Report {
    /// Broken promises, in the order of their times.
    pub violations: Vec<Violation>,
    /// What the history holds.
    pub counts: Counts,
}

impl Report {
    /// Whether every promise was kept.
    pub fn is_clean(&self) -> bool {
        self.violations.is_empty()
    }

    /// Whether this promise was broken.
    pub fn breaks(&self, promise: Promise) -> bool {
        self.violations
            .iter()
            .any(|violation| violation.promise == promise)
    }
}

pub(crate) fn count(records: &[HistoryRecord]) -> Counts {
    let mut counts = Counts::default();
    for record in records {
        counts.records += 1;
        let counter = match &record.event {
            HistoryEvent::Acquired(_) => &mut counts.acquired,
            HistoryEvent::Effect(_) => &mut counts.effects,
            HistoryEvent::Sent(_) => &mut counts.sent,
            HistoryEvent::Finished(answer) => match answer.outcome {
                Some(Outcome::Answered) => &mut counts.answered,
                Some(Outcome::NotRun) => &mut counts.not_run,
                Some(Outcome::Unknown) => &mut counts.unknown,
                None => &mut counts.unanswered,
            },
            HistoryEvent::Acknowledged(_) => &mut counts.acknowledged,
            HistoryEvent::Accepted(_) => &mut counts.accepted,
            HistoryEvent::InForce(_) => &mut counts.in_force,
            HistoryEvent::Killed(_) | HistoryEvent::Frozen(_) | HistoryEvent::CutOff(_) => {
                &mut counts.faults
            }
            _ => continue,
        };
        *counter += 1;
    }
    counts
}
