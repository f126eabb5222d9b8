//! Bulk over a shared link: never more than its part in any second, and never stuck.

use std::time::Duration;

use grebepin_directory::pacing::{Pacer, RoundEnd, RoundSchedule};

const BYTES_PER_SECOND: f64 = 2_550_000.0;
const STATE_BYTES: usize = 100_000;

/// 64 gateways that need the whole state at once, over 0.4 of a link of 51 Mbit/s: one after the other,
/// where sending all at once took a second of the whole link.
#[test]
fn a_crowd_of_newcomers_gets_its_states_one_after_the_other() {
    let mut pacer = Pacer::new(BYTES_PER_SECOND);
    let mut sent = Vec::new();
    for millisecond in 0..5_000_u64 {
        let now = Duration::from_millis(millisecond);
        while sent.len() < 64 && pacer.allows(now) {
            pacer.spend(STATE_BYTES);
            sent.push(millisecond);
        }
    }
    assert_eq!(sent.len(), 64, "all are served in the end");
    for window in 0..4_000_u64 {
        let within = |at: &&u64| (window..window + 1_000).contains(*at);
        let bytes = sent.iter().filter(within).count() * STATE_BYTES;
        let most = BYTES_PER_SECOND * 1.1 + STATE_BYTES as f64;
        assert!(
            (bytes as f64) <= most,
            "{bytes} bytes in the second from {window} ms"
        );
    }
}

#[test]
fn a_rest_saves_up_a_tenth_of_a_second_and_no_more() {
    let mut pacer = Pacer::new(1_000.0);
    assert!(pacer.allows(Duration::from_secs(60)));
    pacer.spend(100);
    assert!(!pacer.allows(Duration::from_secs(60)));
    assert!(pacer.allows(Duration::from_millis(60_001)));
}

#[test]
fn a_message_larger_than_the_allowance_goes_and_is_paid_for_afterwards() {
    let mut pacer = Pacer::new(1_000.0);
    assert!(pacer.allows(Duration::from_millis(1)));
    pacer.spend(10_000);
    assert!(!pacer.allows(Duration::from_secs(9)));
    assert!(pacer.allows(Duration::from_secs(11)));
}

/// Seconds until so many gateways have a state each, over a link of which 50 MB a second may be used; the daemon looks
/// every 5 ms while it is behind. `cut_short` is how a round counts that the allowance ended.
fn seconds_to_feed(gateways: usize, state_bytes: usize, cut_short: RoundEnd) -> f64 {
    let mut pacer = Pacer::new(50_000_000.0);
    let mut rounds = RoundSchedule::default();
    let mut lacking = gateways;
    let mut now = Duration::ZERO;
    while lacking > 0 {
        now += Duration::from_millis(5);
        if !rounds.is_due(now) {
            continue;
        }
        let mut end = RoundEnd::Complete;
        while lacking > 0 {
            if !pacer.allows(now) {
                end = cut_short;
                break;
            }
            pacer.spend(state_bytes);
            lacking -= 1;
        }
        rounds.record_end(now, gateways, end);
    }
    now.as_secs_f64()
}

#[test]
fn a_replica_feeds_as_fast_as_its_link_may_carry_however_many_follow() {
    for gateways in [30, 100, 300, 1_000] {
        let bytes = gateways * 250_000;
        let least = bytes as f64 / 50_000_000.0;
        let took = seconds_to_feed(gateways, 250_000, RoundEnd::AllowanceExhausted);
        assert!(
            took <= least * 1.1 + 0.05,
            "{gateways}: {took} s of {least}"
        );
    }
}

#[test]
fn whole_rounds_leave_a_pause_for_each_gateway() {
    let mut rounds = RoundSchedule::default();
    rounds.record_end(Duration::ZERO, 40, RoundEnd::Complete);
    assert!(!rounds.is_due(Duration::from_millis(59)));
    assert!(rounds.is_due(Duration::from_millis(60)));
}

/// Why a round that was cut short does not wait for as long as a whole one: 0.76 s for 0.5 s of the link with 100
/// gateways, 6.8 s for 1.5 s with 300.
#[test]
fn a_whole_pause_after_each_part_would_waste_the_link() {
    let took = |gateways| seconds_to_feed(gateways, 250_000, RoundEnd::Complete);
    assert!((0.7..0.8).contains(&took(100)), "{}", took(100));
    assert!((6.5..7.0).contains(&took(300)), "{}", took(300));
}
