//! A request that a caller was told was not run was not run.
//!
//! Told not-run, a caller knows that no effect of the request was made by any attempt, before or
//! after, until it sends the request again.

use std::collections::BTreeMap;

use grebepin_schema::{HistoryEvent, Outcome, RequestId};

use crate::{CheckLimits, History, Promise, Violation};

/// Times and positions of one request's records.
#[derive(Default)]
struct RequestHistory {
    sent: Vec<u64>,
    effects: Vec<(u64, usize)>,
    told: Vec<(u64, usize)>,
}

pub(crate) fn check(history: &History<'_>, limits: &CheckLimits) -> Vec<Violation> {
    let mut requests: BTreeMap<&RequestId, RequestHistory> = BTreeMap::new();
    for located in &history.records {
        let at_us = located.record.at_us;
        match &located.record.event {
            HistoryEvent::Sent(attempt) => {
                let request = requests.entry(&attempt.request_id).or_default();
                request.sent.push(at_us);
            }
            HistoryEvent::Effect(effect) => {
                let request = requests.entry(&effect.request_id).or_default();
                request.effects.push((at_us, located.position));
            }
            HistoryEvent::Finished(answer) if answer.outcome == Some(Outcome::NotRun) => {
                let request = requests.entry(&answer.request_id).or_default();
                request.told.push((at_us, located.position));
            }
            _ => {}
        }
    }
    requests
        .iter()
        .filter_map(|(id, request)| broken(id, request, limits))
        .collect()
}

fn broken(id: &RequestId, request: &RequestHistory, limits: &CheckLimits) -> Option<Violation> {
    for (told_us, told) in &request.told {
        for (effect_us, effect) in &request.effects {
            let sent_again = request
                .sent
                .iter()
                .any(|sent| sent >= told_us && *sent <= effect_us + limits.clock_tolerance_us);
            if effect_us <= told_us || !sent_again {
                return Some(Violation {
                    promise: Promise::NotRun,
                    at_us: *told_us,
                    events: vec![*effect, *told],
                    explanation: format!("{} was called not run and ran", id.as_str()),
                });
            }
        }
    }
    None
}
