//! What is known of the rates that servers state in their answers.

use std::time::Duration;

use grebepin_catalog::InstanceId;
use grebepin_gateway::stated_rate::{RateChange, RateStatement, StatedRates};

fn at(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn change(before: Option<f64>, rate: Option<f64>) -> Option<RateChange> {
    Some(RateChange { before, rate })
}

#[test]
fn a_rate_is_learnt_changed_and_ended_by_what_answers_state() {
    let mut rates = StatedRates::default();
    let id = InstanceId::new("i-1");
    let stated = RateStatement::PerSecond;
    let steps = [
        (stated(4.0), change(None, Some(4.0)), Some(4.0)),
        (stated(4.0), None, Some(4.0)),
        (stated(2.5), change(Some(4.0), Some(2.5)), Some(2.5)),
        (RateStatement::Silent, None, Some(2.5)),
        (RateStatement::Unbounded, change(Some(2.5), None), None),
        (RateStatement::Unbounded, None, None),
    ];
    for (number, (statement, changed, rate)) in (0_u64..).zip(steps) {
        let (sent, now) = (at(100 * number), at(100 * number + 50));
        assert_eq!(
            rates.note(&id, now, sent, statement),
            changed,
            "step {number}"
        );
        assert_eq!(rates.rate(&id), rate, "step {number}");
    }
}

/// Answers of several connections cross: one to an older request says nothing about a rate stated since.
#[test]
fn an_answer_to_an_older_request_does_not_end_a_rate() {
    let mut rates = StatedRates::default();
    let id = InstanceId::new("i-1");
    rates.note(&id, at(300), at(100), RateStatement::PerSecond(4.0));
    assert_eq!(
        rates.note(&id, at(310), at(50), RateStatement::Unbounded),
        None
    );
    assert_eq!(rates.rate(&id), Some(4.0));
}

#[test]
fn another_life_of_a_server_and_one_that_ended_have_no_rate() {
    let mut rates = StatedRates::default();
    let id = InstanceId::started_at("i-1", 1_000);
    rates.note(&id, at(300), at(100), RateStatement::PerSecond(4.0));
    assert_eq!(rates.rate(&InstanceId::started_at("i-1", 2_000)), None);
    rates.retain(|_| false);
    assert!(rates.is_empty());
}
