//! Requests of all gateways together to servers that are warming up, and requests into zones that are being
//! evacuated.

use std::collections::BTreeSet;
use std::time::Duration;

use grebepin_catalog::InstanceId;
use grebepin_gateway::change_time::ChangeTime;
use grebepin_gateway::evacuations::Evacuations;
use grebepin_gateway::warmup::WarmupTurns;

/// Warm-up rate of a server in requests a second, and the deployment's bound on the requests in any second.
const RATE: f64 = 6.7;
const BOUND: usize = 18;

fn ms(number: u64) -> Duration {
    Duration::from_millis(number)
}

/// Times at which gateways send to one cold server when each always has a request for it. `gateways` is the
/// number of gateways at a time.
fn sent(server: &str, gateways: impl Fn(u64) -> u32, until_ms: u64) -> Vec<u64> {
    let id = InstanceId::new(server);
    let mut all: Vec<WarmupTurns> = (0..200)
        .map(|number| {
            let mut turns = WarmupTurns::new(&format!("gateway-{number}"));
            turns.update(ms(0), [&id].into_iter());
            turns
        })
        .collect();
    let mut times = Vec::new();
    for at in (0..until_ms).step_by(10) {
        let count = gateways(at);
        for turns in all.iter_mut().take(count as usize) {
            if turns.is_open(&id, ms(at), RATE, Some(count)) {
                turns.note_sent(&id, ms(at), RATE, count);
                times.push(at);
            }
        }
    }
    times
}

fn most_in_a_second(times: &[u64]) -> usize {
    let counts = times.iter().map(|start| {
        let second = *start..*start + 1_000;
        times.iter().filter(|at| second.contains(at)).count()
    });
    counts.max().unwrap_or(0)
}

#[test]
fn eighty_gateways_together_stay_within_the_bound_of_each_cold_server() {
    let servers: Vec<String> = (0..120).map(|number| format!("i-{number}")).collect();
    let mut all = 0;
    for server in &servers {
        let times = sent(server, |_| 81, 3_000);
        let most = most_in_a_second(&times);
        assert!(most <= BOUND, "{server}: {most} in a second");
        all += times.len();
    }
    let mean = all as f64 / servers.len() as f64 / 3.0;
    assert!(mean > RATE / 2.0, "a cold server is used: {mean} a second");
}

#[test]
fn the_bound_holds_while_the_number_of_gateways_doubles_and_halves() {
    for server in 0..40 {
        let count = |at: u64| match at / 1_000 % 2 {
            0 => 60,
            _ => 120,
        };
        let times = sent(&format!("i-{server}"), count, 8_000);
        let most = most_in_a_second(&times);
        assert!(most <= BOUND, "i-{server}: {most} in a second");
    }
}

#[test]
fn few_gateways_together_stay_within_the_bound() {
    for count in 1..6 {
        let times = sent("i-0", |_| count, 4_000);
        let most = most_in_a_second(&times);
        assert!(
            most <= BOUND && most > 0,
            "{count} gateways: {most} in a second"
        );
    }
}

#[test]
fn a_gateway_that_does_not_know_how_many_there_are_sends_nothing_to_a_cold_server() {
    let (cold, warm) = (InstanceId::new("c"), InstanceId::new("w"));
    let mut turns = WarmupTurns::new("gateway");
    turns.update(ms(0), [&cold].into_iter());
    for at in (0..10_000).step_by(10) {
        assert!(!turns.is_open(&cold, ms(at), RATE, None));
        assert!(turns.is_open(&warm, ms(at), RATE, None));
    }
    turns.update(ms(10_000), std::iter::empty());
    assert!(
        turns.is_open(&cold, ms(10_000), RATE, None),
        "it is warm now"
    );
}

fn zones(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(ToString::to_string).collect()
}

/// An entry that is read `delay` after the state was last known to lack none.
fn read_after(read_at: u64, delay: u64) -> ChangeTime {
    ChangeTime {
        read_at: ms(read_at),
        acknowledged_after: Some(ms(read_at - delay)),
    }
}

#[test]
fn owners_in_an_evacuated_zone_get_requests_for_a_fraction_of_the_time_only() {
    let mut evacuations = Evacuations::new(ms(5_000));
    assert!(evacuations.owner_may_serve("east", ms(0)));
    let changes = evacuations.update(read_after(1_000, 100), &zones(&["east"]));
    assert_eq!(changes.len(), 1);
    assert!(evacuations
        .update(read_after(2_000, 100), &zones(&["east"]))
        .is_empty());
    assert!(evacuations.owner_may_serve("east", ms(4_000)));
    assert!(!evacuations.owner_may_serve("east", ms(4_600)));
    assert!(evacuations.owner_may_serve("west", ms(4_600)));
    let changes = evacuations.update(read_after(9_000, 100), &zones(&[]));
    assert!(changes.iter().all(|one| !one.evacuated) && changes.len() == 1);
    assert!(evacuations.owner_may_serve("east", ms(9_000)));
}

/// Guards against a gateway that reads an evacuation long after its acknowledgement, behind a cut or through relays,
/// and gives its owners the same time as if it had just begun.
#[test]
fn an_evacuation_that_is_read_late_is_in_force_in_time_for_owners_too() {
    for delay in [0, 500, 1_500, 3_000, 5_000, 60_000] {
        let mut evacuations = Evacuations::new(ms(5_000));
        let read_at = 100_000;
        evacuations.update(read_after(read_at, delay), &zones(&["east"]));
        let bound = read_at - delay + 5_000;
        for at in (read_at..read_at + 10_000)
            .step_by(50)
            .filter(|at| *at >= bound)
        {
            assert!(
                !evacuations.owner_may_serve("east", ms(at)),
                "{delay}, {at}"
            );
        }
    }
}

#[test]
fn a_gateway_that_cannot_tell_the_age_of_an_evacuation_sends_no_requests_there() {
    let mut evacuations = Evacuations::new(ms(5_000));
    let time = ChangeTime {
        read_at: ms(1_000),
        acknowledged_after: None,
    };
    evacuations.update(time, &zones(&["east"]));
    assert!(!evacuations.owner_may_serve("east", ms(1_000)));
}
