//! Limits, faults and planned stop of the simulated back end; lag of the simulated machine list.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use clap::Parser;
use grebepin_schema::hashing::shard_hash;
use grebepin_schema::{Epoch, HistoryEvent, HistoryRecord, ShardId};
use grebepin_standin::back_end::{self, BackEnd};
use grebepin_standin::platform::{self, Platform};
use serde_json::{json, Value};

/// Number of polls of a server after which a test fails.
const MAX_POLLS: u32 = 100_000;

#[derive(Parser)]
struct BackEndFlags {
    #[command(flatten)]
    back_end: back_end::Args,
}

#[derive(Parser)]
struct PlatformFlags {
    #[command(flatten)]
    platform: platform::Args,
}

fn start(more: &[&str]) -> BackEnd {
    let fixed = ["back-end", "--name", "s1", "--listen", "127.0.0.1:0"];
    let flags = BackEndFlags::parse_from(fixed.iter().chain(more));
    BackEnd::start(&flags.back_end).unwrap()
}

/// Sends a request and returns status, head and body; `None` if the connection was closed.
fn call(address: SocketAddr, head: &str, body: &str) -> Option<(u16, String, String)> {
    let mut stream = TcpStream::connect(address).unwrap();
    let length = body.len();
    let text =
        format!("{head}Host: s\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}");
    stream.write_all(text.as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    let (head, body) = answer.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some((status, head.to_owned(), body.to_owned()))
}

fn post(address: SocketAddr, path: &str, body: &Value) -> Value {
    let head = format!("POST {path} HTTP/1.1\r\n");
    let (status, _, body) = call(address, &head, &body.to_string()).unwrap();
    assert_eq!(status, 200, "{path}: {body}");
    serde_json::from_str(&body).unwrap_or_default()
}

/// Grants the server a lease of one minute and shard 0 at epoch 5.
fn grant(address: SocketAddr) {
    grant_for(address, 60_000);
}

fn grant_for(address: SocketAddr, lease_ms: u64) {
    let heartbeat = "/grebepin/v1/heartbeat";
    let first = post(
        address,
        heartbeat,
        &json!({"group": 1, "term": 1, "server": "s1"}),
    );
    let lease =
        json!({"session": first["session"], "nonce": first["nonce"], "duration_ms": lease_ms});
    let renewal = json!({"group": 1, "term": 1, "server": "s1", "lease": lease});
    assert_eq!(post(address, heartbeat, &renewal)["renewed"], true);
    let grants = json!([{"service": "ledger", "shard": 0, "epoch": 5}]);
    let grant = json!({"group": 1, "term": 1, "session": first["session"], "grants": grants});
    let answer = post(address, "/grebepin/v1/grant", &grant);
    assert_eq!(answer["accepted"].as_array().unwrap().len(), 1);
}

/// Sends a request and returns the status and refusal of the answer.
fn ask(address: SocketAddr, id: &str, query: &str) -> Option<(u16, String)> {
    let head = format!(
        "POST /post{query} HTTP/1.1\r\nGrebepin-Service: ledger\r\nGrebepin-Shard: 0\r\n\
         Grebepin-Epoch: 5\r\nGrebepin-Key: k\r\nGrebepin-Request-Id: {id}\r\n\
         Grebepin-Attempt: 1\r\nGrebepin-Deadline-Ms: 30000\r\nGrebepin-Repeatable: false\r\n"
    );
    let (status, head, _) = call(address, &head, "")?;
    let refusal = head
        .lines()
        .find_map(|line| line.strip_prefix("Grebepin-Refusal: "));
    Some((status, refusal.unwrap_or_default().to_owned()))
}

fn history(path: &Path) -> Vec<HistoryEvent> {
    let text = std::fs::read_to_string(path).unwrap();
    let records = text
        .lines()
        .map(|line| serde_json::from_str::<HistoryRecord>(line).unwrap());
    records.map(|record| record.event).collect()
}

fn load(address: SocketAddr) -> Value {
    let (_, _, body) = call(address, "GET /grebepin/v1/load HTTP/1.1\r\n", "").unwrap();
    serde_json::from_str(&body).unwrap()
}

/// Polls the load answer until `member` has the wanted value.
fn wait_for_load(address: SocketAddr, member: &str, wanted: u32) {
    let seen = (0..MAX_POLLS).any(|_| load(address)[member] == wanted);
    assert!(seen, "{member} never was {wanted}");
}

fn ran() -> Option<(u16, String)> {
    Some((200, String::new()))
}

#[test]
fn checksum_vectors_of_the_interface_page() {
    let hash = |service: &str, shard, epoch| {
        shard_hash(&service.parse().unwrap(), ShardId(shard), Epoch(epoch))
    };
    let (first, second) = (hash("carne-ledger", 7, 41), hash("ledgerview", 0, 1));
    assert_eq!(
        (first, second),
        (13634429589050382730, 12981418508426339962)
    );
    assert_eq!(first.wrapping_add(second), 8169104023767171076);
    let page = include_str!("../../../docs/INTERFACES.md");
    for number in [first, second, first.wrapping_add(second)] {
        assert!(page.contains(&number.to_string()), "{number}");
    }
}

#[test]
fn slots_and_waiting_are_bounded_and_the_rest_is_shed() {
    let back_end = start(&["--slots", "1", "--waiting", "1"]);
    let address = back_end.address();
    grant(address);
    std::thread::scope(|scope| {
        let running = scope.spawn(|| ask(address, "running", "?work_ms=1500"));
        wait_for_load(address, "in_flight", 1);
        let waiting = scope.spawn(|| ask(address, "waiting", "?work_ms=1"));
        wait_for_load(address, "waiting", 1);
        assert_eq!(ask(address, "shed", ""), Some((503, "shed".into())));
        assert_eq!(running.join().unwrap(), ran());
        assert_eq!(waiting.join().unwrap(), ran());
    });
    assert_eq!(
        ask(address, "shed", ""),
        ran(),
        "a shed request is free to run"
    );
}

#[test]
fn connections_over_the_bound_are_closed() {
    let back_end = start(&["--connections", "2"]);
    let address = back_end.address();
    let held: Vec<_> = (0..2)
        .map(|_| {
            let mut stream = TcpStream::connect(address).unwrap();
            stream
                .write_all(b"GET /grebepin/v1/load HTTP/1.1\r\n\r\n")
                .unwrap();
            stream.read_exact(&mut [0; 64]).unwrap();
            stream
        })
        .collect();
    assert_eq!(ask(address, "a", ""), None);
    drop(held);
}

#[test]
fn false_reports_replace_the_real_state() {
    let back_end = start(&["--slots", "3"]);
    let address = back_end.address();
    for (mode, waiting, health) in [
        ("busy", 1000, "ok"),
        ("failing", 1000, "failing"),
        ("none", 0, "ok"),
    ] {
        post(address, &format!("/stand-in/lie?mode={mode}"), &Value::Null);
        assert_eq!(load(address)["waiting"], waiting, "{mode}");
        let (_, _, body) = call(address, "GET /grebepin/v1/health HTTP/1.1\r\n", "").unwrap();
        assert_eq!(body, format!("{{\"state\":\"{health}\"}}"));
    }
}

#[test]
fn effects_are_in_the_history_before_their_answers() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("history.jsonl");
    let back_end = start(&["--history", path.to_str().unwrap()]);
    let address = back_end.address();
    grant(address);
    for number in 0..20 {
        assert_eq!(ask(address, &format!("r{number}"), "?work_ms=0"), ran());
        let effects = history(&path)
            .iter()
            .filter(|event| matches!(event, HistoryEvent::Effect(_)))
            .count();
        assert_eq!(effects, number + 1);
    }
    assert!(matches!(history(&path)[0], HistoryEvent::Staying(_)));
    assert!(matches!(history(&path)[1], HistoryEvent::Acquired(_)));
}

#[test]
fn a_frozen_server_makes_no_effect_after_its_lease() {
    let back_end = start(&[]);
    let address = back_end.address();
    grant_for(address, 3000);
    std::thread::scope(|scope| {
        let running = scope.spawn(|| ask(address, "running", "?work_ms=500"));
        wait_for_load(address, "in_flight", 1);
        post(address, "/stand-in/freeze?ms=4000", &Value::Null);
        assert_eq!(running.join().unwrap(), Some((503, "no-lease".into())));
    });
    let outcome = "GET /grebepin/v1/outcome?service=ledger&shard=0&request_id=running HTTP/1.1\r\n";
    let (_, _, body) = call(address, outcome, "").unwrap();
    assert_eq!(body, "{\"epoch\":0,\"state\":\"unknown\"}");
}

#[test]
fn a_planned_stop_cuts_nothing() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("history.jsonl");
    let back_end = start(&["--history", path.to_str().unwrap()]);
    let address = back_end.address();
    grant(address);
    std::thread::scope(|scope| {
        let running = scope.spawn(|| ask(address, "running", "?work_ms=800"));
        wait_for_load(address, "in_flight", 1);
        let stopping = scope.spawn(|| back_end.stop());
        let release = json!({"group": 1, "term": 1, "shards": [{"service": "ledger", "shard": 0, "epoch": 5}]});
        while post(address, "/grebepin/v1/release", &release)["busy"] != json!([]) {}
        let handover = "GET /grebepin/v1/handover?service=ledger&shard=0&epoch=5 HTTP/1.1\r\n";
        let (_, _, record) = call(address, handover, "").unwrap();
        assert!(
            record.contains("\"complete\":true") && record.contains("running"),
            "{record}"
        );
        assert_eq!(running.join().unwrap(), ran());
        assert_eq!(stopping.join().unwrap(), 0, "cut");
    });
    let events = history(&path);
    assert!(events.contains(&HistoryEvent::Leaving("s1".parse().unwrap())));
    assert_eq!(
        events.last(),
        Some(&HistoryEvent::Stopped("s1".parse().unwrap()))
    );
    assert!(TcpStream::connect(address).is_err() || ask(address, "late", "").is_none());
}

#[test]
fn the_machine_list_is_published_after_the_lag() {
    // (lag in ms, state that is published right after a change)
    for (lag, shown) in [("0", "gone"), ("3600000", "live")] {
        let fixed = [
            "platform",
            "--listen",
            "127.0.0.1:0",
            "--machine",
            "s1",
            "--lag-ms",
            lag,
        ];
        let platform = Platform::start(&PlatformFlags::parse_from(fixed).platform).unwrap();
        let address = platform.address();
        let stop = Arc::new(AtomicBool::new(false));
        let until = Arc::clone(&stop);
        let serving = std::thread::spawn(move || platform.serve(&until));
        let (status, _, _) = call(
            address,
            "POST /stand-in/machine?server=s1&state=gone HTTP/1.1\r\n",
            "",
        )
        .unwrap();
        assert_eq!(status, 200);
        let (_, _, body) = call(address, "GET /machines HTTP/1.1\r\n", "").unwrap();
        let list: Value = serde_json::from_str(&body).unwrap();
        assert_eq!(
            list,
            json!({"machines": [{"server": "s1", "state": shown}]})
        );
        stop.store(true, Ordering::SeqCst);
        serving.join().unwrap();
    }
}
