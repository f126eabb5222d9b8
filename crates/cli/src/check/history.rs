//! Checks recorded histories for violated promises.
//!
//! Invariant: the files of one run are checked as one history, since a violation may involve two
//! processes that write separate files.

use std::fmt;
use std::fs::File;
use std::io::BufReader;
use std::path::{Path, PathBuf};

use grebepin_check::{
    check as check_promises, measure, read_history, CheckLimits, Counts, Measures, Violation,
};
use grebepin_schema::HistoryRecord;
use serde::Serialize;

use crate::error::CliError;
use crate::files::file_error;

/// Maximum number of violations in the text output; the JSON output has all.
const VIOLATIONS_SHOWN: usize = 20;

/// Result of checking the history of one run.
#[derive(Serialize)]
pub(crate) struct HistoryReport {
    files: Vec<PathBuf>,
    counts: Counts,
    measures: Measures,
    violations: Vec<BrokenPromise>,
}

/// A violation with the records that prove it.
#[derive(Serialize)]
struct BrokenPromise {
    promise: &'static str,
    at_us: u64,
    explanation: String,
    records: Vec<RecordPlace>,
}

/// Position of a record.
#[derive(Clone, Serialize)]
struct RecordPlace {
    file: PathBuf,
    /// Number of the record within its file, from 1; empty lines don't count.
    number: usize,
}

/// Checks every promise on the files of one run.
pub(crate) fn check(paths: &[PathBuf], limits: &CheckLimits) -> Result<HistoryReport, CliError> {
    let mut records = Vec::new();
    let mut places = Vec::new();
    for path in paths {
        for (position, record) in read(path)?.into_iter().enumerate() {
            places.push(RecordPlace {
                file: path.clone(),
                number: position + 1,
            });
            records.push(record);
        }
    }
    let report = check_promises(&records, limits);
    let violations = report.violations.into_iter();
    Ok(HistoryReport {
        files: paths.to_vec(),
        counts: report.counts,
        measures: measure(&records),
        violations: violations
            .map(|violation| located(violation, &places))
            .collect(),
    })
}

fn read(path: &Path) -> Result<Vec<HistoryRecord>, CliError> {
    let file = File::open(path).map_err(|source| file_error(path, source))?;
    read_history(BufReader::new(file))
        .collect::<Result<_, _>>()
        .map_err(|source| CliError::History {
            path: path.to_owned(),
            source,
        })
}

fn located(violation: Violation, places: &[RecordPlace]) -> BrokenPromise {
    let events = violation.events.iter();
    BrokenPromise {
        promise: violation.promise.name(),
        at_us: violation.at_us,
        explanation: violation.explanation,
        records: events
            .filter_map(|event| places.get(*event).cloned())
            .collect(),
    }
}

impl HistoryReport {
    pub(crate) fn violations(&self) -> usize {
        self.violations.len()
    }
}

impl fmt::Display for HistoryReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counts = &self.counts;
        writeln!(
            formatter,
            "history of {} file(s): {} records; {} attempts: {} answered, {} not run, {} unknown, \
             {} without answer; {} effects, {} faults",
            self.files.len(),
            counts.records,
            counts.sent,
            counts.answered,
            counts.not_run,
            counts.unknown,
            counts.unanswered,
            counts.effects,
            counts.faults
        )?;
        for (service, measures) in &self.measures.services {
            writeln!(
                formatter,
                "  {service}: {} owner changes, imbalance {:.3}, longest without an answer {} ms",
                measures.owner_changes,
                measures.imbalance.shards,
                measures.longest_unanswered_us / 1000
            )?;
        }
        for violation in self.violations.iter().take(VIOLATIONS_SHOWN) {
            write!(formatter, "{violation}")?;
        }
        let hidden = self.violations.len().saturating_sub(VIOLATIONS_SHOWN);
        if hidden > 0 {
            writeln!(formatter, "  and {hidden} more, see --json")?;
        }
        match (self.violations.is_empty(), counts.sent + counts.effects) {
            (false, _) => Ok(()),
            (true, 0) => writeln!(
                formatter,
                "  nothing was sent or run, so this shows nothing"
            ),
            (true, _) => writeln!(formatter, "  every promise kept"),
        }
    }
}

impl fmt::Display for BrokenPromise {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (promise, at_us, explanation) = (self.promise, self.at_us, &self.explanation);
        writeln!(formatter, "  BROKEN {promise} at {at_us} us: {explanation}")?;
        for record in &self.records {
            let file = record.file.display();
            writeln!(formatter, "    {file} record {}", record.number)?;
        }
        Ok(())
    }
}
