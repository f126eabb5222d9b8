//! Checks the product's promises over a recorded history and computes measures from it.
//!
//! For the records of one run, reports which promises were broken, when, and which records show it.
//! Invariant: checkers read only the records and never query the running system, so a fault of the
//! system can't hide itself from them.

mod holdings;
mod limits;
mod measures;
mod promises;
mod reader;
mod report;

pub use limits::CheckLimits;
pub use measures::{measure, Imbalance, Measures, ServiceMeasures};
pub use reader::{read_history, HistoryReader, ReadError, MAX_LINE_BYTES};
pub use report::{Counts, Promise, Report, Violation};

use grebepin_schema::HistoryRecord;

/// Checks every promise over the records of one run.
///
/// The records may be in any order: they are first sorted by time, and records with equal times keep
/// their relative order. [`Violation::events`] are indices into `records` as passed.
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

/// A record and its index in the slice passed by the caller.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Located<'a> {
    pub(crate) position: usize,
    pub(crate) record: &'a HistoryRecord,
}

/// The records of a run, sorted by time.
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

    /// Time of the last record in microseconds; 0 if there are no records.
    pub(crate) fn end_us(&self) -> u64 {
        self.records
            .last()
            .map_or(0, |located| located.record.at_us)
    }
}
