//! The request record: resends, handover, bounds.

mod common;

use common::{held, id, key, ms, previous, request, resend, Server, BOOT, LEASE_MS};
use grebepin_holder::{Guards, HolderConfig, Request};
use grebepin_schema::{Epoch, HandoverAnswer, RecordEntry, Refusal, RequestState, ShardId};

#[test]
fn resends_need_a_whole_record() {
    let complete = |complete| {
        Some(HandoverAnswer {
            complete,
            entries: Vec::new(),
        })
    };
    let runs = Ok(true);
    let incomplete = Err(Refusal::RecordIncomplete);
    let moving = Err(Refusal::Releasing);
    // (name, previous owner, result of the handover, answer to a resend)
    #[rustfmt::skip]
    let table = [
        ("first owner", None, None, runs),
        ("lost owner", Some(previous(6, false)), None, incomplete),
        ("released, not fetched yet", Some(previous(6, true)), None, moving),
        ("released, record complete", Some(previous(6, true)), Some(complete(true)), runs),
        ("released, record incomplete", Some(previous(6, true)), Some(complete(false)), incomplete),
        ("released, fetch failed", Some(previous(6, true)), Some(None), incomplete),
    ];
    for (name, previous, fetched, expected) in table {
        let mut server = Server::leased(Guards::all());
        let outcome = server.grant_outcome(0, 0, 7, previous.clone());
        assert_eq!(
            outcome.fetch.len(),
            usize::from(previous.is_some()),
            "{name}"
        );
        if let Some(answer) = fetched {
            server.complete_handover(1, 7, answer);
        }
        assert_eq!(server.run(2, &resend("a", 7)), expected, "{name}");
        let first = if expected == moving { moving } else { Ok(true) };
        assert_eq!(
            server.run(2, &request("b", 7)),
            first,
            "{name}, first attempt"
        );
        let look_up = Request {
            repeatable: true,
            ..resend("c", 7)
        };
        assert_eq!(server.run(2, &look_up), Ok(true), "{name}, repeatable");
    }
}

#[test]
fn a_server_that_stays_the_owner_keeps_its_record() {
    let mut server = Server::serving(Guards::all());
    assert_eq!(server.run(1, &request("a", 5)), Ok(true));
    server.grant(2, 0, 8, Some(previous(5, false)));
    assert_eq!(server.run(3, &resend("a", 8)), Ok(false));
    assert_eq!(
        server.run(3, &resend("b", 8)),
        Ok(true),
        "record still complete"
    );
    // Another owner held the shard in between; the requests that it ran are unknown here.
    server.grant(4, 0, 11, Some(previous(9, false)));
    assert_eq!(server.run(5, &resend("a", 11)), Ok(false));
    assert_eq!(
        server.run(5, &resend("c", 11)),
        Err(Refusal::RecordIncomplete)
    );
}

#[test]
fn a_handover_carries_what_ran_and_what_was_cancelled() {
    let mut from = Server::serving(Guards::all());
    assert_eq!(from.run(1, &request("ran", 5)), Ok(true));
    assert_eq!(
        from.run(
            1,
            &Request {
                repeatable: true,
                ..request("look-up", 5)
            }
        ),
        Ok(true)
    );
    from.cancel(2, "cancelled", 5, Some(1));
    let early = from.holder.handover(ms(3), &key(0), Epoch(5));
    assert!(!early.complete, "not released yet");
    from.release(3, 0, 5);
    assert_eq!(from.holder.unfetched_records(), 1);
    assert!(
        !from.holder.handover(ms(3), &key(0), Epoch(4)).complete,
        "other epoch"
    );
    assert!(
        !from.holder.handover(ms(3), &key(1), Epoch(5)).complete,
        "unknown shard"
    );
    let answer = from.holder.handover(ms(4), &key(0), Epoch(5));
    assert_eq!(from.holder.unfetched_records(), 0);
    let entry = |name, state| RecordEntry {
        request_id: id(name),
        state,
    };
    let entries = vec![
        entry("cancelled", RequestState::NotRun),
        entry("ran", RequestState::Ran),
    ];
    assert_eq!(
        answer,
        HandoverAnswer {
            complete: true,
            entries
        }
    );

    let mut to = Server::leased(Guards::all());
    to.grant(5, 0, 6, Some(previous(5, true)));
    to.complete_handover(6, 6, Some(answer));
    assert_eq!(to.run(7, &resend("ran", 6)), Ok(false));
    assert_eq!(to.run(7, &resend("cancelled", 6)), Err(Refusal::Cancelled));
    assert_eq!(to.run(7, &resend("new", 6)), Ok(true));
    assert_eq!(to.outcome(8, "never"), RequestState::Unseen);
}

#[test]
fn late_handovers_are_ignored() {
    let mut server = Server::leased(Guards::all());
    server.grant(0, 0, 6, Some(previous(5, true)));
    server.grant(1, 0, 9, Some(previous(8, false)));
    let complete = HandoverAnswer {
        complete: true,
        entries: Vec::new(),
    };
    server.complete_handover(2, 6, Some(complete.clone()));
    assert_eq!(
        server.run(3, &resend("a", 9)),
        Err(Refusal::RecordIncomplete)
    );
    assert!(server.holder.wants_record(ms(4), &held(0, 9)));
    server.renew_at(LEASE_MS);
    let again = server.grant_outcome(LEASE_MS, 0, 9, Some(previous(8, false)));
    assert_eq!(
        again.fetch.len(),
        1,
        "granted again after the lease expired"
    );
    server.complete_handover(LEASE_MS, 9, Some(complete));
    assert_eq!(server.run(LEASE_MS, &resend("a", 9)), Ok(true));
}

#[test]
fn records_are_bounded_by_age() {
    let config = HolderConfig {
        retention: ms(100),
        repeatable_retention: ms(10),
        ..HolderConfig::new(BOOT)
    };
    let mut server = Server::with_config(config);
    server.renew_at(0);
    server.grant(0, 0, 7, Some(previous(6, false)));
    assert_eq!(server.run(1, &request("a", 7)), Ok(true));
    assert_eq!(
        server.run(50, &resend("b", 7)),
        Err(Refusal::RecordIncomplete)
    );
    assert_eq!(server.outcome(101, "a"), RequestState::Ran);
    server.holder.tick(ms(102));
    assert_eq!(
        server.outcome(102, "a"),
        RequestState::Unseen,
        "older than the retention"
    );
    assert_eq!(
        server.run(102, &resend("b", 7)),
        Ok(true),
        "record complete within the retention"
    );
}

#[test]
fn records_are_bounded_by_count_and_say_so() {
    let config = HolderConfig {
        entries_per_shard: 10,
        ..HolderConfig::new(BOOT)
    };
    let mut server = Server::with_config(config);
    server.renew_at(0);
    server.grant(0, 0, 5, None);
    for number in 0..10 {
        assert_eq!(server.run(1, &request(&format!("r{number}"), 5)), Ok(true));
    }
    assert_eq!(server.outcome(2, "r0"), RequestState::Ran);
    assert_eq!(server.run(2, &request("one-more", 5)), Ok(true));
    assert_eq!(server.outcome(3, "r0"), RequestState::Unknown);
    assert_eq!(
        server.run(3, &resend("r0", 5)),
        Err(Refusal::RecordIncomplete)
    );
}

#[test]
fn a_lost_owner_that_comes_back_hands_its_record_over() {
    let mut lost = Server::serving(Guards::all());
    assert_eq!(lost.run(1, &request("ran", 5)), Ok(true));
    let frozen = lost.begin(2, &request("frozen", 5)).unwrap();
    let mut next = Server::leased(Guards::all());
    let fetch = next.grant_outcome(0, 0, 9, Some(previous(5, false))).fetch;
    assert!(!fetch[0].previous.released);
    assert_eq!(
        next.cancel(1, "before", 9, Some(2)).state,
        RequestState::Unknown
    );
    assert_eq!(
        next.cancel(1, "ran", 9, Some(2)).state,
        RequestState::Unknown
    );

    // The lost owner returns after the end of its lease, with a request still in flight.
    let early = lost.holder.handover(ms(3000), &key(0), Epoch(5));
    assert!(!early.complete);
    next.complete_handover(2, 9, Some(early));
    assert_eq!(
        next.outcome(2, "ran"),
        RequestState::Ran,
        "entries of an incomplete record are merged"
    );
    assert_eq!(next.outcome(2, "before"), RequestState::Unknown);
    assert!(lost.complete(3001, frozen).is_err());

    let record = lost.holder.handover(ms(3002), &key(0), Epoch(5));
    assert!(record.complete);
    next.complete_handover(3, 9, Some(record));
    assert!(!next.holder.wants_record(ms(3), &held(0, 9)));
    assert_eq!(
        next.outcome(3, "before"),
        RequestState::NotRun,
        "proven by the complete record"
    );
    assert_eq!(next.run(3, &resend("ran", 9)), Ok(false));
    assert_eq!(next.run(3, &resend("frozen", 9)), Ok(true));

    lost.renew_at(3003);
    let refused = lost.grant(3003, 0, 5, None);
    assert_eq!(
        refused,
        Some(grebepin_schema::GrantRefusalReason::StaleEpoch)
    );
}

#[test]
fn records_become_whole_along_a_chain_of_owners() {
    let mut first = Server::serving(Guards::all());
    assert_eq!(first.run(1, &request("ran", 5)), Ok(true));
    // The first owner is lost, so the second owner's record is incomplete when it releases the shard.
    let mut second = Server::leased(Guards::all());
    second.grant(0, 0, 6, Some(previous(5, false)));
    assert_eq!(second.run(1, &request("ran-second", 6)), Ok(true));
    second.release(2, 0, 6);
    let early = second.holder.handover(ms(3), &key(0), Epoch(6));
    assert!(!early.complete);
    // The first owner returns and is granted the shard again.
    first.renew_at(3000);
    first.grant(3000, 0, 7, Some(previous(6, true)));
    first.complete_handover(3001, 7, Some(early));
    assert_eq!(
        first.run(3002, &resend("new", 7)),
        Err(Refusal::RecordIncomplete)
    );

    assert!(
        !first.holder.handover(ms(3003), &key(0), Epoch(6)).complete,
        "epoch never held here"
    );
    let early = first.holder.handover(ms(3003), &key(0), Epoch(5));
    assert!(early.complete, "epoch held earlier");
    assert!(second.holder.wants_record(ms(4), &held(0, 6)));
    second.complete_handover(4, 6, Some(early));
    let record = second.holder.handover(ms(5), &key(0), Epoch(6));
    assert!(record.complete);
    first.complete_handover(3004, 7, Some(record));
    assert_eq!(first.run(3005, &resend("ran-second", 7)), Ok(false));
    assert_eq!(first.run(3005, &resend("new", 7)), Ok(true));
}

#[test]
fn records_of_all_shards_together_are_bounded() {
    let config = HolderConfig {
        entries: 10,
        repeatable_entries: 4,
        ..HolderConfig::new(BOOT)
    };
    let mut server = Server::with_config(config);
    server.renew_at(0);
    server.grant(0, 0, 5, None);
    server.grant(0, 1, 5, None);
    let other = |name: &str| Request {
        shard: ShardId(1),
        ..request(name, 5)
    };
    for number in 0..8 {
        let look_up = Request {
            repeatable: true,
            ..request(&format!("l{number}"), 5)
        };
        assert_eq!(server.run(1, &look_up), Ok(true));
    }
    for number in 0..6 {
        assert_eq!(server.run(2, &other(&format!("o{number}"))), Ok(true));
        assert_eq!(server.run(2, &request(&format!("r{number}"), 5)), Ok(true));
    }
    // 12 requests ran and 10 are kept: each shard evicted its oldest one when it exceeded the bound.
    for (name, state) in [
        ("r0", RequestState::Unknown),
        ("r1", RequestState::Ran),
        ("r5", RequestState::Ran),
        ("l3", RequestState::Unknown),
        ("l4", RequestState::Ran),
        ("l7", RequestState::Ran),
    ] {
        assert_eq!(server.outcome(3, name), state, "{name}");
    }
    assert_eq!(
        server.run(3, &resend("r0", 5)),
        Err(Refusal::RecordIncomplete)
    );
}
