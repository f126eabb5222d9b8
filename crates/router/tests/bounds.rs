//! Limits on callers, admission order, graceful stop and table following, over real sockets.

mod support;

use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use grebepin_schema::{ControlFrame, LogIndex, Redirect, RouterFrame};
use grebepin_settings::RouterLimits;
use support::{
    call, moved, ready_router, router, snapshot, wait_above, Action, BackEnd, Caller, Control,
};

#[test]
fn invalid_requests_are_rejected_without_being_sent() {
    let back_end = BackEnd::start(|_| Action::Answer(b"never".to_vec()));
    let (_control, router) = ready_router(&[back_end.address]);
    let key = "Grebepin-Key: k\r\n";
    let many = "X: y\r\n".repeat(100);
    let long = format!("X: {}\r\n", "y".repeat(40_000));
    let approve = |headers: &str| format!("POST /autoriza-venda/approve HTTP/1.1\r\n{headers}\r\n");
    let keyed = |headers: &str| approve(&format!("{key}{headers}"));
    #[rustfmt::skip]
    let table = [
        (approve(""), 400, "missing-key"),
        (keyed("Grebepin-Attempt: 0\r\n"), 400, "bad-header"),
        (keyed("Grebepin-Attempt: x\r\n"), 400, "bad-header"),
        (keyed(key), 400, "bad-header"),
        (keyed("Grebepin-Request-Id: a b\r\n"), 400, "bad-header"),
        (keyed("Grebepin-Deadline-Ms: 0\r\n"), 504, "deadline-too-near"),
        (keyed("").replace("approve", "other"), 404, "unknown-class"),
        (keyed("").replace("autoriza-venda", "remitter"), 404, "unknown-service"),
        (keyed("Content-Length: 99999999\r\n"), 413, "body-too-large"),
        (keyed("Content-Length: -1\r\n"), 400, "bad-header"),
        (keyed("Content-Length: 1\r\nTransfer-Encoding: chunked\r\n"), 400, "bad-header"),
        (keyed("Content-Length: 1\r\nContent-Length: 2\r\n"), 400, "bad-header"),
        (keyed("Transfer-Encoding: gzip\r\n"), 400, "bad-header"),
        (keyed("Transfer-Encoding: chunked\r\n") + "zz\r\n", 400, "bad-header"),
        ("nonsense\r\n\r\n".to_string(), 400, "bad-header"),
        (approve(&many), 400, "bad-header"),
        (approve(&long), 431, "bad-header"),
    ];
    for (request, status, kind) in table {
        let mut caller = Caller::connect(router.address());
        caller.send(request.as_bytes());
        let reply = caller.read("POST").expect("answer");
        let start: String = request.chars().take(120).collect();
        assert_eq!(
            (reply.head.status, reply.kind().as_str()),
            (status, kind),
            "{start}"
        );
    }
    assert!(back_end.received.try_recv().is_err(), "nothing was sent");
    router.stop();
}

#[test]
fn chunked_bodies_and_100_continue_are_supported() {
    let back_end = BackEnd::start(|request| Action::Answer(request.body.clone()));
    let (_control, router) = ready_router(&[back_end.address]);
    let mut caller = Caller::connect(router.address());
    let head =
        "POST /autoriza-venda/approve HTTP/1.1\r\nGrebepin-Key: k\r\nExpect: 100-continue\r\n\
                Transfer-Encoding: chunked\r\n\r\n";
    caller.send(head.as_bytes());
    caller.send(b"3\r\nabc\r\n5;x=y\r\ndefgh\r\n0\r\nTrailer: left out\r\n\r\n");
    assert_eq!(caller.read("POST").expect("answer").body, b"abcdefgh");
    // Pipelined requests on one connection are answered in order.
    let one = "GET /autoriza-venda/look-up HTTP/1.1\r\nGrebepin-Key: k\r\n\r\n";
    caller.send(format!("{one}{one}").as_bytes());
    for _ in 0..2 {
        assert_eq!(caller.read("GET").expect("answer").outcome(), "answered");
    }
    // An HTTP/1.0 request ends the connection with its answer.
    caller.send(one.replace("1.1", "1.0").as_bytes());
    assert!(!caller.read("GET").expect("answer").head.keep_alive);
    assert!(caller.read("GET").is_none());
    router.stop();
}

#[test]
fn slow_and_surplus_callers_are_disconnected() {
    let (control, first) = ready_router(&[BackEnd::unreachable_address()]);
    first.stop();
    let limits = RouterLimits {
        caller_idle: Duration::from_millis(30),
        caller_connections: 3,
        ..RouterLimits::default()
    };
    let router = router(&[control.address], limits);
    // Callers silent from the start, within the head and within the body are disconnected, which frees
    // their connections for others.
    let starts = [
        "",
        "POST /auto",
        "POST /autoriza-venda/approve HTTP/1.1\r\nContent-Length: 5\r\n\r\n12",
    ];
    for start in starts {
        let mut caller = Caller::connect(router.address());
        caller.send(start.as_bytes());
        let reply = caller.read("POST");
        assert_eq!(reply.is_some(), !start.is_empty(), "{start:?}");
        assert!(caller.read("POST").is_none());
    }
    router.stop();
    let limits = RouterLimits {
        caller_connections: 2,
        ..RouterLimits::default()
    };
    let router = support::router(&[control.address], limits);
    let mut kept: Vec<Caller> = (0..2).map(|_| Caller::connect(router.address())).collect();
    for caller in &mut kept {
        assert_eq!(caller.call("/x/y", &[], b"").head.status, 400);
    }
    let mut surplus = Caller::connect(router.address());
    let reply = surplus.read("GET").expect("answer");
    assert_eq!(reply.kind(), "queue-full");
    assert!(!reply.header("Retry-After").is_empty());
    assert_eq!(kept[0].call("/x/y", &[], b"").head.status, 400);
    router.stop();
}

#[test]
fn a_full_queue_refuses_at_once_and_a_higher_priority_displaces_a_waiting_request() {
    let back_end = BackEnd::start(|_| Action::Hold);
    let (_control, router) = ready_router(&[back_end.address]);
    let address = router.address();
    let upstream = || {
        router
            .shared()
            .view()
            .upstreams()
            .next()
            .expect("upstream")
            .load()
    };
    let running = thread::spawn(move || call(address, "look-up", "running", "1"));
    back_end.received.recv().expect("running");
    let waiting = thread::spawn(move || call(address, "look-up", "waiting", "1"));
    while upstream().1 == 0 {
        thread::yield_now();
    }
    let refused = call(address, "look-up", "refused", "1");
    assert_eq!(
        (refused.outcome(), refused.kind().as_str()),
        ("not-run", "queue-full")
    );
    let urgent = thread::spawn(move || call(address, "approve", "urgent", "1"));
    let displaced = waiting.join().expect("answer");
    assert_eq!(
        (displaced.outcome(), displaced.kind().as_str()),
        ("not-run", "queue-full")
    );
    assert_eq!(upstream(), (1, 1));
    for caller in [running, urgent] {
        back_end.release.send(()).expect("held");
        assert_eq!(caller.join().expect("answer").outcome(), "answered");
    }
    router.stop();
}

#[test]
fn a_planned_stop_answers_all_requests_before_closing_connections() {
    let back_end = BackEnd::start(|request| match request.header("Grebepin-Request-Id") {
        "running" => Action::Hold,
        _ => Action::Answer(b"yes".to_vec()),
    });
    let first = ControlFrame::Snapshot(snapshot(10, &[back_end.address], Some(0)));
    let control = Control::start(vec![first]);
    // Draining lasts a tenth of this, 30 s, or until no connection is open.
    let drain = Duration::from_secs(300);
    let limits = RouterLimits {
        drain,
        ..RouterLimits::default()
    };
    let router = router(&[control.address], limits);
    wait_above(&router, 9);
    let address = router.address();
    let headers = [("Grebepin-Key", "k")];
    let mut kept = Caller::connect(address);
    assert!(
        kept.call("/autoriza-venda/look-up", &headers, b"")
            .head
            .keep_alive
    );
    let running = thread::spawn(move || call(address, "approve", "running", "1"));
    while back_end
        .received
        .recv()
        .expect("received")
        .header("Grebepin-Request-Id")
        != "running"
    {}
    let shared = std::sync::Arc::clone(router.shared());
    let stopping = thread::spawn(move || router.stop());
    while !shared.is_draining() {
        thread::yield_now();
    }
    // The server has one slot, so this request waits for the held one. Both are answered, and the
    // connection is closed with the answer.
    let waiting = thread::spawn(move || {
        let reply = kept.call("/autoriza-venda/look-up", &headers, b"");
        (reply, kept.read("POST").is_none())
    });
    while shared.view().upstreams().next().expect("upstream").load().1 == 0 {
        thread::yield_now();
    }
    back_end.release.send(()).expect("held");
    let reply = running.join().expect("answer");
    assert_eq!(
        (reply.outcome(), reply.body.as_slice()),
        ("answered", b"held".as_slice())
    );
    let (reply, ended) = waiting.join().expect("answer");
    assert_eq!(reply.outcome(), "answered");
    assert!(!reply.head.keep_alive && ended);
    assert_eq!(stopping.join().expect("stops"), 0, "connections cut off");
    assert!(TcpStream::connect(address).is_err());
}

#[test]
fn the_table_is_followed_across_replicas_and_never_replaced_by_an_older_one() {
    let servers = [
        BackEnd::unreachable_address(),
        BackEnd::unreachable_address(),
    ];
    let leader = Control::start(vec![
        ControlFrame::Snapshot(snapshot(20, &servers, Some(0))),
        ControlFrame::Snapshot(snapshot(15, &servers, Some(1))),
        ControlFrame::Current(LogIndex(21)),
        moved(20, 22, 1),
    ]);
    let address = leader.address.to_string().parse().expect("address");
    let follower = Control::start(vec![ControlFrame::Redirect(Redirect {
        router_address: Some(address),
    })]);
    let gone = BackEnd::unreachable_address();
    let report = Duration::from_millis(50);
    let limits = RouterLimits {
        report,
        ..RouterLimits::default()
    };
    let router = router(&[gone, follower.address], limits);
    wait_above(&router, 21);
    assert_eq!(router.shared().view().table.bundle_version(), 20);
    let mut frames = leader.received.iter();
    let Some(RouterFrame::Follow(follow)) = frames.next() else {
        panic!("first frame is not a follow request")
    };
    assert_eq!(
        (follow.have_index, follow.router.as_str()),
        (LogIndex(0), "router-1")
    );
    let in_force = frames.any(
        |frame| matches!(frame, RouterFrame::Report(report) if report.in_force == LogIndex(22)),
    );
    assert!(in_force, "reports the index of the current table");
    // After a gap the router requests a full snapshot; after a disconnect it sends its current index.
    leader.push(&moved(30, 31, 0));
    let mut follows = leader.received.iter().filter_map(|frame| match frame {
        RouterFrame::Follow(follow) => Some(follow.have_index),
        RouterFrame::Report(_) => None,
    });
    assert_eq!(follows.next(), Some(LogIndex(0)));
    leader.disconnect();
    assert_eq!(follows.next(), Some(LogIndex(22)));
    router.stop();
}

#[test]
fn probes_and_metrics_report_the_state() {
    let (_control, router) = ready_router(&[BackEnd::unreachable_address()]);
    call(router.address(), "approve", "id-1", "1");
    let get = |path: &str| {
        let mut caller = Caller::connect(router.admin_address());
        caller.send(format!("GET {path} HTTP/1.1\r\nHost: router\r\n\r\n").as_bytes());
        caller.read("GET").expect("answer")
    };
    assert_eq!(get("/live").head.status, 200);
    assert_eq!(get("/ready").head.status, 200);
    assert_eq!(get("/other").head.status, 404);
    let record: grebepin_schema::InForceRecord =
        serde_json::from_slice(&get("/v1/table-index").body).expect("record");
    assert_eq!((record.index, record.bundle_version), (LogIndex(10), 10));
    let metrics = String::from_utf8(get("/metrics").body).expect("text");
    for line in [
        "grebepin_router_table_index 10",
        "grebepin_router_rejects_total{kind=\"owner-lost\",service=\"autoriza-venda\"} 1",
    ] {
        assert!(metrics.contains(line), "{line}\n{metrics}");
    }
    router.stop();
    // Without a table the router is live but not ready, and rejects requests.
    let router = support::router(&[BackEnd::unreachable_address()], RouterLimits::default());
    let reply = call(router.address(), "approve", "id-1", "1");
    assert_eq!(
        (reply.outcome(), reply.kind().as_str()),
        ("not-run", "no-table")
    );
    let mut caller = Caller::connect(router.admin_address());
    caller.send(b"GET /ready HTTP/1.1\r\nHost: router\r\n\r\n");
    assert_eq!(caller.read("GET").expect("answer").head.status, 503);
    router.stop();
}
