//! Rates that servers state in their responses, and how gateways share them.

mod rate_sharing;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use grebepin_catalog::InstanceId;
use grebepin_gateway::stated_rate::{RateChange, StatedRates};
use grebepin_gateway::statement::RateStatement;
use grebepin_gateway::warmup::WarmupTurns;
use grebepin_grants::Permits;
use rate_sharing::{Load, Permitted, Turns};

fn at(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn change(before: Option<f64>, rate: Option<f64>) -> Option<RateChange> {
    Some(RateChange { before, rate })
}

#[test]
fn a_rate_is_learnt_changed_and_ended_by_what_answers_state() {
    let mut rates = StatedRates::new("gateway");
    let id = InstanceId::new("i-1");
    let stated = RateStatement::PerSecond;
    let steps = [
        (stated(4.0), change(None, Some(4.0)), Some(4.0)),
        (stated(4.0), None, Some(4.0)),
        (stated(2.5), change(Some(4.0), Some(2.5)), Some(2.5)),
        (RateStatement::Unspecified, None, Some(2.5)),
        (RateStatement::Unbounded, change(Some(2.5), None), None),
        (RateStatement::Unbounded, None, None),
    ];
    for (number, (statement, changed, rate)) in (0_u64..).zip(steps) {
        let (sent, now) = (at(100 * number), at(100 * number + 50));
        assert_eq!(
            rates.note(&id, now, sent, statement),
            changed,
            "step {number}"
        );
        assert_eq!(rates.rate(&id), rate, "step {number}");
    }
}

/// Responses on several connections may arrive out of order. A response to an older request without a rate
/// must not end a rate that was stated since.
#[test]
fn an_answer_to_an_older_request_does_not_end_a_rate() {
    let mut rates = StatedRates::new("gateway");
    let id = InstanceId::new("i-1");
    rates.note(&id, at(300), at(100), RateStatement::PerSecond(4.0));
    assert_eq!(
        rates.note(&id, at(310), at(50), RateStatement::Unbounded),
        None
    );
    assert_eq!(rates.rate(&id), Some(4.0));
}

#[test]
fn a_restarted_server_and_an_ended_one_have_no_rate() {
    let mut rates = StatedRates::new("gateway");
    let id = InstanceId::started_at("i-1", 1_000);
    rates.note(&id, at(300), at(100), RateStatement::PerSecond(4.0));
    assert_eq!(rates.rate(&InstanceId::started_at("i-1", 2_000)), None);
    rates.retain(|_| false);
    assert!(rates.is_empty());
}

/// Gateways that each keep to their share of a rate may still send too much together, so their sum is
/// checked.
#[test]
fn gateways_of_every_fleet_size_keep_to_a_rate_together() {
    let demands = [(1.5, None), (3.0, None), (30.0, None), (0.5, Some(30.0))];
    for gateways in [1, 3, 11, 80, 300, 984] {
        for rate in [0.5, 3.7, 20.0] {
            for (demand, surge) in demands {
                let load = Load {
                    gateways,
                    rate,
                    demand,
                    surge: surge.map(|surge| (at(20_000), surge)),
                    duration: at(40_000),
                };
                for seed in 0..5 {
                    let server = format!("i-{seed}");
                    let leader = Rc::new(RefCell::new(Permits::default()));
                    let permitted = load.run(seed, |_| Permitted::new(&leader, rate));
                    assert!(
                        permitted.worst as f64 <= permitted.allowed,
                        "permits, seed {seed}, {load:?}: {permitted:?}"
                    );
                    let outcome =
                        load.run(seed, |number| Turns::new(number, gateways, &server, rate));
                    assert!(
                        outcome.worst as f64 <= outcome.allowed,
                        "seed {seed}, {load:?}: {outcome:?}"
                    );
                }
            }
        }
    }
}

/// With a demand above the rate, few gateways leave few turns unused.
#[test]
fn few_gateways_use_most_of_a_rate() {
    for gateways in [1, 3, 11] {
        let load = Load {
            gateways,
            rate: 3.7,
            demand: 3.0,
            surge: None,
            duration: at(60_000),
        };
        let seeds = 0..10_u64;
        let used = seeds.map(|seed| {
            let server = format!("i-{seed}");
            let outcome = load.run(seed, |number| Turns::new(number, gateways, &server, 3.7));
            outcome.used
        });
        let mean = used.sum::<f64>() / 10.0;
        assert!(mean > 0.75, "{gateways} gateways used {mean:.2}");
    }
}

/// No other server runs requests for the keys of a server that states a rate, so permits must use most of the
/// rate whatever the number of gateways.
#[test]
fn fleets_of_every_size_use_most_of_a_rate_by_permits() {
    for gateways in [1, 3, 11, 80, 300, 984] {
        for (rate, demand) in [(0.5, 3.0), (3.7, 1.5), (3.7, 3.0), (20.0, 3.0)] {
            let load = Load {
                gateways,
                rate,
                demand,
                surge: None,
                duration: at(63_000),
            };
            let used = (0..10_u64).map(|seed| {
                let leader = Rc::new(RefCell::new(Permits::default()));
                load.run(seed, |_| Permitted::new(&leader, rate)).used
            });
            let mean = used.sum::<f64>() / 10.0;
            assert!(mean > 0.8 && mean <= 0.95, "{load:?}: {mean:.2} used");
        }
    }
}

#[test]
fn a_gateway_that_does_not_know_how_many_share_a_rate_sends_nothing_by_it() {
    let mut rates = StatedRates::new("gateway");
    let id = InstanceId::new("i-1");
    assert!(rates.is_open(&id, at(0), None), "no rate is stated");
    rates.note(&id, at(0), at(0), RateStatement::PerSecond(4.0));
    assert!((0..10_000).all(|now| !rates.is_open(&id, at(now), None)));
}

/// A rate that rises and falls with each response must not give a gateway a new turn each time.
#[test]
fn a_rate_that_changes_with_each_answer_gives_no_extra_turns() {
    let mut rates = StatedRates::new("gateway");
    let id = InstanceId::new("i-1");
    let mut sent = 0;
    for now in 0..60_000 {
        let rate = 3.0 + f64::from(now % 7_u32) / 5.0;
        rates.note(
            &id,
            at(now.into()),
            at(now.into()),
            RateStatement::PerSecond(rate),
        );
        if rates.is_open(&id, at(now.into()), Some(11)) {
            rates.note_sent(&id, at(now.into()), 11);
            sent += 1;
        }
    }
    let most = (4.2 * 60.0 / 11.0) as u32 + 1;
    assert!(sent > 0 && sent <= most, "{sent} requests, {most} allowed");
}

/// Guards against a period that rounds to zero, by which a time was divided: the process ended.
#[test]
fn an_extreme_rate_does_not_end_the_process() {
    let id = InstanceId::new("i-1");
    let extremes = [0.0, f64::MIN_POSITIVE, 1e-9, 1e9, 1e12, 1e300, f64::MAX];
    for rate in extremes {
        for gateways in [1, 984, u32::MAX] {
            let mut rates = StatedRates::new("gateway");
            let mut warmup = WarmupTurns::new("gateway");
            rates.note(&id, at(0), at(0), RateStatement::PerSecond(rate));
            warmup.update(at(0), [&id].into_iter());
            for now in (0..2_000).step_by(100).map(at) {
                if rates.is_open(&id, now, Some(gateways)) {
                    rates.note_sent(&id, now, gateways);
                }
                if rate > 0.0 && warmup.is_open(&id, now, rate, Some(gateways)) {
                    warmup.note_sent(&id, now, rate, gateways);
                }
            }
            let large = rate >= 1e9 && gateways < 1_000;
            assert!(!large || rates.is_open(&id, at(2_100), Some(gateways)));
        }
    }
}
