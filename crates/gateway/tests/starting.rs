//! What callers get while all gateways start at once: each has its state after 0.36 to 0.85 s, a caller that is refused
//! comes back once, to another gateway.

use std::time::Duration;

use grebepin_gateway::refusal::Refusal;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const GATEWAYS: usize = 500;
const CALLERS: usize = 6_000;

/// Target, deadline and work of three kinds of requests, in milliseconds.
const KINDS: [(u64, u64, u64); 3] = [(500, 2_000, 160), (800, 3_000, 210), (400, 1_500, 110)];

fn ms(number: u64) -> Duration {
    Duration::from_millis(number)
}

/// Callers served in time, and served at all. `running_for` gives what a refusal knows of the gateway's age.
fn play(running_for: impl Fn(Duration) -> Duration) -> (usize, usize) {
    let mut random = SmallRng::seed_from_u64(5);
    let ready: Vec<Duration> = (0..GATEWAYS)
        .map(|_| ms(random.random_range(360..850)))
        .collect();
    let (mut in_time, mut served) = (0, 0);
    for _ in 0..CALLERS {
        let (target, deadline, work) = KINDS[random.random_range(0..KINDS.len())];
        let came = ms(random.random_range(0..900));
        let mut now = came;
        for _ in 0..2 {
            if now >= ready[random.random_range(0..GATEWAYS)] {
                let took = now + ms(work) - came;
                in_time += usize::from(took <= ms(target));
                served += usize::from(took <= ms(deadline));
                break;
            }
            let refusal = Refusal::Unconfigured {
                running_for: running_for(now),
            };
            now += refusal.retry_after(Some(came + ms(deadline) - now));
        }
    }
    (in_time, served)
}

/// A gateway that has just started knows when it will likely be ready; before, a third of the caller's time was told,
/// as a gateway without the directory still does.
#[test]
fn callers_that_come_while_all_gateways_start_are_served_in_time_more_often() {
    let (in_time_before, served_before) = play(|_| ms(10_000));
    let (in_time, served) = play(|now| now);
    println!("{in_time_before} and {served_before} before, {in_time} and {served} of {CALLERS}");
    assert!(in_time > in_time_before + CALLERS / 20);
    assert!(served + CALLERS / 50 > served_before);
}

#[test]
fn a_client_is_told_when_a_starting_gateway_will_likely_be_ready() {
    let left = Some(ms(3_000));
    let pause = |running_for| Refusal::Unconfigured { running_for }.retry_after(left);
    assert_eq!(pause(ms(50)), ms(800));
    assert_eq!(pause(ms(400)), ms(450));
    assert_eq!(pause(ms(840)), ms(150));
    assert_eq!(
        pause(ms(1_300)),
        ms(990),
        "nobody knows when the directory is back"
    );
}
