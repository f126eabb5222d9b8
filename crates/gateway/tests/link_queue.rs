//! Which requests are rejected on a full link, and which requests count as client retries.

use std::time::Duration;

use grebepin_gateway::client_retries::ClientRetryDetector;
use grebepin_gateway::link_queue::LinkQueue;
use grebepin_gateway::refusal::Refusal;

fn ms(number: u64) -> Duration {
    Duration::from_millis(number)
}

/// Numbers of requests of 4.6 KB that are admitted to a link of 2.2 Mbit/s in two seconds, out of
/// `per_second` a second that cycle through `priorities` (levels above the lowest), by priority.
fn admitted(per_second: u64, priorities: &[u32]) -> Vec<u64> {
    let mut queue = LinkQueue::new(Some(2.2));
    for _ in 0..200 {
        queue.note_answer("s", 3_000);
    }
    let mut admitted = vec![0; priorities.len()];
    for number in 0..per_second * 2 {
        let now = Duration::from_secs_f64(number as f64 / per_second as f64);
        let which = number as usize % priorities.len();
        if queue.admit(now, "s", 1_000, priorities[which]) {
            admitted[which] += 1;
        }
    }
    admitted
}

#[test]
fn a_link_with_capacity_rejects_nothing_and_a_full_one_rejects_low_priorities_first() {
    assert_eq!(admitted(45, &[0]), vec![90]);
    let [low, high]: [u64; 2] = admitted(90, &[0, 2]).try_into().expect("two priorities");
    assert!(high > low * 2, "low priority {low}, high priority {high}");
    let carried = (low + high) as f64 * 4_600.0 / 2.0;
    assert!(
        (230_000.0..330_000.0).contains(&carried),
        "{carried} bytes a second"
    );
}

#[test]
fn a_link_of_unknown_rate_rejects_nothing() {
    let mut queue = LinkQueue::new(None);
    for _ in 0..10_000 {
        assert!(queue.admit(ms(0), "s", 100_000, 0));
    }
    assert_eq!(queue.wait(ms(0)), Duration::ZERO);
}

#[test]
fn a_request_that_states_less_time_than_others_counts_as_a_client_retry() {
    let mut detector = ClientRetryDetector::default();
    assert!(!detector.is_retry(ms(0), "r", ms(2_000)));
    assert!(!detector.is_retry(ms(10), "r", ms(2_000)));
    assert!(detector.is_retry(ms(20), "r", ms(1_700)));
    assert!(!detector.is_retry(ms(30), "other", ms(1_700)));
}

#[test]
fn client_timeouts_are_relearnt_and_kept_for_a_bounded_number_of_routes() {
    let mut detector = ClientRetryDetector::default();
    detector.is_retry(ms(0), "r", ms(2_000));
    assert!(detector.is_retry(ms(59_000), "r", ms(1_000)));
    assert!(!detector.is_retry(ms(61_000), "r", ms(1_000)));
    assert!(
        !detector.is_retry(ms(62_000), "r", ms(1_000)),
        "all clients state less time by now"
    );
    for number in 0..10_000 {
        detector.is_retry(ms(62_000), &format!("route-{number}"), ms(1_000));
    }
    assert!(
        !detector.is_retry(ms(62_000), "r", ms(900)),
        "the route is relearnt"
    );
}

#[test]
fn a_full_link_gives_a_short_retry_delay() {
    let delay = Refusal::LinkFull.retry_after(Some(ms(2_000)));
    let delay = delay.expect("a retry delay");
    assert!(delay <= ms(150), "{delay:?}");
    let delay = Refusal::LinkFull.retry_after(Some(ms(60)));
    assert!(delay.is_some_and(|delay| delay <= ms(20)), "{delay:?}");
}
