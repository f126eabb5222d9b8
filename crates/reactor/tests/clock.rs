//! The clock of the daemons, and what it shows of a process that stood still.

use std::time::Duration;

use grebepin_reactor::{Clock, StandstillWatch};
use rustix::time::{clock_gettime, ClockId};

#[test]
fn the_clock_goes_by_the_time_since_boot_suspensions_included() {
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
fn a_loop_that_stood_still_is_noticed_once() {
    let mut watch = StandstillWatch::default();
    let seconds = Duration::from_secs_f64;
    let looks = [
        (0.1, None),
        (0.2, None),
        (0.9, None),
        (3.9, Some(3.0)),
        (4.0, None),
    ];
    for (at, stood) in looks {
        let seen = watch.look(seconds(at));
        let seen = seen.map(|stood| stood.as_secs_f64().round());
        assert_eq!(seen, stood, "at {at}");
    }
}
