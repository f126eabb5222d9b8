//! Recorded histories against the promises.

use std::fmt;
use std::fs::File;
use std::io::BufReader;
use std::path::{Path, PathBuf};

use grebepin_check::{
    check as check_promises, measure, read_history, CheckLimits, Measures, Report,
};
use serde::Serialize;

use crate::error::CliError;
use crate::files::file_error;

/// What a history shows.
#[derive(Serialize)]
pub(crate) struct HistoryReport {
    file: PathBuf,
    #[serde(flatten)]
    report: Report,
    measures: Measures,
}

/// Checks every promise over one history.
pub(crate) fn check(path: &Path, limits: &CheckLimits) -> Result<HistoryReport, CliError> {
    let file = File::open(path).map_err(|source| file_error(path, source))?;
    let records: Vec<_> = read_history(BufReader::new(file))
        .collect::<Result<_, _>>()
        .map_err(|source| CliError::History {
            path: path.to_owned(),
            source,
        })?;
    Ok(HistoryReport {
        file: path.to_owned(),
        report: check_promises(&records, limits),
        measures: measure(&records),
    })
}

impl HistoryReport {
    pub(crate) fn violations(&self) -> usize {
        self.report.violations.len()
    }
}

impl fmt::Display for HistoryReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counts = &self.report.counts;
        writeln!(
            formatter,
            "{}: {} records; {} attempts: {} answered, {} not run, {} unknown, {} without answer; \
             {} effects, {} faults",
            self.file.display(),
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
        for violation in &self.report.violations {
            writeln!(
                formatter,
                "  BROKEN {} at {} us: {} (records {:?})",
                violation.promise, violation.at_us, violation.explanation, violation.events
            )?;
        }
        match self.report.is_clean() {
            true => writeln!(formatter, "  every promise kept"),
            false => Ok(()),
        }
    }
}
