//! The daemons' clock, and the detection of a stalled event loop.

use std::time::Duration;

use grebepin_reactor::{Clock, StallDetector};
use rustix::time::{clock_gettime, ClockId};

#[test]
fn the_clock_follows_boot_time_including_suspensions() {
    let boot = || Duration::try_from(clock_gettime(ClockId::Boottime)).expect("after boot");
    let before = boot();
    let clock = Clock::start();
    let started = boot();
    std::thread::sleep(Duration::from_millis(20));
    let least = boot() - started;
    let now = clock.now();
    let most = boot() - before;
    assert!(
        least <= now && now <= most,
        "{least:?} <= {now:?} <= {most:?}"
    );
}

#[test]
fn a_stalled_loop_is_reported_once() {
    let mut detector = StallDetector::default();
    let seconds = Duration::from_secs_f64;
    let checks = [
        (0.1, None),
        (0.2, None),
        (0.9, None),
        (3.9, Some(3.0)),
        (4.0, None),
    ];
    for (at, stall) in checks {
        let seen = detector.check(seconds(at));
        let seen = seen.map(|stall| stall.as_secs_f64().round());
        assert_eq!(seen, stall, "at {at}");
    }
}
