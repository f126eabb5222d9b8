//! Clauses on requests, cancellation, records, hand-over and leaving.

use std::time::{Duration, Instant};

use grebepin_holder::headers;
use grebepin_schema::{GrantRefusalReason, HealthAnswer, LoadAnswer, Refusal, RequestState};

use crate::contract::peer::{Ask, Method, Peer, Reply};
use crate::contract::previous::{previous_owner, Previous};
use crate::contract::{expect, expect_that, Breach};

/// Time that a request in flight takes, in ms.
const WORK_MS: u64 = 700;

/// Longest time after which a leaving server still takes requests.
const DRAIN_GRACE: Duration = Duration::from_secs(2);

/// An address where nobody listens.
const NOBODY: &str = "127.0.0.1:1";

pub(super) fn runs(peer: &mut Peer) -> Result<(), Breach> {
    let (shard, epoch) = peer.own_shard()?;
    let ask = peer.ask(shard, epoch);
    expect("request", peer.send(&ask)?, Reply::Ran)?;
    expect("outcome", peer.outcome(&ask)?, RequestState::Ran)
}

pub(super) fn any_method(peer: &mut Peer) -> Result<(), Breach> {
    let (shard, epoch) = peer.own_shard()?;
    for method in [Method::Get, Method::Put] {
        let mut ask = peer.ask(shard, epoch);
        ask.method = method;
        expect("request", peer.send(&ask)?, Reply::Ran)?;
        expect("outcome", peer.outcome(&ask)?, RequestState::Ran)?;
    }
    Ok(())
}

pub(super) fn wrong_epoch(peer: &mut Peer) -> Result<(), Breach> {
    let (shard, epoch) = peer.own_shard()?;
    let never_held = peer.fresh_shard();
    for (shard, epoch) in [(shard, epoch - 1), (shard, epoch + 1), (never_held, epoch)] {
        let ask = peer.ask(shard, epoch);
        refused_as(peer, &ask, Refusal::WrongEpoch)?;
    }
    Ok(())
}

pub(super) fn bad_request(peer: &mut Peer) -> Result<(), Breach> {
    let (shard, epoch) = peer.own_shard()?;
    for name in [
        headers::SERVICE,
        headers::SHARD,
        headers::EPOCH,
        headers::KEY,
        headers::REQUEST_ID,
        headers::ATTEMPT,
        headers::DEADLINE_MS,
        headers::REPEATABLE,
    ] {
        let mut ask = peer.ask(shard, epoch);
        ask.without = Some(name);
        refused_as(peer, &ask, Refusal::BadRequest)?;
    }
    let mut ask = peer.ask(shard, epoch);
    ask.attempt = 0;
    refused_as(peer, &ask, Refusal::BadRequest)
}

pub(super) fn no_time(peer: &mut Peer) -> Result<(), Breach> {
    let (shard, epoch) = peer.own_shard()?;
    let mut ask = peer.ask(shard, epoch);
    ask.deadline_ms = 0;
    refused_as(peer, &ask, Refusal::Deadline)?;
    expect("outcome", peer.outcome(&ask)?, RequestState::Unseen)
}

pub(super) fn runs_once(peer: &mut Peer) -> Result<(), Breach> {
    let (shard, epoch) = peer.own_shard()?;
    let mut ask = peer.ask(shard, epoch);
    expect("first", peer.send(&ask)?, Reply::Ran)?;
    expect("same again", peer.send(&ask)?, Reply::RanEarlier)?;
    ask.attempt = 2;
    expect("resend", peer.send(&ask)?, Reply::RanEarlier)
}

pub(super) fn repeatable(peer: &mut Peer) -> Result<(), Breach> {
    let (shard, epoch) = peer.own_shard()?;
    let mut ask = peer.ask(shard, epoch);
    ask.repeatable = true;
    expect("first", peer.send(&ask)?, Reply::Ran)?;
    ask.attempt = 2;
    expect("resend", peer.send(&ask)?, Reply::Ran)
}

pub(super) fn tombstone(peer: &mut Peer) -> Result<(), Breach> {
    let (shard, epoch) = peer.own_shard()?;
    let mut ask = peer.ask(shard, epoch);
    let answer = peer.cancel(&ask, Some(1))?;
    expect("state", answer.state, RequestState::NotRun)?;
    expect("epoch", answer.epoch.0, epoch)?;
    refused_as(peer, &ask, Refusal::Cancelled)?;
    ask.attempt = 2;
    refused_as(peer, &ask, Refusal::Cancelled)?;
    expect("outcome", peer.outcome(&ask)?, RequestState::NotRun)?;
    let again = peer.cancel(&ask, None)?.state;
    expect("asked again", again, RequestState::NotRun)
}

pub(super) fn cancel_after_run(peer: &mut Peer) -> Result<(), Breach> {
    let (shard, epoch) = peer.own_shard()?;
    let ask = peer.ask(shard, epoch);
    expect("request", peer.send(&ask)?, Reply::Ran)?;
    let state = peer.cancel(&ask, Some(1))?.state;
    expect("state", state, RequestState::Ran)?;
    expect("resend", peer.send(&ask)?, Reply::RanEarlier)
}

pub(super) fn cancel_at_other_epoch(peer: &mut Peer) -> Result<(), Breach> {
    let (shard, epoch) = peer.own_shard()?;
    let ask = peer.ask(shard, epoch - 1);
    let answer = peer.cancel(&ask, Some(1))?;
    expect("state", answer.state, RequestState::Unknown)?;
    expect("epoch", answer.epoch.0, epoch)?;
    let never_held = peer.fresh_shard();
    let ask = peer.ask(never_held, epoch);
    let answer = peer.cancel(&ask, Some(1))?;
    expect("state", answer.state, RequestState::Unknown)?;
    expect("epoch", answer.epoch.0, 0)
}

pub(super) fn unseen(peer: &mut Peer) -> Result<(), Breach> {
    let (shard, epoch) = peer.own_shard()?;
    let ask = peer.ask(shard, epoch);
    expect("outcome", peer.outcome(&ask)?, RequestState::Unseen)
}

pub(super) fn resend_after_loss(peer: &mut Peer) -> Result<(), Breach> {
    let lost = previous_owner(NOBODY, false)?;
    let (shard, epoch) = peer.own_shard_after(Some(lost))?;
    let mut ask = peer.ask(shard, epoch);
    ask.attempt = 2;
    refused_as(peer, &ask, Refusal::RecordIncomplete)?;
    expect("outcome", peer.outcome(&ask)?, RequestState::Unknown)?;
    let first = peer.ask(shard, epoch);
    expect("first attempt", peer.send(&first)?, Reply::Ran)?;
    expect("seen here", peer.send(&first)?, Reply::RanEarlier)?;
    let mut look_up = peer.ask(shard, epoch);
    look_up.attempt = 2;
    look_up.repeatable = true;
    expect("repeatable resend", peer.send(&look_up)?, Reply::Ran)
}

pub(super) fn cancel_after_loss(peer: &mut Peer) -> Result<(), Breach> {
    let lost = previous_owner(NOBODY, false)?;
    let (shard, epoch) = peer.own_shard_after(Some(lost))?;
    let unproven = (RequestState::Unknown, Refusal::RecordIncomplete);
    for (attempt, (state, refusal)) in [
        (Some(1), (RequestState::NotRun, Refusal::Cancelled)),
        (Some(2), unproven),
        (None, unproven),
    ] {
        let ask = peer.ask(shard, epoch);
        expect("state", peer.cancel(&ask, attempt)?.state, state)?;
        refused_as(peer, &ask, refusal)?;
    }
    Ok(())
}

pub(super) fn handover(peer: &mut Peer) -> Result<(), Breach> {
    let (shard, epoch) = peer.own_shard()?;
    let ran = peer.ask(shard, epoch);
    let cancelled = peer.ask(shard, epoch);
    expect("request", peer.send(&ran)?, Reply::Ran)?;
    peer.cancel(&cancelled, Some(1))?;
    let early = peer.handover(shard, epoch)?;
    expect("complete before the release", early.complete, false)?;
    peer.release(shard, epoch)?;
    let answer = peer.handover(shard, epoch)?;
    expect("complete", answer.complete, true)?;
    for (ask, state) in [
        (&ran, RequestState::Ran),
        (&cancelled, RequestState::NotRun),
    ] {
        let mut entries = answer.entries.iter();
        let entry = entries.find(|entry| entry.request_id.as_str() == ask.id);
        expect("entry", entry.map(|entry| entry.state), Some(state))?;
    }
    let other_epoch = peer.handover(shard, epoch + 1)?;
    expect("complete at another epoch", other_epoch.complete, false)?;
    let never_held = peer.fresh_shard();
    let unknown = peer.handover(never_held, epoch)?;
    expect("complete of another shard", unknown.complete, false)
}

pub(super) fn fetches_record(peer: &mut Peer) -> Result<(), Breach> {
    let record = [
        ("earlier-ran", RequestState::Ran),
        ("earlier-cancelled", RequestState::NotRun),
    ];
    let previous = Previous::start(true, &record)?;
    let (shard, epoch) = peer.own_shard_after(Some(previous.owner()?))?;
    let resend = |id: &str, peer: &mut Peer| Ask {
        id: id.to_owned(),
        attempt: 2,
        ..peer.ask(shard, epoch)
    };
    let ran = resend("earlier-ran", peer);
    let reply = reply_once_moved(peer, &ran)?;
    expect("ran at the previous owner", reply, Reply::RanEarlier)?;
    let cancelled = resend("earlier-cancelled", peer);
    refused_as(peer, &cancelled, Refusal::Cancelled)?;
    let new = resend("never-seen", peer);
    expect("resend of an unseen one", peer.send(&new)?, Reply::Ran)?;

    let previous = Previous::start(false, &record)?;
    let (shard, epoch) = peer.own_shard_after(Some(previous.owner()?))?;
    let mut ask = peer.ask(shard, epoch);
    ask.attempt = 2;
    let reply = reply_once_moved(peer, &ask)?;
    let incomplete = Reply::Refused(Refusal::RecordIncomplete);
    expect("record not complete", reply, incomplete)
}

pub(super) fn previous_gone(peer: &mut Peer) -> Result<(), Breach> {
    let gone = previous_owner(NOBODY, true)?;
    let (shard, epoch) = peer.own_shard_after(Some(gone))?;
    let mut ask = peer.ask(shard, epoch);
    ask.attempt = 2;
    let reply = reply_once_moved(peer, &ask)?;
    let incomplete = Reply::Refused(Refusal::RecordIncomplete);
    expect("resend", reply, incomplete)?;
    let first = peer.ask(shard, epoch);
    expect("first attempt", peer.send(&first)?, Reply::Ran)
}

pub(super) fn release_waits(peer: &mut Peer) -> Result<(), Breach> {
    let (shard, epoch) = peer.own_shard()?;
    let ask = slow(peer, shard, epoch);
    let running = peer.send_aside(&ask);
    await_running(peer, &ask)?;
    let answer = peer.release(shard, epoch)?;
    let busy: Vec<u32> = answer.busy.iter().map(|busy| busy.in_flight).collect();
    expect("busy", busy, vec![1])?;
    let late = peer.ask(shard, epoch);
    refused_as(peer, &late, Refusal::Releasing)?;
    expect("request in flight", join(running)?, Reply::Ran)?;
    let released = peer.release(shard, epoch)?.released.len();
    expect("released", released, 1)?;
    let record = peer.handover(shard, epoch)?;
    expect("record complete", record.complete, true)
}

pub(super) fn already_running(peer: &mut Peer) -> Result<(), Breach> {
    let (shard, epoch) = peer.own_shard()?;
    let ask = slow(peer, shard, epoch);
    let running = peer.send_aside(&ask);
    await_running(peer, &ask)?;
    refused_as(peer, &ask, Refusal::AlreadyRunning)?;
    expect("first", join(running)?, Reply::Ran)
}

pub(super) fn cancel_in_flight(peer: &mut Peer) -> Result<(), Breach> {
    let (shard, epoch) = peer.own_shard()?;
    let ask = slow(peer, shard, epoch);
    let running = peer.send_aside(&ask);
    await_running(peer, &ask)?;
    let state = peer.cancel(&ask, Some(1))?.state;
    let reply = join(running)?;
    let cancelled = Reply::Refused(Refusal::Cancelled);
    match state {
        RequestState::NotRun => expect("request", reply, cancelled),
        // A server that can't stop a request says so, and runs it to its end.
        RequestState::Running => expect("request", reply, Reply::Ran),
        state => expect("state", state, RequestState::NotRun),
    }
}

pub(super) fn drain(peer: &mut Peer) -> Result<(), Breach> {
    let (shard, epoch) = peer.own_shard()?;
    peer.drain(true)?;
    let checked = check_draining(peer, shard, epoch);
    peer.drain(false)?;
    checked?;
    expect("draining", peer.beat(None)?.draining, false)?;
    peer.renew()?;
    let ask = peer.ask(shard, epoch);
    expect("stays after all", peer.send(&ask)?, Reply::Ran)
}

fn check_draining(peer: &mut Peer, shard: u32, epoch: u64) -> Result<(), Breach> {
    let told = Instant::now();
    expect("draining", peer.beat(None)?.draining, true)?;
    let other = peer.fresh_shard();
    let refused = peer.grant(other, epoch + 1, None)?;
    expect("new grant", refused, Some(GrantRefusalReason::Draining))?;
    expect("held already", peer.grant(shard, epoch, None)?, None)?;
    while told.elapsed() < DRAIN_GRACE {
        peer.renew()?;
        std::thread::sleep(DRAIN_GRACE / 10);
    }
    peer.renew()?;
    let ask = peer.ask(shard, epoch);
    refused_as(peer, &ask, Refusal::Draining)
}

pub(super) fn probes(peer: &mut Peer) -> Result<(), Breach> {
    peer.get::<HealthAnswer>("health", "")?;
    let load: LoadAnswer = peer.get("load", "")?;
    expect_that("slots", load.slots > 0, load.slots, "at least 1")
}

fn slow(peer: &mut Peer, shard: u32, epoch: u64) -> Ask {
    let mut ask = peer.ask(shard, epoch);
    ask.work_ms = Some(WORK_MS);
    ask
}

fn refused_as(peer: &Peer, ask: &Ask, refusal: Refusal) -> Result<(), Breach> {
    expect("request", peer.send(ask)?, Reply::Refused(refusal))
}

/// Sends until the shard's record has come or was given up.
fn reply_once_moved(peer: &mut Peer, ask: &Ask) -> Result<Reply, Breach> {
    let mut reply = peer.send(ask)?;
    peer.wait_for(|peer| {
        if reply == Reply::Refused(Refusal::Releasing) {
            peer.renew()?;
            reply = peer.send(ask)?;
        }
        Ok(reply != Reply::Refused(Refusal::Releasing))
    })?;
    Ok(reply)
}

fn await_running(peer: &mut Peer, ask: &Ask) -> Result<(), Breach> {
    let running = peer.wait_for(|peer| Ok(peer.outcome(ask)? == RequestState::Running))?;
    expect("seen running", running, true)
}

fn join(running: std::thread::JoinHandle<Result<Reply, Breach>>) -> Result<Reply, Breach> {
    running.join().unwrap_or_else(|_| {
        Err(Breach::Check(std::io::Error::other(
            "a thread of the check died",
        )))
    })
}
