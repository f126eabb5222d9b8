//! Leases, nonces, sessions, terms, grants and releases.

mod common;

use common::{held, key, ms, previous, request, Server, BOOT, GROUP, LEASE_MS};
use grebepin_holder::{
    Effect, Guard, Guards, HolderConfig, HoldingChange, HoldingChangeKind, MAX_GROUPS,
};
use grebepin_schema::hashing::shard_hash;
use grebepin_schema::{
    GrantRefusalReason, GroupId, HeartbeatRequest, LeaseRenewal, Nonce, Refusal, ServiceName,
    Session, Term,
};

#[test]
fn lease_counts_from_the_issue_of_its_nonce() {
    // (renewal arrives at, took effect, ms left)
    let table = [
        (0, true, 1000),
        (400, true, 600),
        (999, true, 1),
        (1000, false, 0),
        (5000, false, 0),
    ];
    for (arrives, renewed, left) in table {
        let mut server = Server::new(Guards::all());
        server.leader_heartbeat(0, false);
        let answer = server.leader_heartbeat(arrives, true);
        assert_eq!(
            (answer.renewed, answer.lease_remaining_ms),
            (renewed, left),
            "at {arrives}"
        );
    }
}

#[test]
fn renewals_that_take_no_effect() {
    let good = Server::leased(Guards::all()).renewal();
    #[rustfmt::skip]
    let table: [(&str, LeaseRenewal); 4] = [
        ("unknown nonce", LeaseRenewal { nonce: Nonce(1), ..good.clone() }),
        ("nonce never issued", LeaseRenewal { nonce: Nonce(good.nonce.0 + 1), ..good.clone() }),
        ("other session", LeaseRenewal { session: Session(BOOT + 1), ..good.clone() }),
        ("no duration", LeaseRenewal { duration_ms: 0, ..good.clone() }),
    ];
    for (name, renewal) in table {
        let mut server = Server::leased(Guards::all());
        assert!(!server.heartbeat(100, Some(renewal)).renewed, "{name}");
        assert_eq!(
            server.heartbeat(100, None).lease_remaining_ms,
            900,
            "{name}"
        );
    }
}

#[test]
fn an_old_renewal_never_shortens_the_lease() {
    let mut server = Server::leased(Guards::all());
    let early = server.renewal();
    server.renew_at(300);
    assert!(server.heartbeat(400, Some(early)).renewed);
    assert_eq!(server.heartbeat(400, None).lease_remaining_ms, 900);
}

#[test]
fn a_lease_of_any_length_is_bounded() {
    let mut server = Server::leased(Guards::all());
    let unbounded = LeaseRenewal {
        duration_ms: u64::MAX,
        ..server.renewal()
    };
    assert_eq!(
        server.heartbeat(0, Some(unbounded)).lease_remaining_ms,
        60_000
    );
}

#[test]
fn only_the_newest_nonces_count() {
    for (heartbeats_between, renewed) in [(0, true), (7, true), (8, false)] {
        let mut server = Server::leased(Guards::all());
        let old = server.renewal();
        (0..heartbeats_between).for_each(|_| {
            server.heartbeat(10, None);
        });
        assert_eq!(
            server.heartbeat(20, Some(old)).renewed,
            renewed,
            "{heartbeats_between}"
        );
    }
}

#[test]
fn lease_expiry_drops_everything_and_ends_the_session() {
    let mut server = Server::serving(Guards::all());
    let delayed_session = server.session;
    let answer = server.leader_heartbeat(LEASE_MS, true);
    assert!(!answer.renewed);
    assert_eq!((answer.held, answer.held_checksum), (0, 0));
    assert_ne!(answer.session, delayed_session);
    assert!(
        server.leader_heartbeat(LEASE_MS, true).renewed,
        "lease in the new session"
    );
    let current = std::mem::replace(&mut server.session, delayed_session);
    let refused = server.grant(LEASE_MS, 0, 5, None);
    assert_eq!(refused, Some(GrantRefusalReason::StaleSession));
    server.session = current;
    assert_eq!(server.grant(LEASE_MS, 0, 5, None), None, "same epoch again");
}

#[test]
fn two_starts_have_no_session_or_nonce_in_common() {
    let mut first = Server::leased(Guards::all());
    let renewal = first.renewal();
    let mut second = Server::with_config(HolderConfig::new(BOOT + 1_000_000));
    second.leader_heartbeat(0, false);
    assert!(!second.heartbeat(0, Some(renewal)).renewed);
    assert_eq!(first.leader_heartbeat(0, false).boot, BOOT);
}

#[test]
fn lower_terms_change_nothing() {
    let mut server = Server::serving(Guards::all());
    server.term = Term(3);
    server.leader_heartbeat(10, true);
    server.term = Term(2);
    let answer = server.heartbeat(20, Some(server.renewal()));
    assert_eq!((answer.renewed, answer.nonce), (false, Nonce(0)));
    assert_eq!(
        server.grant(20, 1, 9, None),
        Some(GrantRefusalReason::StaleTerm)
    );
    let release = server.release(20, 0, 5);
    assert!(release.released.is_empty() && release.busy.is_empty());
    assert_eq!(server.run(20, &request("a", 5)), Ok(true));
}

#[test]
fn groups_are_apart_and_bounded() {
    let mut server = Server::serving(Guards::all());
    let heartbeat = |group| HeartbeatRequest {
        group: GroupId(group),
        term: Term(0),
        server: "server".parse().unwrap(),
        lease: None,
    };
    let other = server.holder.heartbeat(ms(1), &heartbeat(2));
    assert_eq!((other.held, other.lease_remaining_ms), (0, 0));
    for group in 0..200 {
        server.holder.heartbeat(ms(1), &heartbeat(group));
    }
    let leased = (0..200)
        .filter(|group| server.holder.heartbeat(ms(1), &heartbeat(*group)).nonce != Nonce(0));
    // Group 1 has seen a higher term than the one in these heartbeats.
    assert_eq!(leased.count(), MAX_GROUPS - 1);
}

#[test]
fn grants_that_are_refused() {
    type Prepare = fn(&mut Server);
    #[rustfmt::skip]
    let table: [(&str, Prepare, u64, Option<GrantRefusalReason>); 8] = [
        ("same epoch again", |_| {}, 5, None),
        ("higher epoch", |_| {}, 6, None),
        ("lower epoch", |_| {}, 4, Some(GrantRefusalReason::StaleEpoch)),
        ("released", |server| { server.release(0, 0, 5); }, 5, Some(GrantRefusalReason::StaleEpoch)),
        ("released before the grant arrived", |server| { server.release(0, 0, 8); }, 8, Some(GrantRefusalReason::StaleEpoch)),
        ("after a release", |server| { server.release(0, 0, 5); }, 6, None),
        ("draining", |server| server.holder.drain(ms(0), true), 6, Some(GrantRefusalReason::Draining)),
        ("draining, held already", |server| server.holder.drain(ms(0), true), 5, None),
    ];
    for (name, prepare, epoch, refusal) in table {
        let mut server = Server::serving(Guards::all());
        prepare(&mut server);
        assert_eq!(server.grant(1, 0, epoch, None), refusal, "{name}");
    }
    let mut server = Server::new(Guards::all());
    server.leader_heartbeat(0, false);
    assert_eq!(
        server.grant(0, 0, 5, None),
        Some(GrantRefusalReason::NoLease)
    );
}

#[test]
fn checksum_agrees_with_what_is_held() {
    let mut server = Server::serving(Guards::all());
    server.grant(0, 3, 6, None);
    server.grant(0, 0, 7, Some(previous(5, false)));
    let answer = server.leader_heartbeat(1, true);
    let service: ServiceName = "ledger".parse().unwrap();
    let holdings = server.holder.holdings(ms(1), GROUP);
    assert_eq!(holdings.shards, [held(0, 7), held(3, 6)]);
    let sum = holdings
        .shards
        .iter()
        .map(|shard| shard_hash(&service, shard.shard, shard.epoch));
    assert_eq!(answer.held_checksum, sum.fold(0, u64::wrapping_add));
    assert_eq!((answer.held, holdings.session), (2, server.session));
}

#[test]
fn release_waits_for_requests_in_flight() {
    let mut server = Server::serving(Guards::all());
    let permit = server.begin(1, &request("a", 5)).unwrap();
    assert_eq!(server.release(2, 0, 5).busy[0].in_flight, 1);
    assert_eq!(server.run(3, &request("b", 5)), Err(Refusal::Releasing));
    assert_eq!(server.complete(4, permit), Ok(()));
    assert_eq!(server.release(5, 0, 5).released, [held(0, 5)]);
    assert_eq!(
        server.release(6, 0, 5).released,
        [held(0, 5)],
        "repeated release request"
    );
    assert_eq!(server.run(7, &request("b", 5)), Err(Refusal::WrongEpoch));
}

#[test]
fn release_after_lease_expiry_waits_for_an_effect_in_progress() {
    let mut server = Server::serving(Guards::all());
    let permit = server.begin(1, &request("a", 5)).unwrap();
    server.holder.before_effect(ms(2), &permit).unwrap();
    server.leader_heartbeat(LEASE_MS, false);
    assert_eq!(server.release(LEASE_MS, 0, 5).busy[0].in_flight, 1);
    server.holder.finish(ms(LEASE_MS), permit, Effect::Made);
    assert_eq!(server.release(LEASE_MS, 0, 5).released, [held(0, 5)]);
    assert!(
        server
            .holder
            .handover(ms(LEASE_MS), &key(0), held(0, 5).epoch)
            .complete
    );
}

#[test]
fn a_release_that_is_not_repeated_times_out() {
    let mut server = Server::serving(Guards::all());
    let permit = server.begin(1, &request("a", 5)).unwrap();
    server.release(2, 0, 5);
    for at in [500, 1000, 1500, 2000, 2500] {
        server.renew_at(at);
    }
    assert_eq!(server.run(2001, &request("b", 5)), Err(Refusal::Releasing));
    assert_eq!(server.run(2002, &request("b", 5)), Ok(true));
    server.complete(2003, permit).unwrap();
}

#[test]
fn releases_of_old_epochs_change_nothing() {
    let mut server = Server::serving(Guards::all());
    assert_eq!(server.release(1, 0, 4).released, [held(0, 4)]);
    assert_eq!(server.run(2, &request("a", 5)), Ok(true));
}

#[test]
fn changes_are_reported_with_their_time() {
    let mut server = Server::with_config(HolderConfig {
        report_changes: true,
        ..HolderConfig::new(BOOT)
    });
    server.renew_at(0);
    server.grant(3, 0, 5, None);
    server.grant(4, 0, 6, None);
    assert_eq!(server.holder.next_wake(), Some(ms(LEASE_MS)));
    server.holder.tick(ms(9000));
    let change = |at, kind, epoch| HoldingChange {
        at: ms(at),
        kind,
        shard: held(0, epoch),
    };
    let expected = [
        change(3, HoldingChangeKind::Acquired, 5),
        change(4, HoldingChangeKind::Forfeited, 5),
        change(4, HoldingChangeKind::Acquired, 6),
        change(LEASE_MS, HoldingChangeKind::Forfeited, 6),
    ];
    assert_eq!(server.holder.take_changes(), expected);
    assert!(server.holder.take_changes().is_empty());
}

#[test]
fn removed_guards_let_old_messages_through() {
    let mut delayed = Server::new(Guards::without(Guard::Nonce));
    delayed.leader_heartbeat(0, false);
    assert!(
        delayed.leader_heartbeat(5 * LEASE_MS, true).renewed,
        "renewal delayed by five lease durations"
    );

    let mut expired = Server::serving(Guards::without(Guard::Session));
    let old = expired.session;
    expired.renew_at(2 * LEASE_MS);
    expired.session = old;
    assert_eq!(
        expired.grant(2 * LEASE_MS, 0, 5, None),
        None,
        "grant delayed beyond the end of its session"
    );
}
