//! Bulk transfers on a shared link stay within their share in every second and always make progress.

use std::time::Duration;

use grebepin_directory::pacing::{feed_order, FedLink, Pacer, RoundEnd, RoundSchedule};

const BYTES_PER_SECOND: f64 = 2_550_000.0;
const STATE_BYTES: usize = 100_000;

/// 64 gateways need the complete state at once, over 0.4 of a link of 51 Mbit/s, and receive it one after the
/// other. Sending all states at once took a second of the whole link.
#[test]
fn many_new_gateways_receive_their_states_one_after_the_other() {
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
fn idle_time_accumulates_at_most_a_tenth_of_a_second_of_allowance() {
    let mut pacer = Pacer::new(1_000.0);
    assert!(pacer.allows(Duration::from_secs(60)));
    pacer.spend(100);
    assert!(!pacer.allows(Duration::from_secs(60)));
    assert!(pacer.allows(Duration::from_millis(60_001)));
}

#[test]
fn a_message_larger_than_the_allowance_is_sent_and_overdraws_it() {
    let mut pacer = Pacer::new(1_000.0);
    assert!(pacer.allows(Duration::from_millis(1)));
    pacer.spend(10_000);
    assert!(!pacer.allows(Duration::from_secs(9)));
    assert!(pacer.allows(Duration::from_secs(11)));
}

/// Seconds until this many gateways have received one state each, with 50 MB per second available. The daemon
/// polls every 5 ms while gateways lack entries. `exhausted` is the end that is recorded for a round that ran
/// out of allowance.
fn seconds_to_feed(gateways: usize, state_bytes: usize, exhausted: RoundEnd) -> f64 {
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
                end = exhausted;
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
fn gateways_are_fed_at_the_full_rate_regardless_of_their_number() {
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
fn a_complete_round_is_followed_by_a_pause_per_gateway() {
    let mut rounds = RoundSchedule::default();
    rounds.record_end(Duration::ZERO, 40, RoundEnd::Complete);
    assert!(!rounds.is_due(Duration::from_millis(59)));
    assert!(rounds.is_due(Duration::from_millis(60)));
}

/// A round that ran out of allowance does not wait for the pause of a complete round, because that would take
/// 0.76 s for 0.5 s of the link with 100 gateways, and 6.8 s for 1.5 s with 300.
#[test]
fn the_pause_of_a_complete_round_after_each_partial_one_would_waste_the_link() {
    let took = |gateways| seconds_to_feed(gateways, 250_000, RoundEnd::Complete);
    assert!((0.7..0.8).contains(&took(100)), "{}", took(100));
    assert!((6.5..7.0).contains(&took(300)), "{}", took(300));
}

/// Guards against rounds that the allowance ends early and that leave out the same gateways each time.
#[test]
fn every_gateway_is_fed_although_each_round_reaches_only_some() {
    let mut fed = [1_u64; 10];
    for round in 2..=100 {
        let links = fed.iter().enumerate();
        let links = links.map(|(token, fed_index)| FedLink {
            token,
            fed_index: *fed_index,
        });
        for token in feed_order(links.collect()).take(3) {
            fed[token] = round;
        }
        let oldest = fed.iter().min().copied().unwrap_or_default();
        assert!(oldest + 4 >= round, "round {round}: {fed:?}");
    }
}

#[test]
fn entries_are_sent_before_complete_states() {
    let links = [(1, 0), (2, 7), (3, 0), (4, 5)];
    let links = links.map(|(token, fed_index)| FedLink { token, fed_index });
    let order: Vec<u32> = feed_order(links.to_vec()).collect();
    assert_eq!(order, [4, 2, 1, 3]);
}
