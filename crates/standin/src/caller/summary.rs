//! Summary of a run of callers.
//!
//! Invariant: every request and every attempt is counted by exactly one outcome.

use std::collections::BTreeMap;
use std::time::Duration;

use grebepin_schema::Outcome;
use hdrhistogram::Histogram;
use serde::Serialize;

use super::rules::AttemptResult;
use super::ClassSpec;

/// Maximum latency that histograms can record, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Significant decimal digits that histograms keep.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Delay after the intended start above which a start counts as late.
const LATE_START_THRESHOLD: Duration = Duration::from_millis(10);

/// Distribution of latencies in ms.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct LatencySummary {
    /// Number of latencies.
    pub count: u64,
    /// Median.
    pub p50_ms: f64,
    /// 90th percentile.
    pub p90_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// 99.9th percentile.
    pub p999_ms: f64,
    /// Maximum.
    pub longest_ms: f64,
}

/// Numbers of attempts by result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct AnswerCounts {
    /// Answered by the owner.
    pub answered: u64,
    /// Reported as not run.
    pub not_run: u64,
    /// Reported with an unknown outcome: may have run.
    pub unknown: u64,
    /// Without an answer in time.
    pub no_answer: u64,
    /// Answers with an outcome but an invalid body: one that doesn't name the request and its key, or
    /// isn't a rejection. Each is also counted by its outcome.
    pub wrong_answer: u64,
}

/// Summary of the requests of one class.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct RequestSummary {
    /// Numbers of attempts by result.
    pub attempts: AnswerCounts,
    /// Attempts that a router rejected, by the kind of rejection.
    pub rejected: BTreeMap<String, u64>,
    /// Latencies by the last outcome of a request, from its intended start to the end of its last
    /// attempt or lookup.
    pub requests: BTreeMap<String, LatencySummary>,
}

/// Summary of one service.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ServiceSummary {
    /// Longest time without an answered request, in ms.
    pub longest_unavailable_ms: f64,
    /// Start of that time, in ms from the start of the run.
    pub unavailable_from_ms: f64,
    /// Summaries by class name.
    pub classes: BTreeMap<String, RequestSummary>,
}

/// Summary of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Summary {
    /// Number of requests started, not counting resends.
    pub requests: u64,
    /// Length of the run in seconds.
    pub seconds: f64,
    /// Requests that started more than 10 ms after their intended start. Their latencies still count
    /// from the intended start.
    pub late_starts: u64,
    /// Summaries by service name.
    pub services: BTreeMap<String, ServiceSummary>,
}

#[derive(Default)]
struct ClassTally {
    attempts: AnswerCounts,
    rejected: BTreeMap<String, u64>,
    requests: BTreeMap<String, Histogram<u64>>,
}

#[derive(Default)]
struct ServiceTally {
    last_answer: Duration,
    longest_gap: Duration,
    gap_from: Duration,
    classes: BTreeMap<String, ClassTally>,
}

impl ServiceTally {
    fn close_gap(&mut self, at: Duration) {
        let gap = at.saturating_sub(self.last_answer);
        if gap > self.longest_gap {
            self.longest_gap = gap;
            self.gap_from = self.last_answer;
        }
        self.last_answer = self.last_answer.max(at);
    }
}

/// Counters of a run in progress.
#[derive(Default)]
pub(super) struct Tally {
    requests: u64,
    late_starts: u64,
    services: BTreeMap<String, ServiceTally>,
}

impl Tally {
    pub(super) fn started(&mut self, late_by: Duration) {
        self.requests += 1;
        self.late_starts += u64::from(late_by > LATE_START_THRESHOLD);
    }

    /// Counts an attempt that ended at `at`, relative to the start of the run.
    pub(super) fn attempt(&mut self, class: &ClassSpec, at: Duration, result: &AttemptResult) {
        let service = self.service(class);
        if result.outcome == Some(Outcome::Answered) {
            service.close_gap(at);
        }
        let tally = class_tally_mut(service, class);
        let counts = &mut tally.attempts;
        match result.outcome {
            Some(Outcome::Answered) => counts.answered += 1,
            Some(Outcome::NotRun) => counts.not_run += 1,
            Some(Outcome::Unknown) => counts.unknown += 1,
            None => counts.no_answer += 1,
        }
        counts.wrong_answer += u64::from(result.outcome.is_some() && !result.whole);
        if let Some(kind) = &result.rejected {
            *tally.rejected.entry(kind.clone()).or_default() += 1;
        }
    }

    /// Counts a finished request; `ending` is the key of its last outcome in the summary.
    pub(super) fn request(&mut self, class: &ClassSpec, ending: &str, latency: Duration) {
        let service = self.service(class);
        let histograms = &mut class_tally_mut(service, class).requests;
        if !histograms.contains_key(ending) {
            let Ok(histogram) = Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
            else {
                return;
            };
            histograms.insert(ending.to_owned(), histogram);
        }
        if let Some(histogram) = histograms.get_mut(ending) {
            histogram.saturating_record(latency.as_micros() as u64);
        }
    }

    /// Returns the summary of a run that took `length`.
    pub(super) fn summary(mut self, length: Duration) -> Summary {
        let services = self.services.iter_mut().map(|(name, tally)| {
            tally.close_gap(length);
            let classes = tally.classes.iter();
            let summary = ServiceSummary {
                longest_unavailable_ms: in_ms(tally.longest_gap),
                unavailable_from_ms: in_ms(tally.gap_from),
                classes: classes
                    .map(|(class, tally)| (class.clone(), summarize_class(tally)))
                    .collect(),
            };
            (name.clone(), summary)
        });
        Summary {
            services: services.collect(),
            requests: self.requests,
            late_starts: self.late_starts,
            seconds: length.as_secs_f64(),
        }
    }

    fn service(&mut self, class: &ClassSpec) -> &mut ServiceTally {
        let name = class.service.as_str();
        self.services.entry(name.to_owned()).or_default()
    }
}

fn class_tally_mut<'a>(service: &'a mut ServiceTally, class: &ClassSpec) -> &'a mut ClassTally {
    let name = class.class.as_str();
    service.classes.entry(name.to_owned()).or_default()
}

fn summarize_class(tally: &ClassTally) -> RequestSummary {
    let requests = tally.requests.iter();
    RequestSummary {
        attempts: tally.attempts,
        rejected: tally.rejected.clone(),
        requests: requests
            .map(|(ending, histogram)| (ending.clone(), latencies(histogram)))
            .collect(),
    }
}

fn latencies(histogram: &Histogram<u64>) -> LatencySummary {
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
    LatencySummary {
        count: histogram.len(),
        p50_ms: at(0.5),
        p90_ms: at(0.9),
        p99_ms: at(0.99),
        p999_ms: at(0.999),
        longest_ms: histogram.max() as f64 / 1000.0,
    }
}

fn in_ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}
