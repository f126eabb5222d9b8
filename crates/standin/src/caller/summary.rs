//! What a run of callers came to.
//!
//! Invariant: every request and every attempt is counted exactly once.

use std::collections::BTreeMap;
use std::time::Duration;

use grebepin_schema::Outcome;
use hdrhistogram::Histogram;
use serde::Serialize;

use super::rules::AttemptResult;
use super::ClassSpec;

/// Longest latency that histograms tell apart, in microseconds.
const LONGEST_US: u64 = 600_000_000;

/// Digits that histograms keep.
const DIGITS: u8 = 3;

/// Lateness of a start that counts as late.
const LATE: Duration = Duration::from_millis(10);

/// Latencies in ms.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct LatencySummary {
    /// Count of latencies.
    pub count: u64,
    /// Median.
    pub p50_ms: f64,
    /// 90 in 100 are at most this.
    pub p90_ms: f64,
    /// 99 in 100 are at most this.
    pub p99_ms: f64,
    /// 999 in 1000 are at most this.
    pub p999_ms: f64,
    /// Longest.
    pub longest_ms: f64,
}

/// Attempts by how they ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct AnswerCounts {
    /// Answered by the owner.
    pub answered: u64,
    /// Not run.
    pub not_run: u64,
    /// May have run.
    pub unknown: u64,
    /// No answer in time.
    pub no_answer: u64,
    /// Answers that named another request, or none, or were not whole.
    pub wrong_answer: u64,
}

/// One class's requests.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct RequestSummary {
    /// Attempts by how they ended.
    pub attempts: AnswerCounts,
    /// Attempts that a router rejected, by the kind it stated.
    pub rejected: BTreeMap<String, u64>,
    /// Requests by their last outcome, with the time from the intended start to the end of it all.
    pub requests: BTreeMap<String, LatencySummary>,
}

/// One service.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ServiceSummary {
    /// Longest time without an answered request, in ms.
    pub longest_unavailable_ms: f64,
    /// When that time began, in ms from the start of the run.
    pub unavailable_from_ms: f64,
    /// By class.
    pub classes: BTreeMap<String, RequestSummary>,
}

/// The whole run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Summary {
    /// Requests started, without resends.
    pub requests: u64,
    /// Length of the run in seconds.
    pub seconds: f64,
    /// Requests that started more than 10 ms after their time; the latencies count from the
    /// intended time all the same.
    pub late_starts: u64,
    /// By service.
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

/// Counts while the run goes on.
#[derive(Default)]
pub(super) struct Tally {
    requests: u64,
    late_starts: u64,
    services: BTreeMap<String, ServiceTally>,
}

impl Tally {
    pub(super) fn started(&mut self, late_by: Duration) {
        self.requests += 1;
        self.late_starts += u64::from(late_by > LATE);
    }

    /// Counts an attempt that ended at `at` from the start of the run.
    pub(super) fn attempt(&mut self, class: &ClassSpec, at: Duration, result: &AttemptResult) {
        let service = self.service(class);
        if result.outcome == Some(Outcome::Answered) {
            service.close_gap(at);
        }
        let tally = class_of(service, class);
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

    /// Counts the end of a request; `ending` is its last outcome.
    pub(super) fn request(&mut self, class: &ClassSpec, ending: &str, latency: Duration) {
        let service = self.service(class);
        let histograms = &mut class_of(service, class).requests;
        if !histograms.contains_key(ending) {
            let Ok(histogram) = Histogram::new_with_bounds(1, LONGEST_US, DIGITS) else {
                return;
            };
            histograms.insert(ending.to_owned(), histogram);
        }
        if let Some(histogram) = histograms.get_mut(ending) {
            histogram.saturating_record(latency.as_micros() as u64);
        }
    }

    /// The summary of a run that lasted for `length`.
    pub(super) fn summary(mut self, length: Duration) -> Summary {
        let services = self.services.iter_mut().map(|(name, tally)| {
            tally.close_gap(length);
            let classes = tally.classes.iter();
            let summary = ServiceSummary {
                longest_unavailable_ms: in_ms(tally.longest_gap),
                unavailable_from_ms: in_ms(tally.gap_from),
                classes: classes
                    .map(|(class, tally)| (class.clone(), summary_of(tally)))
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

fn class_of<'a>(service: &'a mut ServiceTally, class: &ClassSpec) -> &'a mut ClassTally {
    let name = class.class.as_str();
    service.classes.entry(name.to_owned()).or_default()
}

fn summary_of(tally: &ClassTally) -> RequestSummary {
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
