//! Report of a run: outcomes, latencies, measures by service, and violated promises.

mod html;
mod latency;
mod plots;
mod text;

use std::path::PathBuf;

use grebepin_check::{check, measure, CheckLimits, Measures, Report};
use grebepin_schema::{HistoryEvent, HistoryRecord, Step};

pub use html::render_html;
pub use latency::{ClassLatencies, Latencies};
pub use text::render_text;

/// Why a report could not be written.
#[derive(Debug, thiserror::Error)]
pub enum ReportError {
    /// A file could not be written.
    #[error("{path}: {source}")]
    Write {
        /// File.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// The report could not be serialized as JSON.
    #[error("the report can't be serialized as JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// A plot could not be drawn.
    #[error("a plot can't be drawn: {0}")]
    Plot(String),
}

/// Report of one run.
#[derive(Debug, serde::Serialize)]
pub struct RunReport {
    /// Name of the experiment.
    pub experiment: String,
    /// The machine's load average over the last minute when the report was made; `None` where the system
    /// does not provide it.
    pub load_average: Option<f64>,
    /// Outcomes and latencies by class.
    pub latencies: Latencies,
    /// Unavailability, churn and imbalance by service.
    pub measures: Measures,
    /// Result of the checks of every promise.
    pub check: Report,
    /// Number of answered attempts in each second of the run.
    pub answered_by_second: Vec<u64>,
    /// Faults and operator actions of the experiment.
    pub steps: Vec<Step>,
}

impl RunReport {
    /// Builds the report from the records of a run. The run starts when the first attempt is sent.
    pub fn new(
        name: &str,
        records: &[HistoryRecord],
        steps: &[Step],
        limits: &CheckLimits,
    ) -> Self {
        let started_us = first_sent(records);
        Self {
            experiment: name.to_string(),
            load_average: load_average(),
            latencies: Latencies::from_records(records),
            measures: measure(records),
            check: check(records, limits),
            answered_by_second: latency::answered_by_second(records, started_us),
            steps: steps.to_vec(),
        }
    }

    /// Whether no promise was violated.
    pub fn is_clean(&self) -> bool {
        self.check.is_clean()
    }
}

fn first_sent(records: &[HistoryRecord]) -> u64 {
    let sent = records
        .iter()
        .filter(|record| matches!(record.event, HistoryEvent::Sent(_)))
        .map(|record| record.at_us);
    sent.min().unwrap_or_default()
}

/// The machine's load average over the last minute; `None` where the system does not provide it.
pub fn load_average() -> Option<f64> {
    let text = std::fs::read_to_string("/proc/loadavg").ok()?;
    text.split(' ').next()?.parse().ok()
}
