//! Tests the search for the leader against HTTP servers on loopback that return prepared responses.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use grebepin_admin_client::{AdminClient, ClientError, ClientOptions};
use grebepin_schema::{ApiErrorKind, ReplicaId};
use serde_json::{json, Value};

const ANSWER: &str = r#"{"index":9,"shards":4}"#;

/// A replica that returns its answers in turn, and repeats the last one.
struct Replica {
    address: SocketAddr,
    requests: Arc<AtomicUsize>,
    answers: Arc<Mutex<Vec<(u16, String)>>>,
}

fn replica(answers: &[(u16, Value)]) -> Replica {
    let answers = answers
        .iter()
        .map(|(status, body)| (*status, body.to_string()));
    let answers: Arc<Mutex<Vec<_>>> = Arc::new(Mutex::new(answers.collect()));
    let requests = Arc::new(AtomicUsize::new(0));
    let (shared_answers, shared_requests) = (answers.clone(), requests.clone());
    let server = rouille::Server::new("127.0.0.1:0", move |_| {
        let position = shared_requests.fetch_add(1, Ordering::SeqCst);
        let answers = shared_answers.lock().expect("not poisoned");
        let (status, body) = answers[position.min(answers.len() - 1)].clone();
        rouille::Response::from_data("application/json", body).with_status_code(status)
    })
    .expect("binds");
    let address = server.server_addr();
    std::thread::spawn(move || server.run());
    Replica {
        address,
        requests,
        answers,
    }
}

fn refusal(kind: &str, leader: Option<SocketAddr>) -> (u16, Value) {
    let mut body = json!({"kind": kind, "message": "do this"});
    if let Some(leader) = leader {
        body["leader_admin_address"] = json!(leader.to_string());
    }
    (409, body)
}

fn success() -> (u16, Value) {
    (200, serde_json::from_str(ANSWER).expect("JSON"))
}

fn client(addresses: Vec<SocketAddr>, leader_search_timeout: Duration) -> AdminClient {
    let timeout = Duration::from_secs(10);
    AdminClient::new(
        addresses,
        ClientOptions {
            timeout,
            leader_search_timeout,
        },
    )
}

fn drain(client: &AdminClient) -> Result<u32, ClientError> {
    let server = "av-01".parse().expect("a name");
    client.drain(&server, true).map(|answer| answer.shards)
}

fn dead_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("binds");
    listener.local_addr().expect("has an address")
}

#[test]
fn the_leader_is_found_whatever_the_others_say() {
    let leader = replica(&[success()]);
    let others = [
        (
            "names the leader",
            vec![refusal("not-leader", Some(leader.address))],
        ),
        ("names nobody", vec![refusal("no-leader", None)]),
        (
            "names a dead one",
            vec![refusal("not-leader", Some(dead_address()))],
        ),
        (
            "lost its leadership",
            vec![refusal("lost-leadership", None)],
        ),
    ];
    for (case, answers) in others {
        let other = replica(&answers);
        let client = client(vec![other.address, leader.address], Duration::from_secs(30));
        assert_eq!(drain(&client).expect(case), 4, "{case}");
    }
    let client = client(
        vec![dead_address(), leader.address],
        Duration::from_secs(30),
    );
    assert_eq!(drain(&client).expect("passes over a dead one"), 4);
}

#[test]
fn a_replica_that_becomes_leader_later_answers() {
    let late = replica(&[
        refusal("no-leader", None),
        refusal("no-leader", None),
        success(),
    ]);
    let client = client(vec![late.address], Duration::from_secs(30));
    assert_eq!(drain(&client).expect("answers at last"), 4);
    assert_eq!(late.requests.load(Ordering::SeqCst), 3);
}

#[test]
fn a_typed_refusal_is_final() {
    let kinds = [
        ("unknown-server", ApiErrorKind::UnknownServer),
        ("version-conflict", ApiErrorKind::VersionConflict),
        ("membership-busy", ApiErrorKind::MembershipBusy),
    ];
    for (text, kind) in kinds {
        let replica = replica(&[refusal(text, None)]);
        let client = client(vec![replica.address], Duration::from_secs(30));
        let error = drain(&client).expect_err(text);
        assert_eq!(error.kind(), Some(kind));
        assert!(!error.outcome_is_unknown());
        assert_eq!(replica.requests.load(Ordering::SeqCst), 1);
    }
}

#[test]
fn without_a_leader_each_replica_is_named_and_lost_answers_are_unknown() {
    let lost = replica(&[refusal("lost-leadership", None)]);
    let leaderless = replica(&[refusal("no-leader", None)]);
    let cases = [(lost.address, true), (leaderless.address, false)];
    for (address, unknown) in cases {
        let client = client(vec![address], Duration::ZERO);
        let error = client.remove_member(ReplicaId(3)).expect_err("no leader");
        assert!(error.to_string().contains(&address.to_string()), "{error}");
        assert_eq!(error.outcome_is_unknown(), unknown);
    }
    let nobody = client(Vec::new(), Duration::ZERO);
    assert!(matches!(nobody.status(), Err(ClientError::NoAddresses)));
}

#[test]
fn an_answer_of_another_form_is_malformed() {
    let odd = replica(&[(200, json!({"index": "nine"})), (500, json!("oops"))]);
    for status in [200, 500] {
        let error = drain(&client(vec![odd.address], Duration::ZERO)).expect_err("malformed");
        assert!(matches!(error, ClientError::Malformed { status: found, .. } if found == status));
    }
    assert_eq!(odd.answers.lock().expect("not poisoned").len(), 2);
}

fn status(replica: u64, role: &str, term: u64, admin_addresses: &[SocketAddr]) -> (u16, Value) {
    let member = |address: &SocketAddr| {
        let address = address.to_string();
        json!({"match_index": 1, "last_heard_ms": 0, "member": {
            "replica": 1, "role": "voter", "zone": "a", "peer_address": address,
            "router_address": address, "admin_address": address}})
    };
    let members: Vec<_> = admin_addresses.iter().map(member).collect();
    let body = json!({"group": 0, "replica": replica, "role": role, "term": term, "commit": 1,
        "applied": 1, "members": members, "tolerated": {"replicas": 0, "zones": []},
        "servers": [], "routers": [], "unowned_shards": 0, "moving_shards": 0, "table_index": 0});
    (200, body)
}

#[test]
fn status_is_the_leaders_or_else_the_newest() {
    let leader = replica(&[status(1, "leader", 3, &[])]);
    let follower = replica(&[status(2, "follower", 3, &[leader.address])]);
    let stale = replica(&[status(3, "follower", 2, &[])]);
    let cases = [
        ("advertised by a follower", vec![follower.address], 1),
        (
            "among the addresses",
            vec![stale.address, dead_address(), leader.address],
            1,
        ),
        ("no leader", vec![stale.address, dead_address()], 3),
    ];
    for (case, addresses, expected) in cases {
        let status = client(addresses, Duration::ZERO).status().expect(case);
        assert_eq!(status.replica, ReplicaId(expected), "{case}");
    }
    let newest = replica(&[status(4, "candidate", 4, &[])]);
    let client = client(vec![stale.address, newest.address], Duration::ZERO);
    assert_eq!(client.status().expect("a follower's").replica, ReplicaId(4));
}

#[test]
fn before_the_first_bundle_there_is_none() {
    let empty = replica(&[(404, json!({"kind": "not-found", "message": "none yet"}))]);
    let client = client(vec![empty.address], Duration::ZERO);
    assert!(client.bundle().expect("answers").is_none());
}
