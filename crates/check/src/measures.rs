//! Measures of a run: ownership changes, load imbalance and unavailable time.

use std::collections::{BTreeMap, BTreeSet};

use grebepin_schema::{HistoryEvent, HistoryRecord, Outcome, RequestId, ServerName, ServiceName};
use serde::Serialize;

use crate::holdings;
use crate::History;

/// Ratio of the maximum to the mean over the servers that appear in the history; 1 is even, 0 is no
/// load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Imbalance {
    /// Ratio for the shards held at the end of the history.
    pub shards: f64,
    /// Ratio for the effects made during the run.
    pub load: f64,
}

/// Measures of one service.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ServiceMeasures {
    /// Number of times that the owner of a shard changed to another server. The first owner of a shard
    /// is not counted.
    pub owner_changes: u64,
    /// Imbalance among the servers.
    pub imbalance: Imbalance,
    /// Total time between one owner and the next, summed over all shards, in microseconds.
    pub unowned_us: u64,
    /// Longest time between one owner of a shard and the next, in microseconds.
    pub longest_unowned_us: u64,
    /// Longest time in which at least one caller was waiting and none was answered, in microseconds.
    pub longest_unanswered_us: u64,
}

/// Measures of every service in a history.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Measures {
    /// Measures by service name.
    pub services: BTreeMap<String, ServiceMeasures>,
}

/// Computes the measures of a history. The records may be in any order.
pub fn measure(records: &[HistoryRecord]) -> Measures {
    let history = History::new(records);
    let mut measures = Measures::default();
    measure_ownership(&history, &mut measures);
    measure_load(&history, &mut measures);
    measure_answers(&history, &mut measures);
    measures
}

fn service_measures_mut<'m>(
    measures: &'m mut Measures,
    service: &ServiceName,
) -> &'m mut ServiceMeasures {
    measures
        .services
        .entry(service.as_str().to_string())
        .or_default()
}

fn measure_ownership(history: &History<'_>, measures: &mut Measures) {
    let mut held: BTreeMap<ServiceName, BTreeMap<ServerName, u64>> = BTreeMap::new();
    for ((service, _), list) in holdings::collect(history) {
        let service_measures = service_measures_mut(measures, &service);
        for pair in list.windows(2) {
            let gap_us = pair[1].from_us.saturating_sub(pair[0].until_us);
            service_measures.unowned_us += gap_us;
            service_measures.longest_unowned_us = service_measures.longest_unowned_us.max(gap_us);
            if pair[0].server != pair[1].server {
                service_measures.owner_changes += 1;
            }
        }
        let servers = held.entry(service).or_default();
        for hold in &list {
            *servers.entry(hold.server.clone()).or_default() +=
                u64::from(hold.until_us == u64::MAX);
        }
    }
    for (service, servers) in held {
        service_measures_mut(measures, &service).imbalance.shards =
            max_to_mean_ratio(servers.values());
    }
}

fn measure_load(history: &History<'_>, measures: &mut Measures) {
    let mut effects: BTreeMap<&ServiceName, BTreeMap<&ServerName, u64>> = BTreeMap::new();
    for located in &history.records {
        if let HistoryEvent::Effect(effect) = &located.record.event {
            let servers = effects.entry(&effect.service).or_default();
            *servers.entry(&effect.server).or_default() += 1;
        }
    }
    for (service, servers) in effects {
        service_measures_mut(measures, service).imbalance.load =
            max_to_mean_ratio(servers.values());
    }
}

fn max_to_mean_ratio<'a>(counts: impl Iterator<Item = &'a u64> + Clone) -> f64 {
    let servers = counts.clone().count();
    let total: u64 = counts.clone().sum();
    let largest = counts.max().copied().unwrap_or(0);
    if total == 0 {
        return 0.0;
    }
    largest as f64 * servers as f64 / total as f64
}

/// Pending requests of one service, and the start of the current interval without an answer.
#[derive(Default)]
struct PendingRequests<'a> {
    requests: BTreeSet<(&'a RequestId, u32)>,
    since_us: u64,
    longest_us: u64,
}

fn measure_answers(history: &History<'_>, measures: &mut Measures) {
    let mut services: BTreeMap<&ServiceName, PendingRequests<'_>> = BTreeMap::new();
    let mut service_of: BTreeMap<&RequestId, &ServiceName> = BTreeMap::new();
    for located in &history.records {
        let at_us = located.record.at_us;
        match &located.record.event {
            HistoryEvent::Sent(attempt) => {
                service_of.insert(&attempt.request_id, &attempt.service);
                let pending = services.entry(&attempt.service).or_default();
                if pending.requests.is_empty() {
                    pending.since_us = at_us;
                }
                pending
                    .requests
                    .insert((&attempt.request_id, attempt.attempt));
            }
            HistoryEvent::Finished(answer) => {
                let Some(service) = service_of.get(&answer.request_id) else {
                    continue;
                };
                let pending = services.entry(service).or_default();
                pending
                    .requests
                    .remove(&(&answer.request_id, answer.attempt));
                if answer.outcome == Some(Outcome::Answered) {
                    let gap_us = at_us.saturating_sub(pending.since_us);
                    pending.longest_us = pending.longest_us.max(gap_us);
                    pending.since_us = at_us;
                }
            }
            _ => {}
        }
    }
    for (service, pending) in services {
        let mut longest_us = pending.longest_us;
        if !pending.requests.is_empty() {
            longest_us = longest_us.max(history.end_us().saturating_sub(pending.since_us));
        }
        service_measures_mut(measures, service).longest_unanswered_us = longest_us;
    }
}
