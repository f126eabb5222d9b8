//! Admission order, limits and refusals; slow start, retry budget and ejection.

use std::collections::BTreeMap;
use std::time::Duration;

use grebepin_schema::ServerName;
use grebepin_traffic::admission::MIN_RETRY_AFTER;
use grebepin_traffic::ramp::RAMP_TIME;
use grebepin_traffic::{
    Admission, AdmissionConfig, AdmissionDecision, AdmissionEvent, AdmissionRefusal, Ejection,
    EjectionConfig, Ramp, RetryBudget, Ticket, Verdict,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const ZERO: Duration = Duration::ZERO;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn admission(slots: u32, waiting: u32) -> Admission {
    Admission::new(AdmissionConfig { slots, waiting }, Ramp::warm(), ZERO)
}

fn wait(admission: &mut Admission, priority: u32, deadline: u64) -> Ticket {
    wait_at(admission, ZERO, priority, deadline)
}

fn wait_at(admission: &mut Admission, now: Duration, priority: u32, deadline: u64) -> Ticket {
    match admission.offer(now, priority, ms(deadline)) {
        AdmissionDecision::Waiting {
            ticket,
            displaced: None,
        } => ticket,
        other => panic!("{other:?}"),
    }
}

#[test]
fn waiting_requests_run_by_priority_then_deadline() {
    let mut admission = admission(1, 10);
    assert_eq!(
        admission.offer(ZERO, 5, ms(900)),
        AdmissionDecision::Admitted
    );
    let requests = [(1, 500), (0, 900), (1, 400), (0, 800), (9, 100)];
    let tickets: Vec<Ticket> = requests
        .iter()
        .map(|&(priority, deadline)| wait(&mut admission, priority, deadline))
        .collect();
    let mut order = Vec::new();
    for _ in 0..requests.len() {
        for event in admission.finish(ms(1), ms(1)) {
            match event {
                AdmissionEvent::Admitted(ticket) => order.push(ticket),
                AdmissionEvent::Refused(..) => panic!("{event:?}"),
            }
        }
    }
    let expected: Vec<Ticket> = [3, 1, 2, 0, 4]
        .iter()
        .map(|&place| tickets[place])
        .collect();
    assert_eq!(order, expected);
}

#[test]
fn a_full_queue_is_entered_only_at_a_higher_priority() {
    // Priorities of the waiting requests, priority of the new request, and whether it displaces the last one.
    let table = [
        ([1, 1], 0, true),
        ([0, 1], 0, true),
        ([0, 0], 0, false),
        ([1, 1], 1, false),
        ([0, 1], 2, false),
    ];
    for (waiting, new, displaces) in table {
        let mut admission = admission(1, 2);
        admission.offer(ZERO, 0, ms(900));
        let last = waiting.map(|priority| wait(&mut admission, priority, 500))[1];
        match admission.offer(ZERO, new, ms(500)) {
            AdmissionDecision::Waiting {
                displaced: Some((ticket, AdmissionRefusal::QueueFull { .. })),
                ..
            } => {
                assert!(displaces && ticket == last, "{waiting:?} {new}");
            }
            AdmissionDecision::Refused(AdmissionRefusal::QueueFull { retry_after }) => {
                assert!(!displaces && retry_after >= MIN_RETRY_AFTER);
            }
            other => panic!("{other:?}"),
        }
        assert_eq!(admission.waiting(), 2);
    }
}

#[test]
fn a_request_that_cannot_be_answered_in_time_is_refused_at_once() {
    let mut admission = admission(1, 100);
    admission.offer(ZERO, 0, ms(10_000));
    admission.finish(ms(100), ms(100));
    admission.offer(ms(100), 0, ms(10_000));
    for _ in 0..5 {
        assert!(matches!(
            admission.offer(ms(100), 0, ms(9_000)),
            AdmissionDecision::Waiting { .. }
        ));
    }
    // Six requests of 100 ms each are ahead.
    let refused = |decision: &AdmissionDecision| {
        matches!(
            decision,
            AdmissionDecision::Refused(AdmissionRefusal::DeadlineTooNear { .. })
        )
    };
    assert!(refused(&admission.offer(ms(100), 1, ms(600))));
    assert!(!refused(&admission.offer(ms(100), 1, ms(800))));
    // At the highest priority no waiting request is ahead.
    let mut urgent = admission.clone();
    assert!(matches!(
        urgent.offer(ms(100), 0, ms(300)),
        AdmissionDecision::Waiting { .. }
    ));
    // Requests whose deadline is too close by then are refused, not run.
    let events = admission.tick(ms(9_500));
    let refusals = events
        .iter()
        .filter(|event| matches!(event, AdmissionEvent::Refused(..)));
    assert_eq!(refusals.count(), 6);
}

#[test]
fn a_request_that_was_overtaken_for_too_long_is_refused_before_its_deadline() {
    let mut admission = admission(1, 10);
    admission.offer(ZERO, 0, ms(10_000));
    admission.finish(ms(100), ms(100));
    admission.offer(ms(100), 0, ms(10_000));
    let low = wait_at(&mut admission, ms(100), 5, 450);
    // Every 100 ms one request ends and two requests of higher priority arrive.
    let mut refused_at = None;
    for round in 2..6 {
        let now = ms(round * 100);
        wait_at(&mut admission, now, 0, 10_000);
        wait_at(&mut admission, now, 0, 10_000);
        let events = admission.finish(now, ms(100));
        let refused = |event: &AdmissionEvent| matches!(event, AdmissionEvent::Refused(ticket, _) if *ticket == low);
        if refused_at.is_none() && events.iter().any(refused) {
            refused_at = Some(now);
        }
    }
    assert_eq!(
        refused_at,
        Some(ms(200)),
        "its deadline is at 450 ms and two requests of 100 ms each are ahead"
    );
}

#[test]
fn an_idle_server_is_tried_whatever_the_estimate_says() {
    let mut admission = admission(1, 10);
    admission.offer(ZERO, 0, ms(100_000));
    admission.finish(ms(50_000), ms(50_000));
    assert_eq!(
        admission.offer(ms(50_000), 0, ms(50_010)),
        AdmissionDecision::Admitted
    );
}

#[test]
fn a_request_with_too_little_time_for_a_slot_is_refused() {
    // Estimate of 100 ms, one request in flight, one slot free: time left in ms, and whether it is sent.
    for (left, sent) in [(90, false), (110, false), (130, true)] {
        let mut admission = admission(2, 10);
        admission.offer(ZERO, 0, ms(10_000));
        admission.finish(ms(100), ms(100));
        admission.offer(ms(100), 0, ms(10_000));
        let offer = admission.offer(ms(100), 0, ms(100 + left));
        assert_eq!(offer == AdmissionDecision::Admitted, sent, "{left} ms left");
    }
}

#[test]
fn one_very_slow_request_barely_changes_the_estimate() {
    let mut admission = admission(1, 10);
    for (taken, least, most) in [(10, 10, 10), (60_000, 10, 14), (10, 10, 14)] {
        admission.offer(ZERO, 0, ms(100_000));
        admission.finish(ZERO, ms(taken));
        let estimate = admission.service_time();
        assert!(
            ms(least) <= estimate && estimate <= ms(most),
            "{estimate:?}"
        );
    }
}

#[test]
fn a_server_that_sheds_gets_fewer_requests_for_a_while() {
    let mut admission = admission(4, 10);
    assert_eq!(admission.limit(ZERO), 4);
    for (expected, _) in [(3, 0), (2, 0), (1, 0), (1, 0)] {
        admission.shed(ZERO);
        assert_eq!(admission.limit(ZERO), expected);
    }
    let limits = [0, 2, 4, 6, 60].map(|second| admission.limit(Duration::from_secs(second)));
    assert_eq!(limits, [1, 2, 3, 4, 4]);
}

#[test]
fn a_cold_server_rises_from_one_slot_to_all() {
    let start = Duration::from_secs(5);
    let ramp = Ramp::cold(start);
    let table = [(0, 1), (1, 1), (2, 2), (3, 4), (60, 4)];
    for (second, expected) in table {
        assert_eq!(ramp.limit(start + Duration::from_secs(second), 4), expected);
    }
    assert_eq!(ramp.limit(start + RAMP_TIME, 1000), 1000);
    assert_eq!(Ramp::warm().limit(ZERO, 4), 4);
}

#[test]
fn retries_stay_within_the_budget() {
    // Percentage, first attempts, and the retries allowed: the reserve plus the earned retries.
    let table = [(0, 1000, 0), (20, 0, 10), (20, 1000, 209), (100, 50, 59)];
    for (percent, first_attempts, expected) in table {
        let mut budget = RetryBudget::new(percent);
        let mut taken = 0;
        for _ in 0..first_attempts {
            budget.record_first_attempt();
            taken += u32::from(budget.try_take());
        }
        while budget.try_take() {
            taken += 1;
        }
        assert_eq!(taken, expected, "{percent} percent");
        assert_eq!(budget.remaining(), 0);
    }
}

fn names(count: usize) -> Vec<ServerName> {
    (0..count)
        .map(|number| format!("server-{number}").parse().expect("name"))
        .collect()
}

#[test]
fn failures_never_empty_a_pool() {
    let config = EjectionConfig::default();
    for (pool, most) in [(1, 0), (2, 1), (3, 1), (6, 3), (15, 7)] {
        let mut ejection = Ejection::new(config);
        for server in &names(pool) {
            for _ in 0..config.failure_threshold * 3 {
                ejection.record_failure(server, ZERO, pool);
            }
        }
        assert_eq!(ejection.ejected_count(), most, "pool of {pool}");
    }
}

#[test]
fn an_ejected_server_is_probed_by_one_request_at_a_time() {
    let config = EjectionConfig::default();
    let server = &names(2)[0];
    let mut ejection = Ejection::new(config);
    for _ in 1..config.failure_threshold {
        assert!(!ejection.record_failure(server, ZERO, 2));
    }
    assert_eq!(ejection.verdict(server, ZERO), Verdict::Allow);
    assert!(ejection.record_failure(server, ZERO, 2));
    let fail_fast = Verdict::FailFast {
        retry_after: config.first_pause,
    };
    assert_eq!(ejection.verdict(server, ZERO), fail_fast);
    assert_eq!(ejection.verdict(server, config.first_pause), Verdict::Probe);
    assert!(matches!(
        ejection.verdict(server, config.first_pause),
        Verdict::FailFast { .. }
    ));
    // A failed probe doubles the time to the next one; a success ends the ejection.
    ejection.record_failure(server, config.first_pause, 2);
    let retry_after = config.first_pause * 2;
    assert_eq!(
        ejection.verdict(server, config.first_pause),
        Verdict::FailFast { retry_after }
    );
    assert!(ejection.record_success(server));
    assert_eq!(ejection.verdict(server, config.first_pause), Verdict::Allow);
}

/// One step of a generated admission sequence.
#[derive(Clone, Copy, Debug)]
enum Step {
    Offer { priority: u32, time: u64 },
    Finish { taken: u64 },
    Shed,
    Withdraw,
    Pass { time: u64 },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        5 => (0u32..4, 1u64..300).prop_map(|(priority, time)| Step::Offer { priority, time }),
        3 => (1u64..50).prop_map(|taken| Step::Finish { taken }),
        1 => Just(Step::Shed),
        1 => Just(Step::Withdraw),
        2 => (1u64..100).prop_map(|time| Step::Pass { time }),
    ];
    proptest::collection::vec(step, 1..200)
}

/// Reference model that counts requests and checks that each ends once.
#[derive(Default)]
struct Model {
    waiting: BTreeMap<Ticket, u32>,
    running: u32,
}

impl Model {
    fn apply(&mut self, events: Vec<AdmissionEvent>) {
        for event in events {
            match event {
                AdmissionEvent::Admitted(ticket) => {
                    let priority = self.waiting.remove(&ticket).expect("waited");
                    let best = self.waiting.values().min();
                    assert!(best.is_none_or(|best| *best >= priority), "overtaken");
                    self.running += 1;
                }
                AdmissionEvent::Refused(ticket, _) => {
                    self.waiting.remove(&ticket).expect("waited");
                }
            }
        }
    }
}

/// Fixes the seed so that every run generates the same cases.
fn fixed_cases() -> ProptestConfig {
    ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(fixed_cases())]

    #[test]
    fn bounds_hold_and_each_request_ends_once(
        slots in 1u32..5, waiting in 0u32..6, steps in steps(),
    ) {
        let mut admission = admission(slots, waiting);
        let mut model = Model::default();
        let mut now = ZERO;
        for step in steps {
            match step {
                Step::Offer { priority, time } => match admission.offer(now, priority, now + ms(time)) {
                    AdmissionDecision::Admitted => model.running += 1,
                    AdmissionDecision::Refused(_) => {}
                    AdmissionDecision::Waiting { ticket, displaced } => {
                        model.waiting.insert(ticket, priority);
                        if let Some((ticket, refusal)) = displaced {
                            model.apply(vec![AdmissionEvent::Refused(ticket, refusal)]);
                        }
                    }
                },
                Step::Finish { taken } if model.running > 0 => {
                    model.running -= 1;
                    let events = admission.finish(now, ms(taken));
                    model.apply(events);
                }
                Step::Shed if model.running > 0 => {
                    model.running -= 1;
                    admission.shed(now);
                    let events = admission.finish_unused(now);
                    model.apply(events);
                }
                Step::Withdraw => {
                    if let Some((&ticket, _)) = model.waiting.first_key_value() {
                        prop_assert!(admission.withdraw(ticket));
                        prop_assert!(!admission.withdraw(ticket));
                        model.waiting.remove(&ticket);
                    }
                }
                Step::Pass { time } => {
                    now += ms(time);
                    let events = admission.tick(now);
                    model.apply(events);
                }
                Step::Finish { .. } | Step::Shed => {}
            }
            prop_assert!(admission.in_flight() <= slots);
            prop_assert!(admission.waiting() <= waiting as usize);
            prop_assert_eq!(admission.in_flight(), model.running);
            prop_assert_eq!(admission.waiting(), model.waiting.len());
        }
    }
}
