//! Report of a check: violations of promises, and counts of the records.

use grebepin_schema::{HistoryEvent, HistoryRecord, Outcome};
use serde::Serialize;

/// A guarantee that the product gives to its users.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Promise {
    /// No key is owned by more than one server at any time.
    SoleOwnership,
    /// An acknowledged assignment is never lost.
    AssignmentSurvives,
    /// A caller receives the whole answer to its own request.
    WholeAnswer,
    /// A request that was reported as not run was not run.
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
    /// Every promise, in the order in which the documentation lists them.
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

    /// Name of the promise in reports; the same as its serialized form.
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

/// One violation of a promise.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// Promise that was broken.
    pub promise: Promise,
    /// Time of the violation in microseconds on the clock of the run.
    pub at_us: u64,
    /// Indices of the records that show the violation.
    pub events: Vec<usize>,
    /// Human-readable description.
    pub explanation: String,
}

/// Counts of the records of a history. They distinguish a run without violations from a run in which
/// nothing happened.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// All records.
    pub records: u64,
    /// Holds of a shard that began.
    pub acquired: u64,
    /// Requests whose effect became visible.
    pub effects: u64,
    /// Attempts that callers sent.
    pub sent: u64,
    /// Attempts that were answered.
    pub answered: u64,
    /// Attempts that were reported as not run.
    pub not_run: u64,
    /// Attempts reported with an unknown outcome.
    pub unknown: u64,
    /// Attempts that ended without an answer.
    pub unanswered: u64,
    /// Acknowledgements of assignments.
    pub acknowledged: u64,
    /// Acceptances of bundles.
    pub accepted: u64,
    /// Routing tables put in force by routers.
    pub in_force: u64,
    /// Injected faults: processes killed, frozen or cut off.
    pub faults: u64,
}

/// Result of a check.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Report {
    /// Violations, sorted by time.
    pub violations: Vec<Violation>,
    /// Counts of the records that were checked.
    pub counts: Counts,
}

impl Report {
    /// Whether there are no violations.
    pub fn is_clean(&self) -> bool {
        self.violations.is_empty()
    }

    /// Whether there is a violation of `promise`.
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
