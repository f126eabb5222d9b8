//! Outcomes and latencies of the callers' attempts by request class.

use std::collections::BTreeMap;

use grebepin_schema::{HistoryEvent, HistoryRecord, Outcome, RequestId};
use hdrhistogram::Histogram;

const SIGNIFICANT_DIGITS: u8 = 3;
const MICROSECONDS_PER_SECOND: u64 = 1_000_000;
/// Upper bound of the histograms; a longer latency is recorded as this one.
const MAX_LATENCY_US: u64 = 3600 * MICROSECONDS_PER_SECOND;

/// Outcomes and latencies of one class. Latencies are in microseconds from the intended start of the
/// request, so that a request that starts late counts in full.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize)]
pub struct ClassLatencies {
    /// Attempts that the owner answered.
    pub answered: u64,
    /// Attempts reported as not run.
    pub not_run: u64,
    /// Attempts reported as of unknown outcome.
    pub unknown: u64,
    /// Attempts without any response.
    pub no_answer: u64,
    /// Median latency of the answered attempts.
    pub p50_us: u64,
    /// 90th percentile of the answered attempts' latencies.
    pub p90_us: u64,
    /// 99th percentile of the answered attempts' latencies.
    pub p99_us: u64,
    /// 99.9th percentile of the answered attempts' latencies.
    pub p999_us: u64,
    /// Longest latency of an answered attempt.
    pub slowest_us: u64,
}

/// Outcomes and latencies of all classes.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize)]
pub struct Latencies {
    /// By service and class, with keys of the form `SERVICE CLASS`.
    pub classes: BTreeMap<String, ClassLatencies>,
}

impl Latencies {
    /// Collects the attempts of a run's histories.
    pub fn from_records(records: &[HistoryRecord]) -> Self {
        let names = class_names(records);
        let mut collected: BTreeMap<String, (ClassLatencies, Histogram<u64>)> = BTreeMap::new();
        for record in records {
            let HistoryEvent::Finished(answer) = &record.event else {
                continue;
            };
            let Some(name) = names.get(&answer.request_id) else {
                continue;
            };
            let (class, histogram) = collected
                .entry(name.clone())
                .or_insert_with(|| (ClassLatencies::default(), empty_histogram()));
            match answer.outcome {
                Some(Outcome::Answered) => {
                    class.answered += 1;
                    histogram.saturating_record(answer.latency_us);
                }
                Some(Outcome::NotRun) => class.not_run += 1,
                Some(Outcome::Unknown) => class.unknown += 1,
                None => class.no_answer += 1,
            }
        }
        let finish = |(name, (class, histogram))| (name, with_percentiles(class, &histogram));
        Self {
            classes: collected.into_iter().map(finish).collect(),
        }
    }
}

/// Number of answered attempts in each second after `started_us`.
pub fn answered_by_second(records: &[HistoryRecord], started_us: u64) -> Vec<u64> {
    let mut seconds = Vec::new();
    for record in records {
        let HistoryEvent::Finished(answer) = &record.event else {
            continue;
        };
        if answer.outcome != Some(Outcome::Answered) {
            continue;
        }
        let since = record.at_us.saturating_sub(started_us);
        let second = (since / MICROSECONDS_PER_SECOND) as usize;
        if seconds.len() <= second {
            seconds.resize(second + 1, 0);
        }
        seconds[second] += 1;
    }
    seconds
}

fn class_names(records: &[HistoryRecord]) -> BTreeMap<RequestId, String> {
    let sent = records.iter().filter_map(|record| match &record.event {
        HistoryEvent::Sent(attempt) => Some(attempt),
        _ => None,
    });
    sent.map(|attempt| {
        let name = format!("{} {}", attempt.service.as_str(), attempt.class.as_str());
        (attempt.request_id.clone(), name)
    })
    .collect()
}

fn empty_histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        .expect("an hour and three significant digits are allowed")
}

fn with_percentiles(class: ClassLatencies, histogram: &Histogram<u64>) -> ClassLatencies {
    ClassLatencies {
        p50_us: histogram.value_at_quantile(0.5),
        p90_us: histogram.value_at_quantile(0.9),
        p99_us: histogram.value_at_quantile(0.99),
        p999_us: histogram.value_at_quantile(0.999),
        slowest_us: histogram.max(),
        ..class
    }
}
