//! Request outcomes over real sockets with a scripted back end.

mod support;

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};

use grebepin_settings::RouterLimits;
use support::{
    call, moved, ready_router, router, snapshot, wait_above, Action, BackEnd, Caller, Control,
};

const CANCEL: &str = "/grebepin/v1/cancel";

#[test]
fn the_complete_answer_is_returned_with_its_identifier() {
    let big = vec![b'x'; 1_000_000];
    let answer = big.clone();
    let back_end = BackEnd::start(move |_| Action::Answer(answer.clone()));
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
        assert!(reply.body == big, "complete body");
        let received = back_end.received.recv().expect("received");
        assert!(received.body == big && received.head.target == "/autoriza-venda/approve/9?x=1");
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
            assert_eq!(received.header(name), value, "{name}");
        }
        assert_eq!(received.connection, 0, "the connection is reused");
    }
    assert_eq!(router.stop(), 0);
}

/// Reaction of the back end to a request and to its cancellation, and the expected answer to the caller.
struct Case {
    name: &'static str,
    action: Action,
    cancel: Action,
    class: &'static str,
    attempt: &'static str,
    outcome: &'static str,
    kind: &'static str,
}

fn case(
    name: &'static str,
    action: Action,
    cancel: Action,
    request: (&'static str, &'static str),
    answered: (&'static str, &'static str),
) -> Case {
    let ((class, attempt), (outcome, kind)) = (request, answered);
    Case {
        name,
        action,
        cancel,
        class,
        attempt,
        outcome,
        kind,
    }
}

fn cases() -> Vec<Case> {
    let tombstone = || Action::Json(r#"{"state":"not-run","epoch":10}"#);
    let mismatched =
        Action::Raw("HTTP/1.1 200 OK\r\nGrebepin-Request-Id: other\r\nContent-Length: 2\r\n\r\nhi");
    let unidentified = Action::Raw("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi");
    let incomplete = Action::Raw("HTTP/1.1 200 OK\r\nGrebepin-Request-Id: {id}\r\nConnection: close\r\nContent-Length: 9\r\n\r\nhi");
    let unknown_refusal = Action::Raw("HTTP/1.1 200 OK\r\nGrebepin-Request-Id: {id}\r\nGrebepin-Refusal: moody\r\nContent-Length: 0\r\n\r\n");
    let (first, resend, look_up) = (("approve", "1"), ("approve", "2"), ("look-up", "1"));
    let unknown = ("unknown", "outcome-unknown");
    #[rustfmt::skip]
    let cases = vec![
        case("closed, cancelled", Action::Close, tombstone(), first, ("not-run", "owner-lost")),
        case("closed, cancellation lost", Action::Close, Action::Close, first, unknown),
        case("closed, request ran", Action::Close, Action::Json(r#"{"state":"ran","epoch":10}"#), first, unknown),
        case("closed, other epoch", Action::Close, Action::Json(r#"{"state":"not-run","epoch":9}"#), first, unknown),
        case("closed, no JSON", Action::Close, Action::Json("nonsense"), first, unknown),
        case("resend closed, cancelled", Action::Close, tombstone(), resend, ("not-run", "owner-lost")),
        case("resend closed, cancellation lost", Action::Close, Action::Close, resend, unknown),
        case("mismatched identifier", mismatched.clone(), Action::Close, first, unknown),
        case("mismatched identifier, cancelled", mismatched, tombstone(), first, ("not-run", "owner-lost")),
        case("missing identifier", unidentified, Action::Close, first, unknown),
        case("unknown refusal", unknown_refusal, Action::Close, first, unknown),
        case("incomplete answer", incomplete, Action::Close, look_up, unknown),
        case("closed each time", Action::Close, Action::Close, look_up, unknown),
        case("shed", Action::Refuse("shed"), Action::Close, first, ("not-run", "owner-refused")),
        case("resend shed", Action::Refuse("shed"), Action::Close, resend, ("unknown", "owner-refused")),
        case("moving", Action::Refuse("releasing"), Action::Close, first, ("not-run", "owner-refused")),
        case("after a freeze", Action::Refuse("record-incomplete"), Action::Close, resend, unknown),
        case("already running", Action::Refuse("already-running"), Action::Close, resend, unknown),
        case("tombstone", Action::Refuse("cancelled"), Action::Close, resend, ("not-run", "owner-refused")),
        case("late", Action::Refuse("deadline"), Action::Close, first, ("not-run", "deadline-too-near")),
        case("answers", Action::Answer(b"yes".to_vec()), Action::Close, resend, ("answered", "")),
    ];
    cases
}

#[test]
fn each_failure_gives_its_outcome() {
    let now = Arc::new(Mutex::new((Action::Close, Action::Close)));
    let script = Arc::clone(&now);
    let back_end = BackEnd::start(move |request| {
        let (action, cancel) = script.lock().expect("lock").clone();
        if request.head.target == CANCEL {
            cancel
        } else {
            action
        }
    });
    let (_control, router) = ready_router(&[back_end.address]);
    for case in cases() {
        *now.lock().expect("lock") = (case.action.clone(), case.cancel.clone());
        let reply = call(router.address(), case.class, "id-1", case.attempt);
        let answered = (reply.outcome(), reply.kind());
        assert_eq!(
            answered,
            (case.outcome, case.kind.to_string()),
            "{}",
            case.name
        );
        assert_eq!(reply.header("Grebepin-Request-Id"), "id-1", "{}", case.name);
        if case.outcome != "answered" {
            assert!(!reply.header("Retry-After").is_empty(), "{}", case.name);
        }
        for received in back_end.received.try_iter() {
            assert_eq!(
                received.header("Grebepin-Attempt"),
                case.attempt,
                "{}",
                case.name
            );
        }
    }
    router.stop();
}

#[test]
fn a_request_to_an_unreachable_owner_was_not_run() {
    let (_control, router) = ready_router(&[BackEnd::unreachable_address()]);
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
fn a_mismatched_answer_closes_the_connection_and_a_repeatable_request_is_resent() {
    let number = AtomicU32::new(0);
    let mismatched = "HTTP/1.1 200 OK\r\nGrebepin-Request-Id: other\r\nContent-Length: 2\r\n\r\nhi";
    let back_end = BackEnd::start(move |_| match number.fetch_add(1, Ordering::Relaxed) {
        0 => Action::Raw(mismatched),
        _ => Action::Answer(b"yes".to_vec()),
    });
    let (_control, router) = ready_router(&[back_end.address]);
    let reply = call(router.address(), "look-up", "id-1", "1");
    assert_eq!(
        (reply.outcome(), reply.body.as_slice()),
        ("answered", b"yes".as_slice())
    );
    let connections: Vec<u32> = back_end
        .received
        .try_iter()
        .map(|received| received.connection)
        .collect();
    assert_eq!(connections, [0, 1]);
    router.stop();
}

#[test]
fn bytes_received_after_an_answer_are_discarded() {
    let stray = "HTTP/1.1 200 OK\r\nGrebepin-Request-Id: {id}\r\nContent-Length: 2\r\n\r\nhi\
                 HTTP/1.1 200 OK\r\nGrebepin-Request-Id: id-2\r\nContent-Length: 5\r\n\r\nwrong";
    let number = AtomicU32::new(0);
    let back_end = BackEnd::start(move |_| match number.fetch_add(1, Ordering::Relaxed) {
        0 => Action::Raw(stray),
        _ => Action::Answer(b"right".to_vec()),
    });
    let (_control, router) = ready_router(&[back_end.address]);
    assert_eq!(call(router.address(), "approve", "id-1", "1").body, b"hi");
    assert_eq!(
        call(router.address(), "approve", "id-2", "1").body,
        b"right"
    );
    let connections: Vec<u32> = back_end
        .received
        .try_iter()
        .map(|received| received.connection)
        .collect();
    assert_eq!(connections, [0, 1]);
    router.stop();
}

#[test]
fn a_request_follows_its_shard_to_the_new_owner() {
    let old = BackEnd::start(|_| Action::Refuse("wrong-epoch"));
    let new = BackEnd::start(|_| Action::Answer(b"moved".to_vec()));
    let first =
        grebepin_schema::ControlFrame::Snapshot(snapshot(10, &[old.address, new.address], Some(0)));
    let control = Control::start(vec![first, moved(10, 11, 1)]);
    let router = router(&[control.address], RouterLimits::default());
    wait_above(&router, 10);
    // A resend after the move carries the caller's attempt number and the new epoch.
    let reply = call(router.address(), "approve", "id-1", "2");
    assert_eq!(
        (reply.outcome(), reply.body.as_slice()),
        ("answered", b"moved".as_slice())
    );
    let received = new.received.recv().expect("received");
    assert_eq!(
        (
            received.header("Grebepin-Epoch"),
            received.header("Grebepin-Attempt")
        ),
        ("11", "2")
    );
    assert!(old.received.try_recv().is_err());
    // A request refused by the old owner waits and is resent when the table changes.
    control.push(&moved(11, 12, 0));
    wait_above(&router, 11);
    let address = router.address();
    let waiting = std::thread::spawn(move || call(address, "approve", "id-2", "1"));
    old.received.recv().expect("refused once");
    control.push(&moved(12, 13, 1));
    let reply = waiting.join().expect("answer");
    assert_eq!(
        (reply.outcome(), reply.body.as_slice()),
        ("answered", b"moved".as_slice())
    );
    router.stop();
}

#[test]
fn a_frozen_owner_blocks_no_request_after_the_shard_has_moved() {
    let frozen = BackEnd::start(|_| Action::Silence);
    let new = BackEnd::start(|_| Action::Answer(b"moved".to_vec()));
    let (control, router) = ready_router(&[frozen.address, new.address]);
    let address = router.address();
    let ask = move |class: &'static str| {
        std::thread::spawn(move || {
            let headers = [("Grebepin-Key", "k"), ("Grebepin-Deadline-Ms", "50000")];
            Caller::connect(address).call(&format!("/autoriza-venda/{class}"), &headers, b"")
        })
    };
    // One request is in flight and one waits for its slot; both deadlines are far away.
    for (class, index) in [("look-up", 11), ("approve", 13)] {
        let in_flight = ask(class);
        frozen.received.recv().expect("sent");
        let waiting = ask("look-up");
        let view = router.shared().view();
        let upstream = view.upstreams().next().expect("upstream");
        while upstream.load().1 == 0 {
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
fn a_silent_owner_delays_a_request_at_most_until_its_deadline() {
    let back_end = BackEnd::start(|_| Action::Silence);
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
fn the_outcome_of_a_request_can_be_looked_up() {
    let back_end = BackEnd::start(|_| Action::Json(r#"{"state":"ran","epoch":10}"#));
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
    let asked = back_end.received.recv().expect("received").head.target;
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

/// Guards against a second copy of a refusal that is taken for the answer to the retry, which has the same
/// identifier.
#[test]
fn a_repeated_refusal_is_not_taken_for_the_answer_to_the_retry() {
    const COPY: &str =
        "HTTP/1.1 503 Service Unavailable\r\nGrebepin-Request-Id: {id}\r\nGrebepin-Refusal: shed\r\nContent-Length: 0\r\n\r\n";
    let number = AtomicU32::new(0);
    let back_end = BackEnd::start(move |request| {
        match (number.fetch_add(1, Ordering::Relaxed), request.connection) {
            (0, _) => Action::Refuse("shed"),
            (_, 0) => Action::Raw(COPY),
            _ => Action::Answer(b"yes".to_vec()),
        }
    });
    let (_control, router) = ready_router(&[back_end.address]);
    let reply = call(router.address(), "approve", "id-1", "1");
    assert_eq!(
        (reply.outcome(), reply.body.as_slice()),
        ("answered", b"yes".as_slice())
    );
    router.stop();
}

/// Guards against an answer to an earlier cancellation that is taken for proof that another request was not
/// run.
#[test]
fn an_answer_to_an_earlier_cancellation_proves_nothing_about_another_request() {
    const NOT_RUN: &str =
        "HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\n{\"state\":\"not-run\",\"epoch\":10}";
    let cancelled_on = Mutex::new(Vec::new());
    let back_end = BackEnd::start(move |request| {
        if request.head.target != CANCEL {
            return Action::Close;
        }
        let mut cancelled_on = cancelled_on.lock().expect("lock");
        let is_reused = cancelled_on.contains(&request.connection);
        cancelled_on.push(request.connection);
        match (cancelled_on.len(), is_reused) {
            (1, _) => Action::Hold,
            (2, _) | (_, true) => Action::Raw(NOT_RUN),
            _ => Action::Json("{\"state\":\"ran\",\"epoch\":10}"),
        }
    });
    let (_control, router) = ready_router(&[back_end.address]);
    let address = router.address();
    let outcome = move |id: &str| {
        let reply = call(address, "approve", id, "1");
        reply.outcome().to_owned()
    };
    // The first cancellation is held, so that the second one gets a connection that the third request does
    // not use.
    let first = std::thread::spawn(move || outcome("id-1"));
    for _ in ["the request", "its cancellation"] {
        back_end.received.recv().expect("received");
    }
    assert_eq!(outcome("id-2"), "not-run");
    back_end.release.send(()).expect("held");
    first.join().expect("answered");
    assert_eq!(outcome("id-3"), "unknown");
    router.stop();
}
