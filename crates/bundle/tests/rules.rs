//! Violates each rule for bundles once.

mod common;

use common::{changed, recife};
use grebepin_bundle::{check, check_first, check_successor, digest, Finding};
use serde_json::{json, Value};

#[test]
fn every_deployment_passes() {
    let texts = [
        include_str!("../../../deployments/recife/bundle-1.json"),
        include_str!("../../../deployments/recife/bundle-2.json"),
        include_str!("../../../deployments/pnw-west/bundle-1.json"),
        include_str!("../../../deployments/pnw-west/bundle-2.json"),
    ];
    let bundles = texts.map(|text| serde_json::from_str(text).expect("parses"));
    for bundle in &bundles {
        assert_eq!(check(bundle), Ok(()));
    }
    for pair in bundles.chunks(2) {
        assert_eq!(check_first(&pair[0]), Ok(()));
        assert_eq!(check_successor(&pair[0], &pair[1]), Ok(()));
    }
}

/// Field, its new value in JSON, and a part of the text of the expected finding.
#[rustfmt::skip]
const RULES: &[(&str, &str, &str)] = &[
    ("/version", "0", "version: 0 is outside"),
    ("/services", "[]", "services: 0 is outside"),
    ("/services/1/name", "\"saldo-limite\"", "services[saldo-limite]: saldo-limite stands twice"),
    ("/services/0/name", "\"grebepin\"", "services[grebepin].name: the name grebepin is reserved"),
    ("/services/0/shards", "4194305", "services[saldo-limite].shards: 4194305 is outside"),
    ("/services/0/sides", "[]", "sides: at least one"),
    ("/services/0/sides/1/side", "\"old\"", "sides[old]: old stands twice"),
    ("/services/0/sides/1/side", "\"third\"", "sides[third]: the side has a share and no server"),
    ("/services/0/sides/1/side", "\"third\"", "servers[sl-08].side: the service has no side new"),
    ("/services/0/sides/1/share", "1000001", "sides[new].share: 1000001 is outside"),
    ("/services/0/sides", r#"[{"side":"old","share":0},{"side":"new","share":0}]"#, "all shares are zero"),
    ("/services/0/servers", "[]", "servers: at least one"),
    ("/services/0/servers/0/name", "\"cl-01\"", "servers[cl-01]: cl-01 stands twice"),
    ("/services/0/servers/0/address", "\"127.10.2.2:7100\"", "127.10.2.2:7100 stands twice"),
    ("/services/0/servers/0/address", "\"999.1.1.1:80\"", "not a reachable IP number"),
    ("/services/0/servers/0/address", "\"127.0.0.1:0\"", "not a reachable IP number"),
    ("/services/0/servers/0/address", "\"0.0.0.0:80\"", "not a reachable IP number"),
    ("/services/0/servers/0/address", "\"224.0.0.1:80\"", "not a reachable IP number"),
    ("/services/0/servers/0/address", "\"127.0.0.1:70000\"", "not a reachable IP number"),
    ("/services/0/servers/0/slots", "4097", "slots: 4097 is outside"),
    ("/services/0/servers/0/slots", "101", "100 connections are fewer than 101 slots"),
    ("/services/0/servers/0/connections", "65536", "connections: 65536 is outside"),
    ("/services/0/servers/0/weight", "1000001", "weight: 1000001 is outside"),
    ("/services/0/classes", "[]", "classes: at least one"),
    ("/services/0/classes/0/name", "\"limit-check\"", "limit-check stands twice"),
    ("/services/0/classes/0/priority", "10", "priority: 10 is outside"),
    ("/services/0/classes/0/deadline_ms", "600001", "deadline_ms: 600001 is outside"),
    ("/services/0/classes/0/path_prefix", "\"hold\"", "not a path prefix"),
    ("/services/0/classes/0/path_prefix", "\"/a?b\"", "not a path prefix"),
    ("/services/0/classes/0/method", "\"post\"", "not an HTTP method"),
    ("/services/0/classes/1/path_prefix", "\"/\"", "the earlier class limit-check takes all"),
    ("/services/0/queue/waiting_per_server", "100001", "waiting_per_server: 100001 is outside"),
    ("/services/0/retry/budget_percent", "1001", "budget_percent: 1001 is outside"),
    ("/services/0/retry/attempts", "11", "attempts: 11 is outside"),
    ("/services/0/churn/moves_per_minute", "1000001", "moves_per_minute: 1000001 is outside"),
    ("/services/0/churn/concurrent_moves", "100001", "concurrent_moves: 100001 is outside"),
    ("/services/0/churn/imbalance_percent", "10001", "imbalance_percent: 10001 is outside"),
];

#[test]
fn each_rule_of_a_bundle_names_the_field() {
    for (pointer, value, expected) in RULES {
        let bundle = changed(&recife(), &[(pointer, parse(value))]);
        assert_finding(check(&bundle), pointer, expected);
    }
    let long = json!("x".repeat(4097));
    let bundle = changed(&recife(), &[("/note", long)]);
    assert_finding(check(&bundle), "/note", "note: 4097 bytes");
}

/// Like [`RULES`], for a bundle that replaces the bundle of the deployment.
#[rustfmt::skip]
const SUCCESSOR_RULES: &[(&str, &str, &str)] = &[
    ("/deployment", "\"caruaru\"", "deployment: the deployment is recife"),
    ("/version", "1", "version: version 1 does not follow"),
    ("/parent", "null", "parent: the accepted bundle is"),
    ("/services/0/shards", "512", "a service keeps its 1024 shards"),
    ("/services/1/servers/0/name", "\"sl-01\"", "the server served saldo-limite"),
];

#[test]
fn each_rule_between_two_bundles_names_the_field() {
    let old = recife();
    let parent = json!(digest(&old).as_str());
    let good = changed(&old, &[("/version", json!(2)), ("/parent", parent)]);
    assert_eq!(check_successor(&old, &good), Ok(()));
    let address = ("/services/0/servers/0/address", json!("127.10.9.9:1"));
    let moved = changed(&good, &[address]);
    assert_eq!(check_successor(&old, &moved), Ok(()), "a server may move");
    for (pointer, value, expected) in SUCCESSOR_RULES {
        let bundle = changed(&good, &[(pointer, parse(value))]);
        assert_finding(check_successor(&old, &bundle), pointer, expected);
    }
    assert!(check_first(&good).is_err(), "a first bundle has no parent");
}

fn parse(value: &str) -> Value {
    serde_json::from_str(value).expect("JSON")
}

fn assert_finding(result: Result<(), Vec<Finding>>, case: &str, expected: &str) {
    let findings = result.expect_err(case);
    let texts: Vec<_> = findings.iter().map(ToString::to_string).collect();
    let found = texts.iter().any(|text| text.contains(expected));
    assert!(found, "{case}: no {expected:?} in {texts:?}");
}
