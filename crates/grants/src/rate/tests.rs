use std::time::Duration;

use super::AdaptiveRate;

fn ms(number: u64) -> Duration {
    Duration::from_millis(number)
}

/// Adds `per_second` events a second at even intervals between `from` and `until`, in milliseconds.
fn run(rate: &mut AdaptiveRate, from: u64, until: u64, per_second: f64) {
    for at in (from..until).step_by(100) {
        rate.add(ms(at), per_second / 10.0);
    }
}

#[test]
fn a_sudden_rise_shows_within_a_second_and_its_end_too() {
    let mut rate = AdaptiveRate::default();
    run(&mut rate, 0, 20_000, 1.0);
    assert!(rate.per_second(ms(20_000), 5.0) < 2.0);
    run(&mut rate, 20_000, 20_800, 100.0);
    let seen = rate.per_second(ms(20_800), 5.0);
    assert!(seen > 45.0, "{seen} of 100 after 0.8 s");
    run(&mut rate, 20_800, 25_000, 100.0);
    let full = rate.per_second(ms(25_000), 5.0);
    // Within four standard deviations the steady rate is used, which is still rising.
    assert!((65.0..115.0).contains(&full), "{full} of 100");
    run(&mut rate, 25_000, 27_000, 1.0);
    let after = rate.per_second(ms(27_000), 5.0);
    assert!(after < 20.0, "{after} two seconds after the rise");
}

#[test]
fn random_variation_is_no_sudden_change() {
    let mut rate = AdaptiveRate::default();
    run(&mut rate, 0, 20_000, 10.0);
    // Five more events in one second, 1.6 standard deviations above the steady rate.
    rate.add(ms(20_000), 5.0);
    let steady = rate.steady_per_second(ms(20_000));
    assert_eq!(rate.per_second(ms(20_000), 0.0), steady);
}

#[test]
fn a_change_below_the_minimum_is_ignored() {
    let mut rate = AdaptiveRate::default();
    rate.add(ms(0), 40.0);
    let steady = rate.steady_per_second(ms(0));
    assert!(rate.per_second(ms(0), 20.0) > steady);
    assert_eq!(rate.per_second(ms(0), 100.0), steady);
}
