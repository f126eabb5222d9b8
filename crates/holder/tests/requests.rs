//! Requests: headers, refusals, the check before an effect, cancellation, draining.

mod common;

use common::{ms, previous, request, resend, Server, LEASE_MS};
use grebepin_holder::{Guard, Guards, HeaderError, Request};
use grebepin_schema::{Refusal, RequestState, ShardId};

#[test]
fn requests_that_are_not_begun() {
    type Prepare = fn(&mut Server);
    #[rustfmt::skip]
    let table: [(&str, Prepare, u64, Request, Refusal); 8] = [
        ("other epoch", |_| {}, 1, request("a", 6), Refusal::WrongEpoch),
        ("unknown shard", |_| {}, 1, Request { shard: ShardId(9), ..request("a", 5) }, Refusal::WrongEpoch),
        ("lease expired", |_| {}, LEASE_MS, request("a", 5), Refusal::NoLease),
        ("lease expired, renewed", |server| server.renew_at(1500), 1501, request("a", 5), Refusal::WrongEpoch),
        ("released", |server| { server.release(0, 0, 5); }, 1, request("a", 5), Refusal::WrongEpoch),
        ("no time to the deadline", |_| {}, 1, Request { deadline_left: ms(0), ..request("a", 5) }, Refusal::Deadline),
        ("cancelled", |server| { server.cancel(0, "a", 5, Some(1)); }, 1, request("a", 5), Refusal::Cancelled),
        ("cancelled, resend", |server| { server.cancel(0, "a", 5, Some(1)); }, 1, resend("a", 5), Refusal::Cancelled),
    ];
    for (name, prepare, at, attempted, refusal) in table {
        let mut server = Server::serving(Guards::all());
        prepare(&mut server);
        assert_eq!(server.run(at, &attempted), Err(refusal), "{name}");
    }
}

#[test]
fn effects_that_are_not_allowed() {
    type Between = fn(&mut Server);
    #[rustfmt::skip]
    let table: [(&str, Between, u64, Refusal); 6] = [
        ("paused beyond the lease", |_| {}, 3000, Refusal::NoLease),
        ("paused until shortly before its end", |_| {}, 990, Refusal::NoLease),
        ("lease expired, renewed", |server| server.renew_at(1500), 1501, Refusal::WrongEpoch),
        ("lease expired, granted again", |server| { server.renew_at(1500); server.grant(1500, 0, 5, None); }, 1501, Refusal::NoLease),
        ("new epoch", |server| assert_eq!(server.grant(2, 0, 6, None), None), 3, Refusal::WrongEpoch),
        ("cancelled", |server| { server.cancel(2, "a", 5, None); }, 3, Refusal::Cancelled),
    ];
    for (name, between, at, refusal) in table {
        let mut server = Server::serving(Guards::all());
        let permit = server.begin(1, &request("a", 5)).unwrap();
        between(&mut server);
        assert_eq!(server.complete(at, permit), Err(refusal), "{name}");
        assert_eq!(server.holder.in_flight(), 0, "{name}");
    }
}

#[test]
fn a_request_runs_once() {
    let mut server = Server::serving(Guards::all());
    let permit = server.begin(1, &request("a", 5)).unwrap();
    assert_eq!(
        server.run(2, &request("a", 5)),
        Err(Refusal::AlreadyRunning)
    );
    assert_eq!(server.outcome(2, "a"), RequestState::Running);
    server.complete(3, permit).unwrap();
    assert_eq!(server.run(4, &resend("a", 5)), Ok(false), "ran earlier");
    assert_eq!(server.run(4, &request("a", 5)), Ok(false), "ran earlier");
    assert_eq!(server.outcome(5, "a"), RequestState::Ran);
    let look_up = Request {
        repeatable: true,
        ..request("b", 5)
    };
    assert_eq!(server.run(6, &look_up), Ok(true));
    assert_eq!(server.run(7, &look_up), Ok(true), "repeatable");
}

#[test]
fn a_refused_effect_leaves_the_request_free_to_run() {
    let mut server = Server::serving(Guards::all());
    let permit = server.begin(1, &request("a", 5)).unwrap();
    assert!(server.complete(3000, permit).is_err());
    server.renew_at(3000);
    server.grant(3000, 0, 5, None);
    assert_eq!(server.run(3001, &resend("a", 5)), Ok(true));
}

#[test]
fn answers_to_cancellations() {
    type Prepare = fn(&mut Server);
    let ran: Prepare = |server| assert_eq!(server.run(1, &request("a", 5)), Ok(true));
    let lost: Prepare = |server| assert_eq!(server.grant(1, 0, 7, Some(previous(6, false))), None);
    type Row = (&'static str, Prepare, u64, u64, Option<u32>, RequestState);
    #[rustfmt::skip]
    let table: [Row; 11] = [
        ("unseen", |_| {}, 2, 5, None, RequestState::NotRun),
        ("ran", ran, 2, 5, Some(1), RequestState::Ran),
        ("ran, cancelled at another epoch", ran, 2, 4, Some(1), RequestState::Ran),
        ("begun", |server| drop(server.begin(1, &request("a", 5))), 2, 5, Some(1), RequestState::NotRun),
        ("twice", |server| { server.cancel(1, "a", 5, Some(1)); }, 2, 5, None, RequestState::NotRun),
        ("another epoch", |_| {}, 2, 6, Some(1), RequestState::Unknown),
        ("no lease", |_| {}, LEASE_MS, 5, Some(1), RequestState::Unknown),
        ("released", |server| { server.release(1, 0, 5); }, 2, 5, Some(1), RequestState::Unknown),
        ("incomplete record, first attempt", lost, 2, 7, Some(1), RequestState::NotRun),
        ("incomplete record, resend", lost, 2, 7, Some(2), RequestState::Unknown),
        ("incomplete record, attempt not stated", lost, 2, 7, None, RequestState::Unknown),
    ];
    for (name, prepare, at, epoch, attempt, state) in table {
        let mut server = Server::serving(Guards::all());
        prepare(&mut server);
        assert_eq!(
            server.cancel(at, "a", epoch, attempt).state,
            state,
            "{name}"
        );
    }
}

#[test]
fn a_cancellation_during_the_effect_is_not_acknowledged() {
    let mut server = Server::serving(Guards::all());
    let permit = server.begin(1, &request("a", 5)).unwrap();
    server.holder.before_effect(ms(2), &permit).unwrap();
    assert_eq!(
        server.cancel(3, "a", 5, Some(1)).state,
        RequestState::Running
    );
    server
        .holder
        .finish(ms(4), permit, grebepin_holder::Effect::Made);
    assert_eq!(server.cancel(5, "a", 5, Some(1)).state, RequestState::Ran);
}

#[test]
fn an_unproven_tombstone_claims_nothing() {
    let mut server = Server::leased(Guards::all());
    server.grant(0, 0, 7, Some(previous(6, false)));
    server.cancel(1, "a", 7, Some(2));
    assert_eq!(server.outcome(2, "a"), RequestState::Unknown);
    assert_eq!(
        server.run(2, &resend("a", 7)),
        Err(Refusal::RecordIncomplete)
    );
    assert_eq!(
        server.run(2, &request("a", 7)),
        Err(Refusal::RecordIncomplete)
    );
}

#[test]
fn a_draining_server_refuses_new_requests_after_its_grace() {
    let mut server = Server::serving(Guards::all());
    assert_eq!(server.run(1, &request("a", 5)), Ok(true));
    server.holder.drain(ms(10), true);
    server.renew_at(900);
    server.renew_at(1400);
    assert!(server.leader_heartbeat(1400, true).draining);
    assert_eq!(server.run(1509, &request("b", 5)), Ok(true));
    assert_eq!(server.run(1510, &request("c", 5)), Err(Refusal::Draining));
    assert_eq!(
        server.run(1510, &resend("a", 5)),
        Ok(false),
        "an earlier run is still reported"
    );
    server.holder.drain(ms(1520), false);
    assert_eq!(server.run(1521, &request("c", 5)), Ok(true));
}

#[test]
fn removed_guards_let_requests_through() {
    let mut without_epoch_check = Server::serving(Guards::without(Guard::EpochCheck));
    let permit = without_epoch_check.begin(1, &request("a", 5)).unwrap();
    assert_eq!(
        without_epoch_check.complete(9000, permit),
        Ok(()),
        "effect after the end of the lease"
    );
    assert_eq!(
        without_epoch_check.run(9000, &request("b", 4)),
        Ok(true),
        "another epoch"
    );

    let mut without_tombstone = Server::serving(Guards::without(Guard::Tombstone));
    assert_eq!(
        without_tombstone.cancel(1, "a", 5, Some(1)).state,
        RequestState::NotRun
    );
    assert_eq!(
        without_tombstone.run(2, &request("a", 5)),
        Ok(true),
        "runs after its cancellation"
    );

    let mut without_resend_rule = Server::leased(Guards::without(Guard::ResendRule));
    without_resend_rule.grant(0, 0, 7, Some(previous(6, false)));
    assert_eq!(
        without_resend_rule.run(1, &resend("a", 7)),
        Ok(true),
        "resend without a record"
    );
}

#[test]
fn headers_are_checked() {
    let good = [
        ("Grebepin-Service", "ledger"),
        ("Grebepin-Shard", "0"),
        ("Grebepin-Epoch", "5"),
        ("Grebepin-Key", "customer"),
        ("Grebepin-Request-Id", "a"),
        ("Grebepin-Attempt", "1"),
        ("Grebepin-Deadline-Ms", "500"),
        ("Grebepin-Repeatable", "false"),
    ];
    let read = |headers: &[(&str, &'static str)]| {
        let headers = headers.to_vec();
        Request::from_headers(move |name| {
            let found = headers.iter().find(|(known, _)| *known == name);
            found.map(|(_, value)| *value)
        })
    };
    assert_eq!(read(&good), Ok(request("a", 5)));
    for left_out in 0..good.len() {
        let mut some = good.to_vec();
        some.remove(left_out);
        assert!(
            matches!(read(&some), Err(HeaderError::Missing(_))),
            "{left_out}"
        );
    }
    let wrong = [
        ("Grebepin-Service", "no service"),
        ("Grebepin-Shard", "-1"),
        ("Grebepin-Epoch", "five"),
        ("Grebepin-Key", ""),
        ("Grebepin-Request-Id", "a b"),
        ("Grebepin-Attempt", "0"),
        ("Grebepin-Deadline-Ms", "soon"),
        ("Grebepin-Repeatable", "yes"),
    ];
    for (name, value) in wrong {
        let changed: Vec<_> = good
            .iter()
            .map(|(known, kept)| (*known, if *known == name { value } else { *kept }))
            .collect();
        assert!(
            matches!(read(&changed), Err(HeaderError::Invalid(_))),
            "{name}"
        );
    }
}
