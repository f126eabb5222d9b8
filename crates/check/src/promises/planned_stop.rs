//! Checks that a planned stop of a back end cuts no request in flight.
//!
//! A violation is a `Cut` record of the server, or a request that the server had started but not ended
//! when it stopped (no `Effect` and no `WorkEnded` record) and whose caller got neither an answer nor
//! a `NotRun` outcome after the stop.

use std::collections::{BTreeMap, BTreeSet};

use grebepin_schema::{EffectRecord, HistoryEvent, Outcome, RequestId, ServerName};

use crate::{CheckLimits, History, Promise, Violation};

/// Requests that a server has started and not finished, with the positions of their records.
type Running<'a> = BTreeMap<&'a ServerName, BTreeMap<&'a RequestId, usize>>;

pub(crate) fn check(history: &History<'_>, _limits: &CheckLimits) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut running = Running::new();
    let mut stopped: BTreeMap<&RequestId, (usize, usize)> = BTreeMap::new();
    let mut finished: BTreeSet<&RequestId> = BTreeSet::new();
    for located in &history.records {
        let at_us = located.record.at_us;
        match &located.record.event {
            HistoryEvent::Cut(work) => {
                violations.push(cut_violation(work, at_us, vec![located.position]))
            }
            HistoryEvent::WorkStarted(work) => {
                let requests = running.entry(&work.server).or_default();
                requests.insert(&work.request_id, located.position);
            }
            HistoryEvent::Effect(work) | HistoryEvent::WorkEnded(work) => {
                if let Some(requests) = running.get_mut(&work.server) {
                    requests.remove(&work.request_id);
                }
            }
            HistoryEvent::Killed(name) => {
                running.retain(|server, _| server.as_str() != name);
            }
            HistoryEvent::Stopped(server) => {
                for (request, start_position) in running.remove(server).unwrap_or_default() {
                    if !finished.contains(request) {
                        stopped.insert(request, (start_position, located.position));
                    }
                }
            }
            HistoryEvent::Finished(answer) => {
                let request = &answer.request_id;
                finished.insert(request);
                let settled = matches!(answer.outcome, Some(Outcome::NotRun | Outcome::Answered));
                if let Some((start_position, stop_position)) = stopped.remove(request) {
                    if !settled {
                        let events = vec![start_position, stop_position, located.position];
                        violations.push(unanswered_violation(request, at_us, events));
                    }
                }
            }
            _ => {}
        }
    }
    violations
}

fn cut_violation(work: &EffectRecord, at_us: u64, events: Vec<usize>) -> Violation {
    Violation {
        promise: Promise::PlannedStop,
        at_us,
        events,
        explanation: format!(
            "the planned stop of {} cut {}",
            work.server.as_str(),
            work.request_id.as_str()
        ),
    }
}

fn unanswered_violation(request: &RequestId, at_us: u64, events: Vec<usize>) -> Violation {
    Violation {
        promise: Promise::PlannedStop,
        at_us,
        events,
        explanation: format!(
            "{} ran at a server that was stopped as planned and got no answer",
            request.as_str()
        ),
    }
}
