//! What was known before the events of a poll occurred.

use grebepin_reactor::PollHistory;

const EVENTS_PER_POLL: usize = 4;

/// A poll of `sockets` that returns `events`; returns what was known before these.
fn poll(polls: &mut PollHistory<u32>, state: u32, sockets: usize, events: Option<usize>) -> u32 {
    polls.begin_poll(state, sockets);
    polls.end_poll(events);
    polls.before_events()
}

#[test]
fn events_of_a_poll_occurred_after_the_poll_before_it_began() {
    let mut polls = PollHistory::new(0, EVENTS_PER_POLL);
    assert_eq!(poll(&mut polls, 1, 10, Some(0)), 0);
    assert_eq!(poll(&mut polls, 2, 10, Some(3)), 1);
    assert_eq!(poll(&mut polls, 3, 10, Some(4)), 2);
}

#[test]
fn events_that_a_poll_left_over_may_be_as_old_as_those_that_it_returned() {
    let mut polls = PollHistory::new(0, EVENTS_PER_POLL);
    for (state, events, expected) in [
        (1, Some(2), 0),
        (2, Some(4), 1),
        (3, None, 1),
        (4, Some(1), 1),
        (5, Some(1), 4),
    ] {
        let before = poll(&mut polls, state, 100, events);
        assert_eq!(before, expected, "poll {state}");
    }
}

/// Guards against events that seem older and older while each poll returns as many as it may.
#[test]
fn in_a_crowd_events_are_as_old_as_the_polls_that_all_sockets_need() {
    let mut polls = PollHistory::new(0, EVENTS_PER_POLL);
    for state in 1..100 {
        let before = poll(&mut polls, state, 10, Some(EVENTS_PER_POLL));
        assert!(
            before <= state.saturating_sub(3).max(1),
            "poll {state}: {before}"
        );
        assert!(before + 5 >= state, "poll {state}: {before}");
    }
}
