//! Checks that a request reported to its caller as not run was not run.
//!
//! The outcome `not-run` means that no attempt of the request had an effect before the report, and
//! that none has one afterwards until the caller sends the request again.

use std::collections::BTreeMap;

use grebepin_schema::{HistoryEvent, Outcome, RequestId};

use crate::{CheckLimits, History, Promise, Violation};

/// Times of one request's attempts; times and positions of its effects and `not-run` outcomes.
#[derive(Default)]
struct RequestHistory {
    sent: Vec<u64>,
    effects: Vec<(u64, usize)>,
    reported: Vec<(u64, usize)>,
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
                request.reported.push((at_us, located.position));
            }
            _ => {}
        }
    }
    requests
        .iter()
        .filter_map(|(id, request)| find_violation(id, request, limits))
        .collect()
}

fn find_violation(
    id: &RequestId,
    request: &RequestHistory,
    limits: &CheckLimits,
) -> Option<Violation> {
    for (reported_us, reported) in &request.reported {
        for (effect_us, effect) in &request.effects {
            let sent_again = request
                .sent
                .iter()
                .any(|sent| sent >= reported_us && *sent <= effect_us + limits.clock_tolerance_us);
            if effect_us <= reported_us || !sent_again {
                return Some(Violation {
                    promise: Promise::NotRun,
                    at_us: *reported_us,
                    events: vec![*effect, *reported],
                    explanation: format!("{} was reported as not run but ran", id.as_str()),
                });
            }
        }
    }
    None
}
