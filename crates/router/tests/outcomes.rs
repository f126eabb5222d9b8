//! Outcomes over real sockets, against a back end that follows a script.

mod support;

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};

use grebepin_settings::RouterLimits;
use support::{
    call, moved, ready_router, router, snapshot, wait_above, Act, BackEnd, Caller, Control,
};

const CANCEL: &str = "/grebepin/v1/cancel";

#[test]
fn the_whole_answer_comes_back_with_its_identifier() {
    let big = vec![b'x'; 1_000_000];
    let answer = big.clone();
    let back_end = BackEnd::start(move |_| Act::Answer(answer.clone()));
    let (_control, router) = ready_router(&[back_end.address]);
    let mut caller = Caller::connect(router.address());
    for id in ["first", "second"] {
        let headers = [
            ("Grebepin-Key", "k"),
            ("Grebepin-Request-Id", id),
            ("X-Till", "12"),
        ];
        let reply = caller.call("/autoriza-venda/approve/9?x=1", &headers, &big);
        assert_eq!((reply.head.status, reply.outcome()), (200, "answered"));
        assert_eq!(reply.header("Grebepin-Request-Id"), id);
        assert_eq!(reply.header("X-Own"), "kept");
        assert!(reply.body == big, "whole body");
        let seen = back_end.seen.recv().expect("seen");
        assert!(seen.body == big && seen.head.target == "/autoriza-venda/approve/9?x=1");
        let expected = [
            ("Grebepin-Service", "autoriza-venda"),
            ("Grebepin-Shard", "0"),
            ("Grebepin-Epoch", "10"),
            ("Grebepin-Key", "k"),
            ("Grebepin-Request-Id", id),
            ("Grebepin-Attempt", "1"),
            ("Grebepin-Repeatable", "false"),
            ("X-Till", "12"),
        ];
        for (name, value) in expected {
            assert_eq!(seen.header(name), value, "{name}");
        }
        assert_eq!(seen.connection, 0, "the connection is used again");
    }
    assert_eq!(router.stop(), 0);
}

/// What the back end does to a request and to its cancellation, and what the caller hears.
struct Case {
    name: &'static str,
    act: Act,
    cancel: Act,
    class: &'static str,
    attempt: &'static str,
    outcome: &'static str,
    kind: &'static str,
}

fn case(
    name: &'static str,
    act: Act,
    cancel: Act,
    asked: (&'static str, &'static str),
    told: (&'static str, &'static str),
) -> Case {
    let ((class, attempt), (outcome, kind)) = (asked, told);
    Case {
        name,
        act,
        cancel,
        class,
        attempt,
        outcome,
        kind,
    }
}

fn cases() -> Vec<Case> {
    let tombstone = || Act::Json(r#"{"state":"not-run","epoch":10}"#);
    let crossed =
        Act::Raw("HTTP/1.1 200 OK\r\nGrebepin-Request-Id: other\r\nContent-Length: 2\r\n\r\nhi");
    let unnamed = Act::Raw("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi");
    let cut = Act::Raw("HTTP/1.1 200 OK\r\nGrebepin-Request-Id: {id}\r\nConnection: close\r\nContent-Length: 9\r\n\r\nhi");
    let odd = Act::Raw("HTTP/1.1 200 OK\r\nGrebepin-Request-Id: {id}\r\nGrebepin-Refusal: moody\r\nContent-Length: 0\r\n\r\n");
    let (first, resend, look_up) = (("approve", "1"), ("approve", "2"), ("look-up", "1"));
    let unknown = ("unknown", "outcome-unknown");
    #[rustfmt::skip]
    let cases = vec![
        case("closed, cancelled", Act::Close, tombstone(), first, ("not-run", "owner-lost")),
        case("closed, cancellation lost", Act::Close, Act::Close, first, unknown),
        case("closed, it ran", Act::Close, Act::Json(r#"{"state":"ran","epoch":10}"#), first, unknown),
        case("closed, other epoch", Act::Close, Act::Json(r#"{"state":"not-run","epoch":9}"#), first, unknown),
        case("closed, no JSON", Act::Close, Act::Json("nonsense"), first, unknown),
        case("resend closed, cancelled", Act::Close, tombstone(), resend, ("not-run", "owner-lost")),
        case("resend closed, cancellation lost", Act::Close, Act::Close, resend, unknown),
        case("crossed", crossed.clone(), Act::Close, first, unknown),
        case("crossed, cancelled", crossed, tombstone(), first, ("not-run", "owner-lost")),
        case("names no request", unnamed, Act::Close, first, unknown),
        case("odd refusal", odd, Act::Close, first, unknown),
        case("not whole", cut, Act::Close, look_up, unknown),
        case("closed each time", Act::Close, Act::Close, look_up, unknown),
        case("shed", Act::Refuse("shed"), Act::Close, first, ("not-run", "owner-refused")),
        case("resend shed", Act::Refuse("shed"), Act::Close, resend, ("unknown", "owner-refused")),
        case("moving", Act::Refuse("releasing"), Act::Close, first, ("not-run", "owner-refused")),
        case("after a freeze", Act::Refuse("record-incomplete"), Act::Close, resend, unknown),
        case("runs already", Act::Refuse("already-running"), Act::Close, resend, unknown),
        case("tombstone", Act::Refuse("cancelled"), Act::Close, resend, ("not-run", "owner-refused")),
        case("late", Act::Refuse("deadline"), Act::Close, first, ("not-run", "deadline-too-near")),
        case("answers", Act::Answer(b"yes".to_vec()), Act::Close, resend, ("answered", "")),
    ];
    cases
}

#[test]
fn each_failure_gives_its_outcome() {
    let now = Arc::new(Mutex::new((Act::Close, Act::Close)));
    let script = Arc::clone(&now);
    let back_end = BackEnd::start(move |request| {
        let (act, cancel) = script.lock().expect("lock").clone();
        if request.head.target == CANCEL {
            cancel
        } else {
            act
        }
    });
    let (_control, router) = ready_router(&[back_end.address]);
    for case in cases() {
        *now.lock().expect("lock") = (case.act.clone(), case.cancel.clone());
        let reply = call(router.address(), case.class, "id-1", case.attempt);
        let told = (reply.outcome(), reply.kind());
        assert_eq!(told, (case.outcome, case.kind.to_string()), "{}", case.name);
        assert_eq!(reply.header("Grebepin-Request-Id"), "id-1", "{}", case.name);
        if case.outcome != "answered" {
            assert!(!reply.header("Retry-After").is_empty(), "{}", case.name);
        }
        for seen in back_end.seen.try_iter() {
            assert_eq!(
                seen.header("Grebepin-Attempt"),
                case.attempt,
                "{}",
                case.name
            );
        }
    }
    router.stop();
}

#[test]
fn a_request_to_nobody_was_not_run() {
    let (_control, router) = ready_router(&[BackEnd::nowhere()]);
    for (class, attempt, outcome) in [("approve", "1", "not-run"), ("approve", "2", "unknown")] {
        let reply = call(router.address(), class, "id-1", attempt);
        assert_eq!(
            (reply.outcome(), reply.kind().as_str()),
            (outcome, "owner-lost")
        );
    }
    router.stop();
}

#[test]
fn a_crossed_answer_ends_the_connection_and_a_look_up_is_asked_again() {
    let number = AtomicU32::new(0);
    let crossed = "HTTP/1.1 200 OK\r\nGrebepin-Request-Id: other\r\nContent-Length: 2\r\n\r\nhi";
    let back_end = BackEnd::start(move |_| match number.fetch_add(1, Ordering::Relaxed) {
        0 => Act::Raw(crossed),
        _ => Act::Answer(b"yes".to_vec()),
    });
    let (_control, router) = ready_router(&[back_end.address]);
    let reply = call(router.address(), "look-up", "id-1", "1");
    assert_eq!(
        (reply.outcome(), reply.body.as_slice()),
        ("answered", b"yes".as_slice())
    );
    let connections: Vec<u32> = back_end
        .seen
        .try_iter()
        .map(|seen| seen.connection)
        .collect();
    assert_eq!(connections, [0, 1]);
    router.stop();
}

#[test]
fn bytes_that_come_after_an_answer_are_given_to_nobody() {
    let stray = "HTTP/1.1 200 OK\r\nGrebepin-Request-Id: {id}\r\nContent-Length: 2\r\n\r\nhi\
                 HTTP/1.1 200 OK\r\nGrebepin-Request-Id: id-2\r\nContent-Length: 5\r\n\r\nwrong";
    let number = AtomicU32::new(0);
    let back_end = BackEnd::start(move |_| match number.fetch_add(1, Ordering::Relaxed) {
        0 => Act::Raw(stray),
        _ => Act::Answer(b"right".to_vec()),
    });
    let (_control, router) = ready_router(&[back_end.address]);
    assert_eq!(call(router.address(), "approve", "id-1", "1").body, b"hi");
    assert_eq!(
        call(router.address(), "approve", "id-2", "1").body,
        b"right"
    );
    let connections: Vec<u32> = back_end
        .seen
        .try_iter()
        .map(|seen| seen.connection)
        .collect();
    assert_eq!(connections, [0, 1]);
    router.stop();
}

#[test]
fn a_request_follows_its_shard_to_the_next_owner() {
    let old = BackEnd::start(|_| Act::Refuse("wrong-epoch"));
    let new = BackEnd::start(|_| Act::Answer(b"moved".to_vec()));
    let first =
        grebepin_schema::ControlFrame::Snapshot(snapshot(10, &[old.address, new.address], Some(0)));
    let control = Control::start(vec![first, moved(10, 11, 1)]);
    let router = router(&[control.address], RouterLimits::default());
    wait_above(&router, 10);
    // A resend through another router, after the move: the attempt and the new epoch go along.
    let reply = call(router.address(), "approve", "id-1", "2");
    assert_eq!(
        (reply.outcome(), reply.body.as_slice()),
        ("answered", b"moved".as_slice())
    );
    let seen = new.seen.recv().expect("seen");
    assert_eq!(
        (
            seen.header("Grebepin-Epoch"),
            seen.header("Grebepin-Attempt")
        ),
        ("11", "2")
    );
    assert!(old.seen.try_recv().is_err());
    // While a request is refused by the old owner, the change wakes it up.
    control.push(&moved(11, 12, 0));
    wait_above(&router, 11);
    let address = router.address();
    let waiting = std::thread::spawn(move || call(address, "approve", "id-2", "1"));
    old.seen.recv().expect("refused once");
    control.push(&moved(12, 13, 1));
    let reply = waiting.join().expect("answer");
    assert_eq!(
        (reply.outcome(), reply.body.as_slice()),
        ("answered", b"moved".as_slice())
    );
    router.stop();
}

#[test]
fn a_frozen_owner_keeps_nobody_once_the_shard_has_moved() {
    let frozen = BackEnd::start(|_| Act::Silence);
    let new = BackEnd::start(|_| Act::Answer(b"moved".to_vec()));
    let (control, router) = ready_router(&[frozen.address, new.address]);
    let address = router.address();
    let ask = move |class: &'static str| {
        std::thread::spawn(move || {
            let headers = [("Grebepin-Key", "k"), ("Grebepin-Deadline-Ms", "50000")];
            Caller::connect(address).call(&format!("/autoriza-venda/{class}"), &headers, b"")
        })
    };
    // One is in flight, one waits for its slot; the deadlines are far off.
    for (class, index) in [("look-up", 11), ("approve", 13)] {
        let in_flight = ask(class);
        frozen.seen.recv().expect("sent");
        let waiting = ask("look-up");
        let view = router.shared().view();
        let gate = view.gates().next().expect("gate");
        while gate.load().1 == 0 {
            std::thread::yield_now();
        }
        control.push(&moved(index - 1, index, 1));
        let reply = waiting.join().expect("answer");
        assert_eq!(reply.body, b"moved", "{class}");
        let reply = in_flight.join().expect("answer");
        let expected = if class == "look-up" {
            "answered"
        } else {
            "unknown"
        };
        assert_eq!(reply.outcome(), expected, "{class}");
        control.push(&moved(index, index + 1, 0));
        wait_above(&router, index);
    }
    router.stop();
}

#[test]
fn a_silent_owner_costs_no_more_than_the_deadline() {
    let back_end = BackEnd::start(|_| Act::Silence);
    let (_control, router) = ready_router(&[back_end.address]);
    for class in ["approve", "look-up"] {
        let headers = [("Grebepin-Key", "k"), ("Grebepin-Deadline-Ms", "150")];
        let target = format!("/autoriza-venda/{class}");
        let reply = Caller::connect(router.address()).call(&target, &headers, b"");
        assert_eq!(
            (reply.outcome(), reply.kind().as_str()),
            ("unknown", "outcome-unknown")
        );
        assert!(reply.header("Grebepin-Request-Id").starts_with("router-1:"));
    }
    router.stop();
}

#[test]
fn the_outcome_can_be_asked_for() {
    let back_end = BackEnd::start(|_| Act::Json(r#"{"state":"ran","epoch":10}"#));
    let (_control, router) = ready_router(&[back_end.address]);
    let ask = |target: &str| {
        let mut caller = Caller::connect(router.address());
        caller.send(format!("GET {target} HTTP/1.1\r\nGrebepin-Key: k\r\n\r\n").as_bytes());
        caller.read("GET").expect("answer")
    };
    let reply = ask("/-/outcome/autoriza-venda/id-1");
    assert_eq!(
        (reply.head.status, reply.body.as_slice()),
        (200, br#"{"state":"ran"}"#.as_slice())
    );
    let asked = back_end.seen.recv().expect("seen").head.target;
    assert_eq!(
        asked,
        "/grebepin/v1/outcome?service=autoriza-venda&shard=0&request_id=id-1"
    );
    for target in [
        "/-/",
        "/-/outcome/",
        "/-/outcome/autoriza-venda/a%20b",
        "/-/other/x/y",
    ] {
        assert_eq!(ask(target).head.status, 400, "{target}");
    }
    router.stop();
}
