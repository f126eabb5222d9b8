//! A planned stop of a back end cuts no request in flight.
//!
//! Besides the cuts that a server records itself, a request that a stopped server had taken and not
//! ended, with its effect or without, and whose caller was left without an answer after the stop, counts as cut.

use std::collections::{BTreeMap, BTreeSet};

use grebepin_schema::{EffectRecord, HistoryEvent, Outcome, RequestId, ServerName};

use crate::{CheckLimits, History, Promise, Violation};

/// Requests a server has taken and not finished.
type Running<'a> = BTreeMap<&'a ServerName, BTreeMap<&'a RequestId, usize>>;

pub(crate) fn check(history: &History<'_>, _limits: &CheckLimits) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut running = Running::new();
    let mut stopped: BTreeMap<&RequestId, (usize, usize)> = BTreeMap::new();
    let mut finished: BTreeSet<&RequestId> = BTreeSet::new();
    for located in &history.records {
        let at_us = located.record.at_us;
        match &located.record.event {
            HistoryEvent::Cut(work) => violations.push(cut(work, at_us, vec![located.position])),
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
                for (request, taken) in running.remove(server).unwrap_or_default() {
                    if !finished.contains(request) {
                        stopped.insert(request, (taken, located.position));
                    }
                }
            }
            HistoryEvent::Finished(answer) => {
                let request = &answer.request_id;
                finished.insert(request);
                let proven = matches!(answer.outcome, Some(Outcome::NotRun | Outcome::Answered));
                if let Some((taken, stop)) = stopped.remove(request) {
                    if !proven {
                        let events = vec![taken, stop, located.position];
                        violations.push(unanswered(request, at_us, events));
                    }
                }
            }
            _ => {}
        }
    }
    violations
}

fn cut(work: &EffectRecord, at_us: u64, events: Vec<usize>) -> Violation {
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

fn unanswered(request: &RequestId, at_us: u64, events: Vec<usize>) -> Violation {
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
