//! Outcomes and latencies of callers' attempts, by class of request.

use std::collections::BTreeMap;

use grebepin_schema::{HistoryEvent, HistoryRecord, Outcome, RequestId};
use hdrhistogram::Histogram;

const SIGNIFICANT_DIGITS: u8 = 3;
const MICROSECONDS_PER_SECOND: u64 = 1_000_000;
/// Longest latency told apart; a longer one counts as this.
const LONGEST_US: u64 = 3600 * MICROSECONDS_PER_SECOND;

/// Outcomes and latencies of one class; times in microseconds from the intended start.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize)]
pub struct ClassLatencies {
    /// Attempts answered by the owner.
    pub answered: u64,
    /// Attempts called not run.
    pub not_run: u64,
    /// Attempts of unknown outcome.
    pub unknown: u64,
    /// Attempts without any answer.
    pub no_answer: u64,
    /// Median of the answered.
    pub p50_us: u64,
    /// 90 of 100 of the answered were faster.
    pub p90_us: u64,
    /// 99 of 100 of the answered were faster.
    pub p99_us: u64,
    /// 999 of 1,000 of the answered were faster.
    pub p999_us: u64,
    /// Slowest answer.
    pub slowest_us: u64,
}

/// Outcomes and latencies by `SERVICE CLASS`.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize)]
pub struct Latencies {
    /// By service and class.
    pub classes: BTreeMap<String, ClassLatencies>,
}

impl Latencies {
    /// Takes the attempts out of a history.
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

/// Answers by second since `started_us`.
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
    Histogram::new_with_max(LONGEST_US, SIGNIFICANT_DIGITS)
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
