//! Choice of another gateway for requests whose servers this one can't reach, and the fields between gateways.

mod header_names;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use grebepin_gateway::hop::{is_hop_field, HopOutcome, HopRequest};
use grebepin_gateway::http_writer::write_forwarded_head;
use grebepin_gateway::peers::Peers;
use grebepin_gateway::refusal::Refusal;
use grebepin_reactor::http::{Fields, Request, RequestLimits, RequestReader};
use header_names::NAMES;

const SERVICE: &str = "ledger";

fn ms(number: u64) -> Duration {
    Duration::from_millis(number)
}

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 17_500))
}

/// A source of numbers between 0 and 1 that repeats after 97 steps.
fn random() -> impl FnMut() -> f64 {
    let mut state = 0;
    move || {
        state = (state + 37) % 97;
        f64::from(state) / 97.0
    }
}

fn peers(count: u8) -> Peers {
    let mut peers = Peers::new("a");
    peers.update((1..=count).map(address));
    peers
}

fn choose(peers: &Peers, now: u64, tried: &[SocketAddr]) -> Option<SocketAddr> {
    peers.choose(ms(now), SERVICE, tried, &mut random())
}

#[test]
fn a_gateway_without_others_forwards_nothing() {
    assert!(peers(0).is_empty());
    assert_eq!(choose(&peers(0), 0, &[]), None);
}

#[test]
fn a_gateway_that_was_tried_or_failed_is_not_chosen() {
    let mut peers = peers(2);
    assert_eq!(choose(&peers, 0, &[address(1), address(2)]), None);
    peers.failed(ms(0), address(1));
    assert_eq!(choose(&peers, 1, &[]), Some(address(2)));
    assert_eq!(choose(&peers, 1, &[address(2)]), None);
    assert_eq!(choose(&peers, 600, &[address(2)]), Some(address(1)));
}

#[test]
fn a_gateway_that_fails_again_and_again_is_avoided_for_longer() {
    let mut peers = peers(1);
    let mut now = 0;
    let mut waits = Vec::new();
    for _ in 0..6 {
        peers.failed(ms(now), address(1));
        let since = now;
        while choose(&peers, now, &[]).is_none() {
            now += 10;
        }
        waits.push(now - since);
    }
    assert_eq!(waits, [500, 1_000, 2_000, 4_000, 4_000, 4_000]);
}

/// Clients of a gateway that is cut off must get their share of the links that are left.
#[test]
fn a_gateway_with_a_full_link_is_asked_again_soon() {
    let mut peers = peers(1);
    for at in (0..2_000).step_by(100) {
        assert_eq!(choose(&peers, at, &[]), Some(address(1)));
        peers.overloaded(ms(at), address(1));
        assert_eq!(choose(&peers, at + 50, &[]), None);
    }
}

#[test]
fn a_gateway_that_lost_its_paths_to_a_service_is_used_for_others() {
    let mut peers = peers(1);
    peers.lost_paths(ms(0), address(1), SERVICE);
    assert_eq!(choose(&peers, 100, &[]), None);
    let other = peers.choose(ms(100), "payout", &[], &mut random());
    assert_eq!(other, Some(address(1)));
    peers.served(address(1), SERVICE);
    assert_eq!(choose(&peers, 100, &[]), Some(address(1)));
}

/// Bytes between zones are costly and take time.
#[test]
fn gateways_of_the_same_zone_get_most_requests() {
    let mut peers = peers(4);
    for number in 1..=4 {
        let zone = if number <= 2 { "a" } else { "b" };
        peers.answered(address(number), Some(zone.to_owned()));
    }
    let mut counts: BTreeMap<SocketAddr, u32> = BTreeMap::new();
    let mut random = random();
    for _ in 0..12 {
        let chosen = peers.choose(ms(0), SERVICE, &[], &mut random);
        let chosen = chosen.expect("a gateway");
        peers.begin(chosen);
        *counts.entry(chosen).or_default() += 1;
    }
    let of_zone = |range: std::ops::RangeInclusive<u8>| -> u32 {
        range
            .filter_map(|number| counts.get(&address(number)))
            .sum()
    };
    assert_eq!(of_zone(1..=4), 12);
    assert!(of_zone(1..=2) >= 7, "{counts:?}");
    assert!(of_zone(3..=4) >= 2, "{counts:?}");
}

/// With hundreds of gateways, each needs connections to a few only.
#[test]
fn few_gateways_are_in_use_at_any_size() {
    let mut peers = peers(250);
    let mut used = std::collections::BTreeSet::new();
    let mut random = random();
    for _ in 0..2_000 {
        let chosen = peers.choose(ms(0), SERVICE, &[], &mut random);
        let chosen = chosen.expect("a gateway");
        peers.answered(chosen, Some("a".to_owned()));
        used.insert(chosen);
    }
    assert!(used.len() <= 6, "{} in use", used.len());
}

/// A server that is down for all must not cause detours.
#[test]
fn a_server_that_others_do_not_reach_either_is_not_asked_for_through_them() {
    let mut peers = peers(5);
    assert!(peers.may_reach("i-1", ms(0)));
    peers.unreachable("i-1", ms(0));
    assert!(
        peers.may_reach("i-1", ms(1)),
        "one gateway may be cut off itself"
    );
    peers.unreachable("i-1", ms(1));
    assert!(!peers.may_reach("i-1", ms(2)));
    assert!(peers.may_reach("i-2", ms(2)));
    assert!(peers.may_reach("i-1", ms(600)));
    peers.reached("i-1");
    assert!(peers.may_reach("i-1", ms(600)));
}

#[test]
fn a_server_that_stays_down_causes_ever_fewer_detours() {
    let mut peers = peers(5);
    let mut detours = 0;
    for at in (0..60_000).step_by(20) {
        peers.forget_expired(ms(at));
        if peers.may_reach("i-1", ms(at)) {
            detours += 1;
            peers.unreachable("i-1", ms(at));
        }
    }
    assert!(detours <= 40, "{detours} detours in a minute");
}

fn request(fields: &[(&str, &str)]) -> Request {
    let mut all = Fields::default();
    for (name, value) in fields {
        all.push(name, value.as_bytes());
    }
    Request {
        method: "GET".to_owned(),
        target: "/x".to_owned(),
        fields: all,
        body: Vec::new().into(),
        keeps_alive: true,
    }
}

/// The request as the other gateway reads it.
fn received(message: &Request, hop: &HopRequest) -> Request {
    let mut bytes = Vec::new();
    write_forwarded_head(&mut bytes, message, &NAMES, ms(500), hop);
    let limits = RequestLimits {
        head_bytes: 4_096,
        body_bytes: 0,
    };
    let read = RequestReader::default().take(&mut bytes, limits);
    read.expect("a valid request").expect("a whole request")
}

/// A client must not choose the service of its request.
#[test]
fn fields_between_gateways_replace_those_of_a_client() {
    let mut message = request(&[("Host", "h"), ("grebepin-HOP-service", "secret")]);
    let hop = HopRequest {
        service: SERVICE.to_owned(),
        is_client_retry: true,
        attempts: 1,
        only_if_heard: true,
    };
    message = received(&message, &hop);
    assert_eq!(message.fields.all("Grebepin-Hop-Service").count(), 1);
    assert_eq!(HopRequest::take(&mut message), Some(hop));
    assert!(message.fields.iter().all(|(name, _)| !is_hop_field(name)));
    assert_eq!(message.fields.get("host"), Some("h"));
    assert_eq!(HopRequest::take(&mut message), None, "not from a gateway");
}

#[test]
fn only_a_request_that_did_not_run_may_be_tried_elsewhere() {
    for status in [500, 502, 504] {
        assert_eq!(HopOutcome::of_status(status), HopOutcome::Unknown);
    }
    assert_eq!(HopOutcome::of_status(503), HopOutcome::Refused);
    assert_eq!(HopOutcome::of_status(404), HopOutcome::Unavailable);
    let of = HopOutcome::of_refusal;
    assert_eq!(of(Refusal::Unreachable, false), HopOutcome::Unreachable);
    assert_eq!(of(Refusal::Unreachable, true), HopOutcome::PathsLost);
    assert_eq!(of(Refusal::Stopping, true), HopOutcome::Unavailable);
    assert_eq!(of(Refusal::NoRoom, true), HopOutcome::Refused);
    assert_eq!(of(Refusal::LinkFull, false), HopOutcome::Overloaded);
}
