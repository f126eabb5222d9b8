//! What the users measure: churn, imbalance and unavailable time.

use std::collections::{BTreeMap, BTreeSet};

use grebepin_schema::{HistoryEvent, HistoryRecord, Outcome, RequestId, ServerName, ServiceName};
use serde::Serialize;

use crate::holdings;
use crate::History;

/// Largest over mean, over the servers that appear in the history.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Imbalance {
    /// Of shards held at the end.
    pub shards: f64,
    /// Of effects made over the run.
    pub load: f64,
}

/// Measures of one service.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ServiceMeasures {
    /// Changes of a shard's owner to another server, without the first owner.
    pub owner_changes: u64,
    /// Evenness among servers.
    pub imbalance: Imbalance,
    /// Sum over shards of the times between one owner and the next, in microseconds.
    pub unowned_us: u64,
    /// Longest time between one owner of a shard and the next, in microseconds.
    pub longest_unowned_us: u64,
    /// Longest time in which a caller was waiting and none was answered, in microseconds.
    pub longest_unanswered_us: u64,
}

/// Measures of every service in a history.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Measures {
    /// By service name.
    pub services: BTreeMap<String, ServiceMeasures>,
}

/// Takes the measures of a history.
pub fn measure(records: &[HistoryRecord]) -> Measures {
    let history = History::new(records);
    let mut measures = Measures::default();
    measure_ownership(&history, &mut measures);
    measure_load(&history, &mut measures);
    measure_answers(&history, &mut measures);
    measures
}

fn of_service<'m>(measures: &'m mut Measures, service: &ServiceName) -> &'m mut ServiceMeasures {
    measures
        .services
        .entry(service.as_str().to_string())
        .or_default()
}

fn measure_ownership(history: &History<'_>, measures: &mut Measures) {
    let mut held: BTreeMap<ServiceName, BTreeMap<ServerName, u64>> = BTreeMap::new();
    for ((service, _), list) in holdings::collect(history) {
        let service_measures = of_service(measures, &service);
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
        of_service(measures, &service).imbalance.shards = largest_over_mean(servers.values());
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
        of_service(measures, service).imbalance.load = largest_over_mean(servers.values());
    }
}

fn largest_over_mean<'a>(counts: impl Iterator<Item = &'a u64> + Clone) -> f64 {
    let servers = counts.clone().count();
    let total: u64 = counts.clone().sum();
    let largest = counts.max().copied().unwrap_or(0);
    if total == 0 {
        return 0.0;
    }
    largest as f64 * servers as f64 / total as f64
}

/// Callers of one service that wait, and since when none of them was answered.
#[derive(Default)]
struct Waiting<'a> {
    requests: BTreeSet<(&'a RequestId, u32)>,
    since_us: u64,
    longest_us: u64,
}

fn measure_answers(history: &History<'_>, measures: &mut Measures) {
    let mut services: BTreeMap<&ServiceName, Waiting<'_>> = BTreeMap::new();
    let mut service_of: BTreeMap<&RequestId, &ServiceName> = BTreeMap::new();
    for located in &history.records {
        let at_us = located.record.at_us;
        match &located.record.event {
            HistoryEvent::Sent(attempt) => {
                service_of.insert(&attempt.request_id, &attempt.service);
                let waiting = services.entry(&attempt.service).or_default();
                if waiting.requests.is_empty() {
                    waiting.since_us = at_us;
                }
                waiting
                    .requests
                    .insert((&attempt.request_id, attempt.attempt));
            }
            HistoryEvent::Finished(answer) => {
                let Some(service) = service_of.get(&answer.request_id) else {
                    continue;
                };
                let waiting = services.entry(service).or_default();
                waiting
                    .requests
                    .remove(&(&answer.request_id, answer.attempt));
                if answer.outcome == Some(Outcome::Answered) {
                    let gap_us = at_us.saturating_sub(waiting.since_us);
                    waiting.longest_us = waiting.longest_us.max(gap_us);
                    waiting.since_us = at_us;
                }
            }
            _ => {}
        }
    }
    for (service, waiting) in services {
        let mut longest_us = waiting.longest_us;
        if !waiting.requests.is_empty() {
            longest_us = longest_us.max(history.end_us().saturating_sub(waiting.since_us));
        }
        of_service(measures, service).longest_unanswered_us = longest_us;
    }
}
