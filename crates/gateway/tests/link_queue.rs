//! Which requests a full link turns away, and who has come back.

use std::time::Duration;

use grebepin_gateway::client_retries::ClientRetryDetector;
use grebepin_gateway::link_queue::LinkQueue;
use grebepin_gateway::refusal::Refusal;

fn ms(number: u64) -> Duration {
    Duration::from_millis(number)
}

/// Requests of 4.6 KB that a link of 2.2 Mbit/s takes in two seconds out of so many a second, by rank.
fn taken(per_second: u64, ranks: &[u32]) -> Vec<u64> {
    let mut queue = LinkQueue::new(Some(2.2));
    for _ in 0..200 {
        queue.note_answer("s", 3_000);
    }
    let mut taken = vec![0; ranks.len()];
    for number in 0..per_second * 2 {
        let now = Duration::from_secs_f64(number as f64 / per_second as f64);
        let which = number as usize % ranks.len();
        if queue.admit(now, "s", 1_000, ranks[which]) {
            taken[which] += 1;
        }
    }
    taken
}

#[test]
fn a_link_with_room_turns_nobody_away_and_a_full_one_the_least_urgent_first() {
    assert_eq!(taken(45, &[0]), vec![90]);
    let [least, most]: [u64; 2] = taken(90, &[0, 2]).try_into().expect("two ranks");
    assert!(most > least * 2, "least urgent {least}, most urgent {most}");
    let carried = (least + most) as f64 * 4_600.0 / 2.0;
    assert!(
        (230_000.0..330_000.0).contains(&carried),
        "{carried} bytes a second"
    );
}

#[test]
fn a_link_of_unknown_rate_turns_nobody_away() {
    let mut queue = LinkQueue::new(None);
    for _ in 0..10_000 {
        assert!(queue.admit(ms(0), "s", 100_000, 0));
    }
    assert_eq!(queue.wait(ms(0)), Duration::ZERO);
}

#[test]
fn a_request_that_states_less_time_than_others_has_come_back() {
    let mut patience = ClientRetryDetector::default();
    assert!(!patience.is_retry(ms(0), "r", ms(2_000)));
    assert!(!patience.is_retry(ms(10), "r", ms(2_000)));
    assert!(patience.is_retry(ms(20), "r", ms(1_700)));
    assert!(!patience.is_retry(ms(30), "other", ms(1_700)));
}

#[test]
fn how_long_clients_wait_is_learnt_anew_and_for_a_bounded_number_of_routes() {
    let mut patience = ClientRetryDetector::default();
    patience.is_retry(ms(0), "r", ms(2_000));
    assert!(patience.is_retry(ms(59_000), "r", ms(1_000)));
    assert!(!patience.is_retry(ms(61_000), "r", ms(1_000)));
    assert!(
        !patience.is_retry(ms(62_000), "r", ms(1_000)),
        "all wait less by now"
    );
    for number in 0..10_000 {
        patience.is_retry(ms(62_000), &format!("route-{number}"), ms(1_000));
    }
    assert!(!patience.is_retry(ms(62_000), "r", ms(900)), "forgotten");
}

#[test]
fn a_client_that_a_full_link_turned_away_is_told_a_short_time() {
    let pause = Refusal::LinkFull.retry_after(Some(ms(2_000)));
    let pause = pause.expect("a time to come back");
    assert!(pause <= ms(150), "{pause:?}");
    let pause = Refusal::LinkFull.retry_after(Some(ms(60)));
    assert!(pause.is_some_and(|pause| pause <= ms(20)), "{pause:?}");
}
