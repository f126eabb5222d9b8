//! What was known before the events of a poll occurred.

use grebepin_reactor::PollHistory;

#[test]
fn events_of_a_poll_occurred_after_the_poll_before_it_began() {
    let mut polls = PollHistory::new(0);
    assert_eq!(polls.before_events(), 0);
    polls.begin_poll(1);
    polls.end_poll(true);
    assert_eq!(polls.before_events(), 0, "before the first poll");
    polls.begin_poll(2);
    polls.end_poll(true);
    assert_eq!(polls.before_events(), 1);
}

#[test]
fn events_that_a_poll_left_over_may_be_as_old_as_those_that_it_returned() {
    let mut polls = PollHistory::new(0);
    for (state, is_complete, expected) in [
        (1, true, 0),
        (2, false, 1),
        (3, false, 1),
        (4, true, 1),
        (5, true, 4),
    ] {
        polls.begin_poll(state);
        polls.end_poll(is_complete);
        assert_eq!(polls.before_events(), expected, "poll {state}");
    }
}
