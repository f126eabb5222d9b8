//! A gateway's history of servers that crashed while they ran a request.

mod header_names;

use std::time::Duration;

use grebepin_catalog::InstanceId;
use grebepin_gateway::crash_history::{fingerprint, CrashHistory};
use grebepin_reactor::http::{Fields, Request};
use header_names::NAMES;

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn request(method: &str, target: &str, fields: &[(&str, &str)], body: &str) -> Request {
    let mut list = Fields::default();
    for (name, value) in fields {
        list.push(name, value.as_bytes());
    }
    Request {
        method: method.to_owned(),
        target: target.to_owned(),
        fields: list,
        body: body.as_bytes().to_vec().into(),
        keeps_alive: true,
    }
}

/// A gateway that loses its paths sees every server refuse connections, as after a crash.
#[test]
fn crashes_seen_while_no_server_was_heard_are_not_reported() {
    let print = fingerprint(&request("POST", "/a/1", &[("Host", "h")], "pay"), &NAMES);
    let mut history = CrashHistory::default();
    history.note_crash(at(1), print, &InstanceId::new("i-1"));
    history.note_crash(at(3), print, &InstanceId::new("i-2"));
    history.forget_since(at(2));
    let reported = history.reports(at(4));
    let servers: Vec<&InstanceId> = reported.iter().map(|one| &one.server).collect();
    assert_eq!(servers, [&InstanceId::new("i-1")]);
}

#[test]
fn attempts_of_a_request_share_a_fingerprint_and_other_requests_do_not() {
    let of = |target, fields: &[(&str, &str)], body| {
        fingerprint(&request("POST", target, fields, body), &NAMES)
    };
    let first = of(
        "/a/1",
        &[("Host", "h"), ("X-Id", "1"), ("X-Deadline", "900")],
        "pay",
    );
    let again = of(
        "/a/1",
        &[("Host", "h"), ("X-Id", "2"), ("X-Deadline", "300")],
        "pay",
    );
    assert_eq!(first, again);
    let others = [
        of("/a/2", &[("Host", "h")], "pay"),
        of("/a/1", &[("Host", "g")], "pay"),
        of("/a/1", &[("Host", "h")], "paid"),
        of("/a/1", &[("Host", "h"), ("X-Key", "7")], "pay"),
        of("/a/1p", &[("Host", "h")], "ay"),
        fingerprint(&request("PUT", "/a/1", &[("Host", "h")], "pay"), &NAMES),
    ];
    assert!(others.iter().all(|other| *other != first), "{others:?}");
}

#[test]
fn a_crash_is_reported_until_it_expires_or_the_request_completes_elsewhere() {
    let mut crashes = CrashHistory::default();
    let poison = fingerprint(&request("GET", "/p", &[], ""), &NAMES);
    let server = InstanceId::started_at("i-1", 5);
    crashes.note_crash(at(10), poison, &server);
    crashes.note_crash(at(10), poison, &server);
    assert!(crashes.has_unreported() && crashes.is_suspect(poison));
    let reports = crashes.reports(at(12));
    assert_eq!(reports.len(), 1, "one instance crashes once");
    assert_eq!((&reports[0].server, reports[0].age), (&server, at(2)));
    assert!(!crashes.has_unreported());
    assert_eq!(crashes.reports(at(13)).len(), 1, "reported again");
    assert!(crashes.reports(at(200)).is_empty(), "expired");
    crashes.note_crash(at(300), poison, &server);
    crashes.clear(poison);
    assert!(crashes.is_empty(), "another server completed it");
}

#[test]
fn the_number_of_recorded_crashes_is_bounded() {
    let mut crashes = CrashHistory::default();
    for number in 0..10_000 {
        let one = fingerprint(&request("GET", &format!("/{number}"), &[], ""), &NAMES);
        crashes.note_crash(at(1), one, &InstanceId::new("i-1"));
    }
    assert!(crashes.reports(at(2)).len() <= 32);
}
