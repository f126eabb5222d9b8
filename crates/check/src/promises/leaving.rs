//! Checks that a leaving back end receives no new work after [`CheckLimits::leaving_us`].
//!
//! The time counts from the first `Leaving` record, and a `Staying` record cancels it.

use std::collections::BTreeMap;

use grebepin_schema::{HistoryEvent, ServerName};

use crate::{CheckLimits, History, Promise, Violation};

pub(crate) fn check(history: &History<'_>, limits: &CheckLimits) -> Vec<Violation> {
    let mut leaving: BTreeMap<&ServerName, (u64, usize)> = BTreeMap::new();
    let mut violations = Vec::new();
    for located in &history.records {
        let at_us = located.record.at_us;
        match &located.record.event {
            HistoryEvent::Leaving(server) => {
                leaving.entry(server).or_insert((at_us, located.position));
            }
            HistoryEvent::Staying(server) => {
                leaving.remove(server);
            }
            HistoryEvent::WorkStarted(work) => {
                let Some((since_us, position)) = leaving.get(&work.server) else {
                    continue;
                };
                let late_us = at_us - since_us;
                if late_us > limits.leaving_us + limits.clock_tolerance_us {
                    violations.push(Violation {
                        promise: Promise::LeavingGetsNoWork,
                        at_us,
                        events: vec![*position, located.position],
                        explanation: format!(
                            "{} took {} {late_us} us after it was leaving",
                            work.server.as_str(),
                            work.request_id.as_str()
                        ),
                    });
                }
            }
            _ => {}
        }
    }
    violations
}
