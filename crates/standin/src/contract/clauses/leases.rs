//! Clauses on heartbeats, leases, grants and releases.

use std::time::{Duration, Instant};

use grebepin_schema::hashing::shard_hash;
use grebepin_schema::{GrantRefusalReason, LeaseRenewal, Nonce, Refusal, Session, Term};

use crate::contract::peer::{Peer, Reply, LEASE_MS};
use crate::contract::{expect, expect_that, ClauseError};

/// Heartbeats after which an old nonce must be forgotten.
const FORGOTTEN_AFTER: usize = 20;

/// Pause between the issue of a nonce and its return.
const NONCE_AGE: Duration = Duration::from_millis(300);

/// Lease that is shorter than the request which runs under it, and that request's time, in ms.
const SHORT_LEASE_MS: u64 = 500;
const LONG_WORK_MS: u64 = 1200;

pub(super) fn holds_nothing(peer: &mut Peer) -> Result<(), ClauseError> {
    let answer = peer.heartbeat(None)?;
    expect("held", answer.held, 0)?;
    expect("held_checksum", answer.held_checksum, 0)?;
    expect("renewed", answer.renewed, false)?;
    expect("lease_remaining_ms", answer.lease_remaining_ms, 0)?;
    expect("draining", answer.draining, false)
}

pub(super) fn own_name(peer: &mut Peer) -> Result<(), ClauseError> {
    let body = br#"{"group":0,"term":10,"server":"another-server"}"#;
    expect("status", peer.status("heartbeat", body)?, 421)
}

pub(super) fn malformed(peer: &mut Peer) -> Result<(), ClauseError> {
    expect("status", peer.status("heartbeat", b"{\"group\":")?, 400)?;
    expect("status", peer.status("grant", b"{}")?, 400)
}

pub(super) fn no_grant_without_lease(peer: &mut Peer) -> Result<(), ClauseError> {
    peer.wait_for_lapse()?;
    let (shard, epoch) = (peer.fresh_shard(), peer.fresh_epoch());
    let refused = peer.grant(shard, epoch, None)?;
    expect("grant", refused, Some(GrantRefusalReason::NoLease))
}

pub(super) fn fresh_nonces(peer: &mut Peer) -> Result<(), ClauseError> {
    let first = peer.heartbeat(None)?.nonce;
    let second = peer.heartbeat(None)?.nonce;
    expect_that("nonces", first != second, (first, second), "two nonces")
}

pub(super) fn unknown_nonce(peer: &mut Peer) -> Result<(), ClauseError> {
    let renewal = LeaseRenewal {
        nonce: Nonce(peer.nonce.0.wrapping_add(1_000_000)),
        ..peer.renewal(LEASE_MS)
    };
    expect("renewed", peer.heartbeat(Some(renewal))?.renewed, false)
}

pub(super) fn other_session(peer: &mut Peer) -> Result<(), ClauseError> {
    let renewal = LeaseRenewal {
        session: Session(peer.session.0.wrapping_add(1)),
        ..peer.renewal(LEASE_MS)
    };
    expect("renewed", peer.heartbeat(Some(renewal))?.renewed, false)
}

pub(super) fn counts_from_issue(peer: &mut Peer) -> Result<(), ClauseError> {
    peer.wait_for_lapse()?;
    peer.heartbeat(None)?;
    let received = Instant::now();
    let expired = peer.renewal(NONCE_AGE.as_millis() as u64 / 2);
    let renewal = peer.renewal(LEASE_MS);
    std::thread::sleep(NONCE_AGE);
    expect(
        "stuck renewal",
        peer.heartbeat(Some(expired))?.renewed,
        false,
    )?;
    // The nonce was issued before it was received here, so this is an upper bound.
    let most = LEASE_MS.saturating_sub(received.elapsed().as_millis() as u64);
    let answer = peer.heartbeat(Some(renewal))?;
    expect("renewed", answer.renewed, true)?;
    let left = answer.lease_remaining_ms;
    expect_that("lease_remaining_ms", left <= most, left, most)
}

pub(super) fn old_nonces(peer: &mut Peer) -> Result<(), ClauseError> {
    peer.heartbeat(None)?;
    let old = peer.renewal(10 * LEASE_MS);
    for _ in 0..FORGOTTEN_AFTER {
        peer.heartbeat(None)?;
    }
    expect("renewed", peer.heartbeat(Some(old))?.renewed, false)
}

pub(super) fn lower_term(peer: &mut Peer) -> Result<(), ClauseError> {
    let (shard, epoch) = peer.grant_new_shard()?;
    let old = peer.term;
    peer.term = Term(old.0 + 1);
    peer.renew()?;
    let current = std::mem::replace(&mut peer.term, old);
    let renewal = peer.renewal(LEASE_MS);
    let (session, nonce) = (peer.session, peer.nonce);
    let renewed = peer.heartbeat(Some(renewal))?.renewed;
    (peer.session, peer.nonce) = (session, nonce);
    let other = peer.fresh_shard();
    let granted = peer.grant(other, epoch + 1, None)?;
    let released = peer.release(shard, epoch)?;
    peer.term = current;
    expect("renewed", renewed, false)?;
    expect("grant", granted, Some(GrantRefusalReason::StaleTerm))?;
    expect("released", released.released.len(), 0)?;
    let request = peer.new_request(shard, epoch);
    expect("request", peer.send(&request)?, Reply::Ran)
}

pub(super) fn grant_of_other_session(peer: &mut Peer) -> Result<(), ClauseError> {
    peer.renew()?;
    let current = peer.session;
    peer.session = Session(current.0.wrapping_add(1));
    let (shard, epoch) = (peer.fresh_shard(), peer.fresh_epoch());
    let refused = peer.grant(shard, epoch, None)?;
    peer.session = current;
    expect("grant", refused, Some(GrantRefusalReason::StaleSession))
}

pub(super) fn epochs_grow(peer: &mut Peer) -> Result<(), ClauseError> {
    let (shard, epoch) = peer.grant_new_shard()?;
    let stale = Some(GrantRefusalReason::StaleEpoch);
    expect("same epoch", peer.grant(shard, epoch, None)?, None)?;
    expect("lower epoch", peer.grant(shard, epoch - 1, None)?, stale)?;
    expect("higher epoch", peer.grant(shard, epoch + 2, None)?, None)?;
    expect("old epoch", peer.grant(shard, epoch, None)?, stale)?;
    let request = peer.new_request(shard, epoch);
    let wrong = Reply::Refused(Refusal::WrongEpoch);
    expect("request at the old epoch", peer.send(&request)?, wrong)
}

pub(super) fn checksum(peer: &mut Peer) -> Result<(), ClauseError> {
    let first = peer.grant_new_shard()?;
    let second = peer.grant_new_shard()?;
    let answer = peer.heartbeat(None)?;
    let holdings = peer.holdings()?;
    expect("session", holdings.session, answer.session)?;
    expect("held", answer.held as usize, holdings.shards.len())?;
    for (shard, epoch) in [first, second] {
        let held = peer.held(shard, epoch);
        let listed = holdings.shards.contains(&held);
        expect_that("holdings", listed, &holdings.shards, &held)?;
    }
    let sum = holdings
        .shards
        .iter()
        .map(|held| shard_hash(&held.service, held.shard, held.epoch))
        .fold(0, u64::wrapping_add);
    expect("held_checksum", answer.held_checksum, sum)
}

pub(super) fn release(peer: &mut Peer) -> Result<(), ClauseError> {
    let (shard, epoch) = peer.grant_new_shard()?;
    let held = vec![peer.held(shard, epoch)];
    expect(
        "released",
        peer.release(shard, epoch)?.released,
        held.clone(),
    )?;
    expect("asked again", peer.release(shard, epoch)?.released, held)?;
    let request = peer.new_request(shard, epoch);
    let wrong = Reply::Refused(Refusal::WrongEpoch);
    expect("request", peer.send(&request)?, wrong)?;
    let stale = Some(GrantRefusalReason::StaleEpoch);
    expect("released epoch", peer.grant(shard, epoch, None)?, stale)?;
    let never_held = peer.fresh_shard();
    peer.release(never_held, epoch)?;
    expect(
        "released ahead",
        peer.grant(never_held, epoch, None)?,
        stale,
    )?;
    expect("higher epoch", peer.grant(shard, epoch + 1, None)?, None)
}

pub(super) fn lapse(peer: &mut Peer) -> Result<(), ClauseError> {
    let (shard, epoch) = peer.grant_new_shard()?;
    let request = peer.new_request(shard, epoch);
    expect("request", peer.send(&request)?, Reply::Ran)?;
    let old = peer.session;
    peer.wait_for_lapse()?;
    let answer = peer.heartbeat(None)?;
    expect("held", answer.held, 0)?;
    let session = answer.session;
    expect_that("session", session != old, session, "a new session")?;
    let late = peer.new_request(shard, epoch);
    let reply = peer.send(&late)?;
    let refused = matches!(
        reply,
        Reply::Refused(Refusal::NoLease | Refusal::WrongEpoch)
    );
    expect_that("request after the lapse", refused, reply, "no-lease")?;
    peer.renew()?;
    peer.session = old;
    let granted = peer.grant(shard, epoch, None)?;
    peer.session = session;
    let stale = Some(GrantRefusalReason::StaleSession);
    expect("grant delayed across the lapse", granted, stale)?;
    expect("same epoch again", peer.grant(shard, epoch, None)?, None)?;
    expect("what ran before", peer.send(&request)?, Reply::RanEarlier)
}

pub(super) fn no_effect_after_lapse(peer: &mut Peer) -> Result<(), ClauseError> {
    peer.wait_for_lapse()?;
    peer.renew_for(SHORT_LEASE_MS)?;
    let (shard, epoch) = (peer.fresh_shard(), peer.fresh_epoch());
    expect("grant", peer.grant(shard, epoch, None)?, None)?;
    let mut request = peer.new_request(shard, epoch);
    request.work_ms = Some(LONG_WORK_MS);
    let reply = peer.send(&request)?;
    let refused = matches!(
        reply,
        Reply::Refused(Refusal::NoLease | Refusal::WrongEpoch)
    );
    expect_that("effect after the lease", refused, reply, "no-lease")
}

pub(super) fn handover_after_lapse(peer: &mut Peer) -> Result<(), ClauseError> {
    let (shard, epoch) = peer.grant_new_shard()?;
    let request = peer.new_request(shard, epoch);
    expect("request", peer.send(&request)?, Reply::Ran)?;
    peer.wait_for_lapse()?;
    let record = peer.handover(shard, epoch)?;
    expect("complete", record.complete, true)?;
    let mut entries = record.entries.iter();
    let listed = entries.any(|entry| entry.request_id.as_str() == request.id);
    expect("entry", listed, true)?;
    peer.renew()?;
    let stale = Some(GrantRefusalReason::StaleEpoch);
    expect("handed over", peer.grant(shard, epoch, None)?, stale)
}
