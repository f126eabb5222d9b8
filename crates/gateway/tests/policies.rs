//! Retry budgets, load balancing and concurrency limits, traffic split by weight, relays, stopping.

use std::collections::BTreeSet;
use std::time::Duration;

use grebepin_catalog::{Instance, InstanceId, InstanceState, RequestKind, Route, WeightedService};
use grebepin_gateway::load::LoadCounts;
use grebepin_gateway::load_balancer::LoadBalancer;
use grebepin_gateway::refusal::Refusal;
use grebepin_gateway::relays::Relays;
use grebepin_gateway::retry_budget::{RetryBudgetBound, RetryBudgets};
use grebepin_gateway::stopping::Stopping;
use grebepin_gateway::table::Splitter;
use proptest::prelude::*;

fn ms(number: u64) -> Duration {
    Duration::from_millis(number)
}

fn instance(name: &str, zone: &str) -> Instance {
    Instance {
        id: InstanceId::new(name),
        service: "s".to_owned(),
        address: "10.0.0.1:80".to_owned(),
        zone: zone.to_owned(),
        slots: 2,
        state: InstanceState::Ready,
        is_cold: false,
    }
}

fn chosen(balance: &LoadBalancer, servers: &[Instance], now: Duration) -> Option<String> {
    let server = balance.choose(servers.iter(), "here", now, &mut || 0.5);
    server.map(|server| server.id.name().to_owned())
}

#[test]
fn all_gateways_together_stay_within_the_bound_on_retries() {
    let bound = RetryBudgetBound {
        ratio: 0.2,
        window: ms(10_000),
        slack: 56.0,
    };
    let gateways = 8;
    let mut all = 0;
    for number in 0..gateways {
        let mut budgets = RetryBudgets::new(bound, &format!("g-{number}"));
        budgets.set_gateways(gateways);
        for number in 0..100_u64 {
            budgets.note_request("s", ms(number * 100));
        }
        all += (0..1_000)
            .filter(|_| budgets.take("s", ms(9_999), true))
            .count();
    }
    let allowed = 0.2 * 100.0 * f64::from(gateways) + 56.0;
    assert!(all > 0 && (all as f64) < allowed, "{all} of {allowed}");
}

#[test]
fn a_budget_recovers_over_time() {
    let bound = RetryBudgetBound {
        ratio: 0.0,
        window: ms(1_000),
        slack: 2.0,
    };
    let mut budgets = RetryBudgets::new(bound, "g");
    assert!(budgets.take("s", ms(0), true));
    assert!(!budgets.take("s", ms(500), true));
    assert!(budgets.take("s", ms(1_001), true));
}

#[test]
fn an_unreachable_server_is_ejected_for_a_growing_time_and_used_when_no_other_is_left() {
    let servers = [instance("a", "here"), instance("b", "there")];
    let mut balance = LoadBalancer::default();
    assert_eq!(
        chosen(&balance, &servers, ms(0)).as_deref(),
        Some("a"),
        "the same zone first"
    );
    let first = balance.connection_failed(&servers[0].id, ms(0));
    let second = balance.connection_failed(&servers[0].id, ms(0));
    assert!(second > first);
    assert_eq!(chosen(&balance, &servers, ms(1)).as_deref(), Some("b"));
    balance.connection_failed(&servers[1].id, ms(0));
    assert!(chosen(&balance, &servers, ms(1)).is_some());
    assert_eq!(chosen(&balance, &servers, ms(5_000)).as_deref(), Some("a"));
}

#[test]
fn a_slow_server_gets_fewer_requests() {
    let servers = [instance("slow", "here"), instance("fast", "here")];
    let mut balance = LoadBalancer::default();
    for number in 0..50 {
        balance.answered(&servers[0].id, ms(number), ms(400), ms(300));
        balance.answered(&servers[1].id, ms(number), ms(50), ms(300));
    }
    assert_eq!(chosen(&balance, &servers, ms(60)).as_deref(), Some("fast"));
}

/// Cuts a server's limit to its minimum.
fn overload(balance: &mut LoadBalancer, id: &InstanceId) {
    for number in 0..20 {
        balance.overloaded(id, ms(number * 200));
    }
}

#[test]
fn an_overloaded_server_gets_one_request_at_a_time_with_pauses() {
    let servers = [instance("a", "here")];
    let id = &servers[0].id;
    let mut balance = LoadBalancer::default();
    overload(&mut balance, id);
    assert!(balance.has_room(id, ms(5_000)));
    balance.begin(id);
    assert!(!balance.has_room(id, ms(5_000)), "one at a time");
    balance.end(id, ms(5_050));
    let opens_at = balance.opens_at(id, ms(5_050)).expect("a pause");
    assert!(!balance.has_room(id, opens_at - ms(1)));
    assert_eq!(chosen(&balance, &servers, opens_at - ms(1)), None);
    assert!(balance.has_room(id, opens_at));
}

#[test]
fn a_limit_grows_with_fast_responses_while_it_holds_requests_back() {
    let servers = [instance("a", "here")];
    let id = &servers[0].id;
    let mut balance = LoadBalancer::default();
    overload(&mut balance, id);
    let mut now = ms(5_000);
    for _ in 0..20 {
        now = balance.opens_at(id, now).unwrap_or(now);
        balance.begin(id);
        now += ms(50);
        balance.end(id, now);
        balance.answered(id, now, ms(50), ms(300));
    }
    balance.begin(id);
    assert!(balance.has_room(id, now), "two at a time");
}

/// Guards against a limit that grows to 32 at a lightly used server: a key that then became busy would fill
/// the server's queue at once.
#[test]
fn responses_to_single_requests_do_not_raise_the_limit() {
    let servers = [instance("a", "here")];
    let id = &servers[0].id;
    let mut balance = LoadBalancer::default();
    balance.set_gateways(4);
    balance.connection_opened(&servers[0]);
    for number in 0..100 {
        balance.begin(id);
        balance.end(id, ms(number * 100 + 50));
        balance.answered(id, ms(number * 100 + 50), ms(50), ms(300));
    }
    let now = ms(20_000);
    let mut taken = 0;
    while balance.has_room(id, now) {
        balance.begin(id);
        taken += 1;
    }
    assert_eq!(taken, 3, "6 for each of 2 slots, shared by 4 gateways");
}

#[test]
fn a_server_of_another_zone_is_taken_when_those_of_the_same_are_busy() {
    let servers = [instance("near", "here"), instance("far", "there")];
    let mut balance = LoadBalancer::default();
    assert_eq!(chosen(&balance, &servers, ms(0)).as_deref(), Some("near"));
    balance.begin(&servers[0].id);
    balance.begin(&servers[0].id);
    assert_eq!(chosen(&balance, &servers, ms(0)).as_deref(), Some("far"));
}

#[test]
fn the_retry_delay_of_a_refusal_leaves_most_of_the_clients_time() {
    let left = Some(ms(1_500));
    assert_eq!(Refusal::NoOwner.retry_after(left), Some(ms(495)));
    assert_eq!(Refusal::Unconfigured.retry_after(left), Some(ms(495)));
    assert_eq!(Refusal::Unconfigured.retry_after(None), Some(ms(200)));
    assert!(
        Refusal::Stopping
            .retry_after(left)
            .is_some_and(|pause| pause < ms(50)),
        "another gateway can serve it"
    );
}

#[test]
fn a_quarantined_request_gets_no_retry_delay() {
    assert_eq!(Refusal::Quarantined.retry_after(Some(ms(1_500))), None);
    assert_eq!(Refusal::Quarantined.retry_after(None), None);
}

#[test]
fn a_stopping_gateway_continues_to_serve_and_exits_before_it_is_killed() {
    let stopping = Stopping::new(ms(1_000), ms(6_000));
    assert!(!stopping.closes_idle(ms(3_000)));
    assert!(!stopping.is_over(ms(3_000), 0, 0), "clients may still come");
    assert!(stopping.is_over(ms(3_700), 0, 0));
    assert!(!stopping.is_over(ms(3_700), 1, 1), "a request is in flight");
    assert!(stopping.is_over(ms(6_700), 1, 1));
}

/// Guards against a request that was accepted 5.4 s after the request to stop and cut off 0.2 s later.
#[test]
fn a_stopping_gateway_refuses_requests_that_it_could_not_finish() {
    let stopping = Stopping::new(ms(23_107), ms(6_000));
    assert!(!stopping.can_finish(ms(28_500 + 1_000)));
    assert!(
        stopping.can_finish(ms(26_200 + 1_000)),
        "3 s after the request to stop"
    );
}

fn named(own: &str, addresses: &[&str]) -> Relays {
    let mut relays = Relays::new(own);
    let addresses: Vec<String> = addresses.iter().map(ToString::to_string).collect();
    relays.note(ms(0), &addresses);
    relays
}

#[test]
fn relays_are_followed_only_after_the_leader_was_silent_for_a_while() {
    let relays = named("b", &["a", "c"]);
    assert!(!relays.are_needed(ms(10_500), Some(ms(10_000))));
    assert!(relays.are_needed(ms(11_000), Some(ms(10_000))));
    assert!(
        relays.are_needed(ms(1_000), None),
        "no leader has ever sent a message"
    );
}

#[test]
fn two_relays_are_followed_the_next_ones_after_the_own_address() {
    let relays = named("b", &["a", "b", "c", "d"]);
    assert_eq!(relays.wanted(ms(1), &[]), ["c", "d"]);
    let followed = "c".to_owned();
    assert_eq!(relays.wanted(ms(1), &[&followed]), ["d"]);
    assert_eq!(named("d", &["a", "b", "d"]).wanted(ms(1), &[]), ["a", "b"]);
}

#[test]
fn a_failed_relay_is_avoided_for_a_while() {
    let mut relays = named("b", &["c", "d", "e"]);
    relays.failed(ms(100), "c");
    assert_eq!(relays.wanted(ms(200), &[]), ["d", "e"]);
    assert_eq!(relays.wanted(ms(5_000), &[]), ["c", "d"]);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(200) })]

    /// After any number of requests, the count of each target differs from its share by weight by at most the
    /// number of targets.
    #[test]
    fn requests_are_divided_by_weight(weights in prop::collection::vec(0_u32..100, 1..5)) {
        prop_assume!(weights.iter().any(|weight| *weight > 0));
        let targets = weights.iter().map(|weight| WeightedService {
            service: "s".to_owned(),
            weight: *weight,
        });
        let route = Route {
            host: "h".to_owned(),
            prefix: "/".to_owned(),
            kind: RequestKind::Safe,
            target_latency: ms(100),
            timeout: ms(1_000),
            maximum_attempts: 2,
            priority: 0,
            targets: targets.collect(),
        };
        let total: u32 = weights.iter().sum();
        let mut splitter = Splitter::default();
        let mut counts = vec![0_u32; weights.len()];
        for sent in 1..=300_u32 {
            counts[splitter.next("r", &route)] += 1;
            for (count, weight) in counts.iter().zip(&weights) {
                let wanted = f64::from(sent) * f64::from(*weight) / f64::from(total);
                let off = (f64::from(*count) - wanted).abs();
                prop_assert!(off <= weights.len() as f64, "{counts:?} of {weights:?}");
            }
        }
    }
}

#[test]
fn an_overload_is_reported_once_and_counts_are_reset() {
    let mut counts = LoadCounts::default();
    counts.note_request("s", 7);
    assert!(
        !counts.is_overloaded(),
        "an accepted request is no overload"
    );
    counts.note_overload();
    assert!(counts.is_overloaded());
    let sample = counts.take();
    assert_eq!(sample.shards, [("s".to_owned(), vec![(7, 1)])]);
    assert!(!counts.is_overloaded(), "the next report is not sent early");
    assert!(counts.take().shards.is_empty());
}

/// With hundreds of servers, a gateway would otherwise spend its requests on trying each of them once.
#[test]
fn untried_servers_are_tried_in_the_own_zone_and_not_across_zones() {
    let tried = instance("tried", "here");
    let untried = instance("untried", "here");
    let remote = instance("remote", "there");
    let mut balance = LoadBalancer::default();
    for number in 0..20 {
        balance.answered(&tried.id, ms(number), ms(400), ms(900));
        balance.note_service_time("s", ms(400));
    }
    let both = [tried.clone(), remote.clone()];
    assert_eq!(chosen(&balance, &both, ms(30)).as_deref(), Some("tried"));
    let joined = [tried.clone(), untried];
    assert_eq!(
        chosen(&balance, &joined, ms(30)).as_deref(),
        Some("untried"),
        "a server that joined is tried"
    );
    for _ in 0..2 {
        balance.begin(&tried.id);
    }
    assert_eq!(
        chosen(&balance, &both, ms(30)).as_deref(),
        Some("remote"),
        "a busy zone uses servers of others"
    );
}

/// Names of the servers that get one gateway's requests. Each request ends before the next begins.
fn servers_used(
    balance: &mut LoadBalancer,
    servers: &[Instance],
    requests: u64,
) -> BTreeSet<String> {
    let mut used = BTreeSet::new();
    for number in 0..requests {
        let now = ms(number * 500);
        let server = balance
            .choose(servers.iter(), "here", now, &mut || 0.5)
            .expect("no server is busy");
        balance.begin(&server.id);
        balance.end(&server.id, now + ms(200));
        balance.answered(&server.id, now + ms(200), ms(200), ms(800));
        balance.note_service_time("s", ms(200));
        used.insert(server.id.name().to_owned());
    }
    used
}

/// A gateway uses few of the 400 servers of a large service, so that requests go to servers known to be fast,
/// over connections that are kept alive.
#[test]
fn a_gateway_of_a_large_fleet_keeps_to_few_servers() {
    let servers: Vec<Instance> = (0..400)
        .map(|number| instance(&format!("i-{number}"), "here"))
        .collect();
    let used = servers_used(&mut LoadBalancer::default(), &servers, 200);
    assert!(used.len() <= 12, "{}", used.len());
}

#[test]
fn servers_further_down_take_over_when_the_first_have_no_room_or_are_ejected() {
    let servers: Vec<Instance> = (0..400)
        .map(|number| instance(&format!("i-{number}"), "here"))
        .collect();
    let mut balance = LoadBalancer::default();
    for server in &servers[..50] {
        balance.connection_failed(&server.id, ms(0));
    }
    let chosen = balance.choose(servers.iter(), "here", ms(1), &mut || 0.5);
    let place = servers.iter().position(|one| Some(one) == chosen);
    assert!(place.is_some_and(|place| place >= 50), "{place:?}");
    for server in &servers {
        balance.connection_failed(&server.id, ms(0));
    }
    let chosen = balance.choose(servers.iter(), "here", ms(1), &mut || 0.5);
    assert!(chosen.is_some(), "an ejected server is better than none");
}

/// Number of retries that gateways with `requests` requests each are allowed together, and the deployment's
/// bound.
fn budget_used(gateways: u32, requests: u64, ratio: f64, slack: f64) -> (f64, f64) {
    let bound = RetryBudgetBound {
        ratio,
        window: ms(10_000),
        slack,
    };
    let mut used = 0;
    for number in 0..gateways {
        let mut budgets = RetryBudgets::new(bound, &format!("edge-{number}"));
        budgets.set_gateways(gateways);
        for request in 0..requests {
            budgets.note_request("s", ms(request));
        }
        used += (0..100)
            .filter(|_| budgets.take("s", ms(9_000), true))
            .count();
    }
    let allowed = ratio * requests as f64 * f64::from(gateways) + slack;
    (used as f64, allowed)
}

/// Each of 984 gateways may retry 2.3 times for 13 requests, or 0.6 times without any. Together they must use
/// the same fraction of the bound as few gateways do, which they would not if each rounded down to 2 or to
/// none.
#[test]
fn many_gateways_use_as_large_a_part_of_the_budget_as_few() {
    for (requests, slack) in [(13, 1_040.0), (0, 1_040.0), (2, 500.0)] {
        for gateways in [30, 300, 984, 2_000] {
            let (used, allowed) = budget_used(gateways, requests, 0.2, slack);
            let fraction = used / allowed;
            assert!(
                (0.54..0.66).contains(&fraction),
                "{gateways}, {requests}: {fraction}"
            );
        }
    }
}

#[test]
fn half_of_the_budget_is_reserved_for_client_retries() {
    let bound = RetryBudgetBound {
        ratio: 0.2,
        window: ms(10_000),
        slack: 0.0,
    };
    let mut budgets = RetryBudgets::new(bound, "g");
    for request in 0..500 {
        budgets.note_request("s", ms(request));
    }
    let mut taken = |is_client_retry| {
        let attempts = 0..500;
        attempts
            .filter(|_| budgets.take("s", ms(9_000), is_client_retry))
            .count()
    };
    assert_eq!((taken(false), taken(true), taken(false)), (30, 30, 0));
}

/// After a partition all servers have failed; each would be left out for up to 4 s more.
#[test]
fn ejections_by_a_lost_path_end_with_it() {
    let mut balance = LoadBalancer::default();
    let servers = [instance("before", "here"), instance("during", "here")];
    for server in &servers {
        balance.connection_opened(server);
    }
    balance.connection_failed(&servers[0].id, ms(900));
    balance.connection_failed(&servers[1].id, ms(1_100));
    balance.end_ejections(ms(1_000), |id| id.name() != "other");
    assert!(balance.ejected_until(&servers[0].id, ms(1_150)).is_some());
    assert!(balance.ejected_until(&servers[1].id, ms(1_150)).is_none());
}
