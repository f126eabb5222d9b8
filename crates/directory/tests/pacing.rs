//! Bulk over a shared link: never more than its part in any second, and never stuck.

use std::time::Duration;

use grebepin_directory::pacing::Pacer;

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
