//! How old a state is taken to be, whatever the messages that confirm it went through.

use std::time::Duration;

use grebepin_directory::confirmed_state::{report_time, Confirmation, ConfirmedState};
use proptest::collection::vec;
use proptest::prelude::*;

fn ms(number: u64) -> Duration {
    Duration::from_millis(number)
}

fn confirmation(sent_at_ms: u64, age_ms: u64, applied: u64) -> Confirmation {
    Confirmation {
        sent_at_ms,
        age_ms,
        applied,
    }
}

#[test]
fn a_confirmation_counts_from_when_its_report_was_sent_and_not_from_its_arrival() {
    let mut state = ConfirmedState::default();
    assert_eq!(state.age(ms(0)), None, "never confirmed");
    state.record(confirmation(1_000, 200, 7), 7);
    assert_eq!(state.age(ms(9_000)), Some(ms(8_200)));
}

#[test]
fn a_confirmation_counts_only_once_the_state_has_reached_its_index() {
    let mut state = ConfirmedState::default();
    state.record(confirmation(1_000, 0, 5), 5);
    state.record(confirmation(2_000, 0, 9), 5);
    assert_eq!(state.age(ms(2_500)), Some(ms(1_500)), "behind");
    state.update(8);
    assert_eq!(state.age(ms(2_500)), Some(ms(1_500)), "still behind");
    state.update(9);
    assert_eq!(state.age(ms(2_500)), Some(ms(500)));
}

#[test]
fn a_state_that_stays_behind_is_confirmed_as_far_as_it_gets() {
    let mut state = ConfirmedState::default();
    for number in 1..1_000 {
        state.record(confirmation(number * 100, 0, number), 0);
    }
    state.update(4);
    assert_eq!(state.age(ms(1_000)), Some(ms(600)));
}

/// One report and its answer: when the report is sent, how long each message takes and how much the receiver's
/// state lags behind the source's log when the answer arrives.
fn exchanges() -> impl Strategy<Value = Vec<(u64, u64, u64, u64)>> {
    vec((0..500u64, 0..3_000u64, 0..3_000u64, 0..50u64), 1..40)
}

proptest! {
    /// The source appends an entry every 10 ms, so entry `n` is acknowledged at `10 n` ms. Whatever the delays, the
    /// state contains every entry that was acknowledged before the time that its age gives.
    #[test]
    fn no_state_is_taken_for_newer_than_it_is(exchanges in exchanges()) {
        let mut state = ConfirmedState::default();
        let (mut sent_at, mut applied) = (0, 0u64);
        let mut last_arrival = 0;
        for (pause, there, back, lag) in exchanges {
            sent_at += pause;
            let log_end = (sent_at + there) / 10;
            let arrival = (sent_at + there + back).max(last_arrival);
            last_arrival = arrival;
            applied = applied.max(log_end.saturating_sub(lag));
            let report = report_time(ms(sent_at));
            state.record(confirmation(report, 0, log_end), applied);
            if let Some(age) = state.age(ms(arrival)) {
                let confirmed_at = ms(arrival).saturating_sub(age).as_millis() as u64;
                prop_assert!(confirmed_at <= applied * 10 + 10, "{confirmed_at} {applied}");
            }
        }
    }
}
