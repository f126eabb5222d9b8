//! Checks that a request that may not be repeated runs at most once.

use std::collections::BTreeMap;

use grebepin_schema::{HistoryEvent, RequestId, ServerName};

use crate::{CheckLimits, History, Promise, Violation};

pub(crate) fn check(history: &History<'_>, _limits: &CheckLimits) -> Vec<Violation> {
    let mut first: BTreeMap<&RequestId, (usize, &ServerName)> = BTreeMap::new();
    let mut violations = Vec::new();
    for located in &history.records {
        let HistoryEvent::Effect(effect) = &located.record.event else {
            continue;
        };
        if effect.repeatable {
            continue;
        }
        let Some((position, server)) = first.get(&effect.request_id) else {
            first.insert(&effect.request_id, (located.position, &effect.server));
            continue;
        };
        violations.push(Violation {
            promise: Promise::AtMostOnce,
            at_us: located.record.at_us,
            events: vec![*position, located.position],
            explanation: format!(
                "{} ran at {} and again at {}",
                effect.request_id.as_str(),
                server.as_str(),
                effect.server.as_str()
            ),
        });
    }
    violations
}
