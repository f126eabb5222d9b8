//! Input that waited while the process stood still.

use std::time::Duration;

use grebepin_gateway::standstill::Standstill;

const SINCE: Duration = Duration::from_secs(3);
const LATER: Duration = Duration::from_secs(9);

#[test]
fn input_of_the_next_complete_poll_has_waited_and_later_input_has_not() {
    let mut standstill = Standstill::default();
    assert_eq!(standstill.waiting_since(), None);
    standstill.note(SINCE, 10, 256);
    assert_eq!(standstill.waiting_since(), Some(SINCE));
    standstill.end_turn(true);
    assert_eq!(standstill.waiting_since(), None);
}

#[test]
fn input_has_waited_until_all_sockets_were_polled() {
    let mut standstill = Standstill::default();
    standstill.note(SINCE, 1_000, 256);
    let mut polls = 0;
    while standstill.waiting_since().is_some() {
        standstill.end_turn(false);
        polls += 1;
    }
    assert!((4..=6).contains(&polls), "{polls} polls of a crowd");
}

#[test]
fn a_second_standstill_makes_waiting_input_no_younger() {
    let mut standstill = Standstill::default();
    standstill.note(SINCE, 1_000, 256);
    standstill.end_turn(false);
    standstill.note(LATER, 1_000, 256);
    assert_eq!(standstill.waiting_since(), Some(SINCE));
}
