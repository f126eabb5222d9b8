//! Grants, releases and the handover of request records.
//!
//! Invariants: a grant takes effect only in the session it was made for and above every released
//! epoch; a shard is released only when none of its requests is in flight.

use std::time::Duration;

use grebepin_schema::{
    BusyShard, Epoch, Grant, GrantAnswer, GrantRefusal, GrantRefusalReason, GrantRequest,
    HandoverAnswer, HeldShard, PreviousOwner, ReleaseAnswer, ReleaseRequest, ShardKey,
};

use crate::guards::Guard;
use crate::holder::{held_shard, Holder, Shard};

/// A record that the caller fetches from a shard's previous owner, with
/// `GET /grebepin/v1/handover`, and passes to [`Holder::complete_handover`].
///
/// If the previous owner released the shard, the record is fetched at once, since first attempts are
/// refused until it is there. Otherwise the previous owner was lost. It can return with its record,
/// so the caller retries periodically while [`Holder::wants_record`] is true.
#[derive(Clone, Debug, PartialEq)]
pub struct HandoverFetch {
    /// Shard, and the epoch at which it was granted.
    pub shard: HeldShard,
    /// Server to fetch from, and the epoch at which it held the shard.
    pub previous: PreviousOwner,
}

/// Answer to a grant request, and the records to fetch for it.
#[derive(Clone, Debug)]
pub struct GrantOutcome {
    /// Answer for the control leader.
    pub answer: GrantAnswer,
    /// Records to fetch in the background. Non-repeatable requests that the record doesn't know are
    /// refused until a released shard's record is there.
    pub fetch: Vec<HandoverFetch>,
}

impl Holder {
    /// Accepts or refuses each shard that the control group has assigned to this server.
    pub fn grant(&mut self, now: Duration, request: &GrantRequest) -> GrantOutcome {
        self.expire_leases(now);
        let current_term = self.accept_term(request.group, request.term);
        let mut accepted = Vec::new();
        let mut refused = Vec::new();
        let mut fetch = Vec::new();
        for grant in &request.grants {
            match self.check_grant(now, request, grant, current_term) {
                Ok(()) => {
                    fetch.extend(self.accept_grant(now, request, grant));
                    accepted.push(HeldShard {
                        service: grant.service.clone(),
                        shard: grant.shard,
                        epoch: grant.epoch,
                    });
                }
                Err(reason) => refused.push(refusal(grant, reason)),
            }
        }
        let answer = GrantAnswer {
            boot: self.boot(),
            session: self.session(request.group),
            accepted,
            refused,
        };
        GrantOutcome { answer, fetch }
    }

    /// Stops accepting new requests for the shards and releases those without requests in flight.
    /// The control leader repeats the request until every shard is released.
    pub fn release(&mut self, now: Duration, request: &ReleaseRequest) -> ReleaseAnswer {
        self.expire_leases(now);
        let mut answer = ReleaseAnswer {
            released: Vec::new(),
            busy: Vec::new(),
        };
        if !self.accept_term(request.group, request.term) {
            return answer;
        }
        for held in &request.shards {
            match self.release_shard(now, request, held) {
                None => answer.released.push(held.clone()),
                Some(in_flight) => answer.busy.push(BusyShard {
                    service: held.service.clone(),
                    shard: held.shard,
                    epoch: held.epoch,
                    in_flight,
                }),
            }
        }
        answer
    }

    /// Returns the record of a shard that this server held at `epoch` and released, or lost with its
    /// lease, for the next owner. Once no request of `epoch` can run here, later grants of the
    /// shard at that epoch are refused.
    pub fn handover(&mut self, now: Duration, key: &ShardKey, epoch: Epoch) -> HandoverAnswer {
        self.expire_leases(now);
        let Some(shard) = self.shards.get_mut(key) else {
            return HandoverAnswer {
                complete: false,
                entries: Vec::new(),
            };
        };
        shard.record.expire(now, &self.config);
        let (settled, complete) = shard.epoch_ended(now, epoch);
        if settled {
            // A next owner exists, so this epoch must not be granted again.
            shard.released = shard.released.max(epoch);
            shard.record_unfetched &= shard.epoch != epoch;
        }
        HandoverAnswer {
            complete,
            entries: shard.record.handover_entries(),
        }
    }

    /// Whether the record of a shard that is held at this epoch, or was held last at it, is
    /// incomplete and still has to be fetched.
    pub fn wants_record(&self, now: Duration, shard: &HeldShard) -> bool {
        let known = self.shards.get(&shard_key(shard));
        known.is_some_and(|known| known.needs_record(now, shard.epoch))
    }

    /// Merges the record fetched for a grant; `answer` is `None` if the fetch failed. The call is
    /// ignored if the shard is held, or was held last, at another epoch.
    pub fn complete_handover(
        &mut self,
        now: Duration,
        shard: &HeldShard,
        answer: Option<&HandoverAnswer>,
    ) {
        self.expire_leases(now);
        let key = shard_key(shard);
        let epoch = shard.epoch;
        self.change_record(now, &key, |known, config| {
            if !known.needs_record(now, epoch) {
                return;
            }
            known.awaiting_record = false;
            if let Some(answer) = answer {
                known.record.import(now, answer, config);
            }
        });
    }

    fn check_grant(
        &self,
        now: Duration,
        request: &GrantRequest,
        grant: &Grant,
        current_term: bool,
    ) -> Result<(), GrantRefusalReason> {
        if !current_term {
            return Err(GrantRefusalReason::StaleTerm);
        }
        let check_session = self.config.guards.is_enabled(Guard::Session);
        if check_session && request.session != self.session(request.group) {
            return Err(GrantRefusalReason::StaleSession);
        }
        if !self.has_lease(now, request.group) {
            return Err(GrantRefusalReason::NoLease);
        }
        let known = self.shards.get(&grant_key(grant));
        if known.is_some_and(|shard| refuses_epoch(shard, request, grant.epoch)) {
            return Err(GrantRefusalReason::StaleEpoch);
        }
        let held_already = known.is_some_and(|shard| shard.held && shard.epoch == grant.epoch);
        if self.is_draining() && !held_already {
            return Err(GrantRefusalReason::Draining);
        }
        Ok(())
    }

    fn accept_grant(
        &mut self,
        now: Duration,
        request: &GrantRequest,
        grant: &Grant,
    ) -> Option<HandoverFetch> {
        let key = grant_key(grant);
        let shard = self
            .shards
            .entry(key.clone())
            .or_insert_with(|| Shard::new(request.group));
        if shard.held && shard.epoch == grant.epoch {
            return None;
        }
        let previous_is_self = continues_own_record(shard.epoch, grant.previous.as_ref());
        let continues = shard.epoch == grant.epoch || previous_is_self;
        let complete_now = shard.record.is_complete(now);
        if shard.epoch != grant.epoch {
            let settled = complete_now && shard.in_flight == 0;
            shard.complete_through = settled.then_some(shard.epoch);
        }
        match &grant.previous {
            _ if continues && complete_now => {}
            None if shard.epoch == Epoch(0) => shard.record.set_complete(now),
            _ if continues => {}
            _ => shard.record.set_incomplete(now, &self.config),
        }
        let incomplete = !shard.record.is_complete(now);
        self.acquire(now, &key, grant.epoch);
        let previous = grant.previous.clone()?;
        if !incomplete || previous_is_self {
            return None;
        }
        if let Some(shard) = self.shards.get_mut(&key) {
            shard.awaiting_record = previous.released;
        }
        let shard = held_shard(&key, grant.epoch);
        Some(HandoverFetch { shard, previous })
    }

    /// Releases a shard; returns its requests in flight if it can't be released yet.
    fn release_shard(
        &mut self,
        now: Duration,
        request: &ReleaseRequest,
        held: &HeldShard,
    ) -> Option<u32> {
        let key = shard_key(held);
        let group = request.group;
        let shard = self
            .shards
            .entry(key.clone())
            .or_insert_with(|| Shard::new(group));
        if shard.group != group || shard.epoch > held.epoch {
            return None;
        }
        shard.release_requested_at = shard.held.then_some(now);
        if shard.in_flight > 0 || shard.awaiting_record {
            return Some(shard.in_flight);
        }
        shard.released = shard.released.max(held.epoch);
        shard.record_unfetched = shard.held && !shard.record.is_empty();
        self.forfeit(now, &key);
        None
    }
}

/// Whether the shard belongs to another group, or `epoch` is at or below a released epoch or below
/// the epoch held last.
fn refuses_epoch(shard: &Shard, request: &GrantRequest, epoch: Epoch) -> bool {
    shard.group != request.group || epoch <= shard.released || epoch < shard.epoch
}

/// Whether the owner before the grant was this server, since its last start. Epochs are unique per
/// shard, so an equal epoch identifies the owner.
fn continues_own_record(own: Epoch, previous: Option<&PreviousOwner>) -> bool {
    own > Epoch(0) && previous.is_some_and(|previous| previous.epoch == own)
}

fn refusal(grant: &Grant, reason: GrantRefusalReason) -> GrantRefusal {
    GrantRefusal {
        service: grant.service.clone(),
        shard: grant.shard,
        epoch: grant.epoch,
        reason,
    }
}

fn grant_key(grant: &Grant) -> ShardKey {
    ShardKey {
        service: grant.service.clone(),
        shard: grant.shard,
    }
}

fn shard_key(held: &HeldShard) -> ShardKey {
    ShardKey {
        service: held.service.clone(),
        shard: held.shard,
    }
}
