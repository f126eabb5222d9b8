//! Checks that a caller receives the whole answer to its own request.

use grebepin_schema::{CallerAnswer, HistoryEvent, Outcome};

use crate::{CheckLimits, History, Promise, Violation};

pub(crate) fn check(history: &History<'_>, _limits: &CheckLimits) -> Vec<Violation> {
    let mut violations = Vec::new();
    for located in &history.records {
        let HistoryEvent::Finished(answer) = &located.record.event else {
            continue;
        };
        if let Some(explanation) = describe_fault(answer) {
            violations.push(Violation {
                promise: Promise::WholeAnswer,
                at_us: located.record.at_us,
                events: vec![located.position],
                explanation,
            });
        }
    }
    violations
}

fn describe_fault(answer: &CallerAnswer) -> Option<String> {
    let request = answer.request_id.as_str();
    if let Some(answer_for) = &answer.answer_for {
        if *answer_for != answer.request_id {
            let other = answer_for.as_str();
            return Some(format!("the caller of {request} got the answer to {other}"));
        }
    }
    if answer.outcome != Some(Outcome::Answered) {
        return None;
    }
    if answer.answer_for.is_none() {
        return Some(format!("the answer to {request} does not name its request"));
    }
    (answer.whole != Some(true))
        .then(|| format!("the answer to {request} was incomplete or invalid"))
}
