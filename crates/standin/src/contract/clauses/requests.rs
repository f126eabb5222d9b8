//! Clauses on requests, cancellation, records, hand-over and draining.

use std::time::{Duration, Instant};

use grebepin_holder::headers;
use grebepin_schema::{GrantRefusalReason, HealthAnswer, LoadAnswer, Refusal, RequestState};

use crate::contract::peer::{Method, Peer, Reply, TestRequest};
use crate::contract::previous::{previous_owner, PreviousOwnerServer};
use crate::contract::{expect, expect_that, ClauseError};

/// Service time of a request that must be in flight for a while, in ms.
const WORK_MS: u64 = 700;

/// Time after the start of a drain in which a server may still accept requests.
const DRAIN_GRACE: Duration = Duration::from_secs(2);

/// An address that is not listened on.
const CLOSED_ADDRESS: &str = "127.0.0.1:1";

pub(super) fn runs(peer: &mut Peer) -> Result<(), ClauseError> {
    let (shard, epoch) = peer.grant_new_shard()?;
    let request = peer.new_request(shard, epoch);
    expect("request", peer.send(&request)?, Reply::Ran)?;
    expect("outcome", peer.outcome(&request)?, RequestState::Ran)
}

pub(super) fn any_method(peer: &mut Peer) -> Result<(), ClauseError> {
    let (shard, epoch) = peer.grant_new_shard()?;
    for method in [Method::Get, Method::Put] {
        let mut request = peer.new_request(shard, epoch);
        request.method = method;
        expect("request", peer.send(&request)?, Reply::Ran)?;
        expect("outcome", peer.outcome(&request)?, RequestState::Ran)?;
    }
    Ok(())
}

pub(super) fn wrong_epoch(peer: &mut Peer) -> Result<(), ClauseError> {
    let (shard, epoch) = peer.grant_new_shard()?;
    let never_held = peer.fresh_shard();
    for (shard, epoch) in [(shard, epoch - 1), (shard, epoch + 1), (never_held, epoch)] {
        let request = peer.new_request(shard, epoch);
        expect_refusal(peer, &request, Refusal::WrongEpoch)?;
    }
    Ok(())
}

pub(super) fn bad_request(peer: &mut Peer) -> Result<(), ClauseError> {
    let (shard, epoch) = peer.grant_new_shard()?;
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
        let mut request = peer.new_request(shard, epoch);
        request.without = Some(name);
        expect_refusal(peer, &request, Refusal::BadRequest)?;
    }
    let mut request = peer.new_request(shard, epoch);
    request.attempt = 0;
    expect_refusal(peer, &request, Refusal::BadRequest)
}

pub(super) fn no_time(peer: &mut Peer) -> Result<(), ClauseError> {
    let (shard, epoch) = peer.grant_new_shard()?;
    let mut request = peer.new_request(shard, epoch);
    request.deadline_ms = 0;
    expect_refusal(peer, &request, Refusal::Deadline)?;
    expect("outcome", peer.outcome(&request)?, RequestState::Unseen)
}

pub(super) fn runs_once(peer: &mut Peer) -> Result<(), ClauseError> {
    let (shard, epoch) = peer.grant_new_shard()?;
    let mut request = peer.new_request(shard, epoch);
    expect("first", peer.send(&request)?, Reply::Ran)?;
    expect("same again", peer.send(&request)?, Reply::RanEarlier)?;
    request.attempt = 2;
    expect("resend", peer.send(&request)?, Reply::RanEarlier)
}

pub(super) fn repeatable(peer: &mut Peer) -> Result<(), ClauseError> {
    let (shard, epoch) = peer.grant_new_shard()?;
    let mut request = peer.new_request(shard, epoch);
    request.repeatable = true;
    expect("first", peer.send(&request)?, Reply::Ran)?;
    request.attempt = 2;
    expect("resend", peer.send(&request)?, Reply::Ran)
}

pub(super) fn tombstone(peer: &mut Peer) -> Result<(), ClauseError> {
    let (shard, epoch) = peer.grant_new_shard()?;
    let mut request = peer.new_request(shard, epoch);
    let answer = peer.cancel(&request, Some(1))?;
    expect("state", answer.state, RequestState::NotRun)?;
    expect("epoch", answer.epoch.0, epoch)?;
    expect_refusal(peer, &request, Refusal::Cancelled)?;
    request.attempt = 2;
    expect_refusal(peer, &request, Refusal::Cancelled)?;
    expect("outcome", peer.outcome(&request)?, RequestState::NotRun)?;
    let again = peer.cancel(&request, None)?.state;
    expect("asked again", again, RequestState::NotRun)
}

pub(super) fn cancel_after_run(peer: &mut Peer) -> Result<(), ClauseError> {
    let (shard, epoch) = peer.grant_new_shard()?;
    let request = peer.new_request(shard, epoch);
    expect("request", peer.send(&request)?, Reply::Ran)?;
    let state = peer.cancel(&request, Some(1))?.state;
    expect("state", state, RequestState::Ran)?;
    expect("resend", peer.send(&request)?, Reply::RanEarlier)
}

pub(super) fn cancel_at_other_epoch(peer: &mut Peer) -> Result<(), ClauseError> {
    let (shard, epoch) = peer.grant_new_shard()?;
    let request = peer.new_request(shard, epoch - 1);
    let answer = peer.cancel(&request, Some(1))?;
    expect("state", answer.state, RequestState::Unknown)?;
    expect("epoch", answer.epoch.0, epoch)?;
    let never_held = peer.fresh_shard();
    let request = peer.new_request(never_held, epoch);
    let answer = peer.cancel(&request, Some(1))?;
    expect("state", answer.state, RequestState::Unknown)?;
    expect("epoch", answer.epoch.0, 0)
}

pub(super) fn unseen(peer: &mut Peer) -> Result<(), ClauseError> {
    let (shard, epoch) = peer.grant_new_shard()?;
    let request = peer.new_request(shard, epoch);
    expect("outcome", peer.outcome(&request)?, RequestState::Unseen)
}

pub(super) fn resend_after_loss(peer: &mut Peer) -> Result<(), ClauseError> {
    let lost = previous_owner(CLOSED_ADDRESS, false)?;
    let (shard, epoch) = peer.grant_new_shard_after(Some(lost))?;
    let mut request = peer.new_request(shard, epoch);
    request.attempt = 2;
    expect_refusal(peer, &request, Refusal::RecordIncomplete)?;
    expect("outcome", peer.outcome(&request)?, RequestState::Unknown)?;
    let first = peer.new_request(shard, epoch);
    expect("first attempt", peer.send(&first)?, Reply::Ran)?;
    expect("seen here", peer.send(&first)?, Reply::RanEarlier)?;
    let mut repeatable_resend = peer.new_request(shard, epoch);
    repeatable_resend.attempt = 2;
    repeatable_resend.repeatable = true;
    expect(
        "repeatable resend",
        peer.send(&repeatable_resend)?,
        Reply::Ran,
    )
}

pub(super) fn cancel_after_loss(peer: &mut Peer) -> Result<(), ClauseError> {
    let lost = previous_owner(CLOSED_ADDRESS, false)?;
    let (shard, epoch) = peer.grant_new_shard_after(Some(lost))?;
    let unproven = (RequestState::Unknown, Refusal::RecordIncomplete);
    for (attempt, (state, refusal)) in [
        (Some(1), (RequestState::NotRun, Refusal::Cancelled)),
        (Some(2), unproven),
        (None, unproven),
    ] {
        let request = peer.new_request(shard, epoch);
        expect("state", peer.cancel(&request, attempt)?.state, state)?;
        expect_refusal(peer, &request, refusal)?;
    }
    Ok(())
}

pub(super) fn handover(peer: &mut Peer) -> Result<(), ClauseError> {
    let (shard, epoch) = peer.grant_new_shard()?;
    let ran = peer.new_request(shard, epoch);
    let cancelled = peer.new_request(shard, epoch);
    expect("request", peer.send(&ran)?, Reply::Ran)?;
    peer.cancel(&cancelled, Some(1))?;
    let early = peer.handover(shard, epoch)?;
    expect("complete before the release", early.complete, false)?;
    peer.release(shard, epoch)?;
    let answer = peer.handover(shard, epoch)?;
    expect("complete", answer.complete, true)?;
    for (request, state) in [
        (&ran, RequestState::Ran),
        (&cancelled, RequestState::NotRun),
    ] {
        let mut entries = answer.entries.iter();
        let entry = entries.find(|entry| entry.request_id.as_str() == request.id);
        expect("entry", entry.map(|entry| entry.state), Some(state))?;
    }
    let other_epoch = peer.handover(shard, epoch + 1)?;
    expect("complete at another epoch", other_epoch.complete, false)?;
    let never_held = peer.fresh_shard();
    let unknown = peer.handover(never_held, epoch)?;
    expect("complete of another shard", unknown.complete, false)
}

pub(super) fn fetches_record(peer: &mut Peer) -> Result<(), ClauseError> {
    let record = [
        ("earlier-ran", RequestState::Ran),
        ("earlier-cancelled", RequestState::NotRun),
    ];
    let previous = PreviousOwnerServer::start(true, &record)?;
    let (shard, epoch) = peer.grant_new_shard_after(Some(previous.owner()?))?;
    let resend = |id: &str, peer: &mut Peer| TestRequest {
        id: id.to_owned(),
        attempt: 2,
        ..peer.new_request(shard, epoch)
    };
    let ran = resend("earlier-ran", peer);
    let reply = send_after_handover(peer, &ran)?;
    expect("ran at the previous owner", reply, Reply::RanEarlier)?;
    let cancelled = resend("earlier-cancelled", peer);
    expect_refusal(peer, &cancelled, Refusal::Cancelled)?;
    let new = resend("never-seen", peer);
    expect("resend of an unseen one", peer.send(&new)?, Reply::Ran)?;

    let previous = PreviousOwnerServer::start(false, &record)?;
    let (shard, epoch) = peer.grant_new_shard_after(Some(previous.owner()?))?;
    let mut request = peer.new_request(shard, epoch);
    request.attempt = 2;
    let reply = send_after_handover(peer, &request)?;
    let incomplete = Reply::Refused(Refusal::RecordIncomplete);
    expect("record not complete", reply, incomplete)
}

pub(super) fn previous_gone(peer: &mut Peer) -> Result<(), ClauseError> {
    let gone = previous_owner(CLOSED_ADDRESS, true)?;
    let (shard, epoch) = peer.grant_new_shard_after(Some(gone))?;
    let mut request = peer.new_request(shard, epoch);
    request.attempt = 2;
    let reply = send_after_handover(peer, &request)?;
    let incomplete = Reply::Refused(Refusal::RecordIncomplete);
    expect("resend", reply, incomplete)?;
    let first = peer.new_request(shard, epoch);
    expect("first attempt", peer.send(&first)?, Reply::Ran)
}

pub(super) fn release_waits(peer: &mut Peer) -> Result<(), ClauseError> {
    let (shard, epoch) = peer.grant_new_shard()?;
    let request = slow_request(peer, shard, epoch);
    let running = peer.send_in_thread(&request);
    wait_until_running(peer, &request)?;
    let answer = peer.release(shard, epoch)?;
    let busy: Vec<u32> = answer.busy.iter().map(|busy| busy.in_flight).collect();
    expect("busy", busy, vec![1])?;
    let late = peer.new_request(shard, epoch);
    expect_refusal(peer, &late, Refusal::Releasing)?;
    expect("request in flight", join(running)?, Reply::Ran)?;
    let released = peer.release(shard, epoch)?.released.len();
    expect("released", released, 1)?;
    let record = peer.handover(shard, epoch)?;
    expect("record complete", record.complete, true)
}

pub(super) fn already_running(peer: &mut Peer) -> Result<(), ClauseError> {
    let (shard, epoch) = peer.grant_new_shard()?;
    let request = slow_request(peer, shard, epoch);
    let running = peer.send_in_thread(&request);
    wait_until_running(peer, &request)?;
    expect_refusal(peer, &request, Refusal::AlreadyRunning)?;
    expect("first", join(running)?, Reply::Ran)
}

pub(super) fn cancel_in_flight(peer: &mut Peer) -> Result<(), ClauseError> {
    let (shard, epoch) = peer.grant_new_shard()?;
    let request = slow_request(peer, shard, epoch);
    let running = peer.send_in_thread(&request);
    wait_until_running(peer, &request)?;
    let state = peer.cancel(&request, Some(1))?.state;
    let reply = join(running)?;
    let cancelled = Reply::Refused(Refusal::Cancelled);
    match state {
        RequestState::NotRun => expect("request", reply, cancelled),
        // A server that can't stop a request reports it as running, and completes it.
        RequestState::Running => expect("request", reply, Reply::Ran),
        state => expect("state", state, RequestState::NotRun),
    }
}

pub(super) fn drain(peer: &mut Peer) -> Result<(), ClauseError> {
    let (shard, epoch) = peer.grant_new_shard()?;
    peer.drain(true)?;
    let checked = check_draining(peer, shard, epoch);
    peer.drain(false)?;
    checked?;
    expect("draining", peer.heartbeat(None)?.draining, false)?;
    peer.renew()?;
    let request = peer.new_request(shard, epoch);
    expect("stays after all", peer.send(&request)?, Reply::Ran)
}

fn check_draining(peer: &mut Peer, shard: u32, epoch: u64) -> Result<(), ClauseError> {
    let drain_start = Instant::now();
    expect("draining", peer.heartbeat(None)?.draining, true)?;
    let other = peer.fresh_shard();
    let refused = peer.grant(other, epoch + 1, None)?;
    expect("new grant", refused, Some(GrantRefusalReason::Draining))?;
    expect("held already", peer.grant(shard, epoch, None)?, None)?;
    while drain_start.elapsed() < DRAIN_GRACE {
        peer.renew()?;
        std::thread::sleep(DRAIN_GRACE / 10);
    }
    peer.renew()?;
    let request = peer.new_request(shard, epoch);
    expect_refusal(peer, &request, Refusal::Draining)
}

pub(super) fn probes(peer: &mut Peer) -> Result<(), ClauseError> {
    peer.get::<HealthAnswer>("health", "")?;
    let load: LoadAnswer = peer.get("load", "")?;
    expect_that("slots", load.slots > 0, load.slots, "at least 1")
}

fn slow_request(peer: &mut Peer, shard: u32, epoch: u64) -> TestRequest {
    let mut request = peer.new_request(shard, epoch);
    request.work_ms = Some(WORK_MS);
    request
}

fn expect_refusal(peer: &Peer, request: &TestRequest, refusal: Refusal) -> Result<(), ClauseError> {
    expect("request", peer.send(request)?, Reply::Refused(refusal))
}

/// Resends the request until the fetch of the shard's record has completed or failed.
fn send_after_handover(peer: &mut Peer, request: &TestRequest) -> Result<Reply, ClauseError> {
    let mut reply = peer.send(request)?;
    peer.wait_for(|peer| {
        if reply == Reply::Refused(Refusal::Releasing) {
            peer.renew()?;
            reply = peer.send(request)?;
        }
        Ok(reply != Reply::Refused(Refusal::Releasing))
    })?;
    Ok(reply)
}

fn wait_until_running(peer: &mut Peer, request: &TestRequest) -> Result<(), ClauseError> {
    let running = peer.wait_for(|peer| Ok(peer.outcome(request)? == RequestState::Running))?;
    expect("seen running", running, true)
}

fn join(
    running: std::thread::JoinHandle<Result<Reply, ClauseError>>,
) -> Result<Reply, ClauseError> {
    running.join().unwrap_or_else(|_| {
        Err(ClauseError::Check(std::io::Error::other(
            "a thread of the check died",
        )))
    })
}
