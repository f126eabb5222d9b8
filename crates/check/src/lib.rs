//! Checkers of the promises over a recorded history, and the measures taken from it.
//!
//! Job: given the records of one run, say which promises were broken, when, and by which records.
//! Invariant: a checker reads records only. It never asks the product whether it is right.

mod holdings;
mod limits;
mod measures;
mod promises;
mod reader;
mod report;

pub use limits::CheckLimits;
pub use measures::{measure, Imbalance, Measures, ServiceMeasures};
pub use reader::{read_history, HistoryReader, ReadError, MAXIMUM_LINE_BYTES};
pub use report::{Counts, Promise, Report, Violation};

use grebepin_schema::HistoryRecord;

/// Checks every promise over the records of one run.
///
/// Records may come in any order: they are put in the order of their times first, and records of the
/// same time keep their order. [`Violation::events`] are positions in `records` as given.
pub fn check(records: &[HistoryRecord], limits: &CheckLimits) -> Report {
    let history = History::new(records);
    let mut violations = Vec::new();
    for checker in promises::ALL {
        violations.extend(checker(&history, limits));
    }
    violations.sort_by_key(|violation| violation.at_us);
    Report {
        violations,
        counts: report::count(records),
    }
}

/// A record and its position in the history as given.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Located<'a> {
    pub(crate) position: usize,
    pub(crate) record: &'a HistoryRecord,
}

/// The records in the order of their times.
pub(crate) struct History<'a> {
    pub(crate) records: Vec<Located<'a>>,
}

impl<'a> History<'a> {
    fn new(records: &'a [HistoryRecord]) -> Self {
        let mut located: Vec<Located<'a>> = records
            .iter()
            .enumerate()
            .map(|(position, record)| Located { position, record })
            .collect();
        located.sort_by_key(|located| located.record.at_us);
        Self { records: located }
    }

    /// Time of the last record in microseconds; 0 without records.
    pub(crate) fn end_us(&self) -> u64 {
        self.records
            .last()
            .map_or(0, |located| located.record.at_us)
    }
}
