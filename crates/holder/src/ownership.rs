//! Grants, releases and the hand-over of records.
//!
//! Invariants: a grant takes effect only in the session it was made for and above every released
//! epoch; a shard is released only when none of its requests runs.

use std::time::Duration;

use grebepin_schema::{
    BusyShard, Epoch, Grant, GrantAnswer, GrantRefusal, GrantRefusalReason, GrantRequest,
    HandoverAnswer, HeldShard, PreviousOwner, ReleaseAnswer, ReleaseRequest, ShardKey,
};

use crate::guards::Guard;
use crate::holder::{held_shard, Holder, Shard};

/// A record that the driver fetches from a shard's previous owner, with
/// `GET /grebepin/v1/handover`, and hands to [`Holder::complete_handover`].
///
/// When the previous owner released the shard, requests wait for it, so that it is fetched at once.
/// Otherwise the previous owner was lost; it may come back with its record, so that the driver asks
/// now and then, as long as [`Holder::wants_record`] says so.
#[derive(Clone, Debug, PartialEq)]
pub struct HandoverFetch {
    /// Shard and the epoch it was granted at.
    pub shard: HeldShard,
    /// Whom to ask, and the epoch to ask for.
    pub previous: PreviousOwner,
}

/// Answer to a grant, and what is to be fetched because of it.
#[derive(Clone, Debug)]
pub struct GrantOutcome {
    /// Goes back to the control leader.
    pub answer: GrantAnswer,
    /// Fetched in the background. Until then new requests that may not be repeated are refused.
    pub fetch: Vec<HandoverFetch>,
}

impl Holder {
    /// Takes shards that the control group has committed to this server.
    pub fn grant(&mut self, now: Duration, request: &GrantRequest) -> GrantOutcome {
        self.lapse(now);
        let current_term = self.accept_term(request.group, request.term);
        let mut accepted = Vec::new();
        let mut refused = Vec::new();
        let mut fetch = Vec::new();
        for grant in &request.grants {
            match self.check_grant(now, request, grant, current_term) {
                Ok(()) => {
                    fetch.extend(self.take_shard(now, request, grant));
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

    /// Stops new requests for the shards and lets go of those where none runs. Asked again until
    /// every shard is released.
    pub fn release(&mut self, now: Duration, request: &ReleaseRequest) -> ReleaseAnswer {
        self.lapse(now);
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

    /// The record of a shard that this server held at `epoch` and released, or lost with its lease;
    /// for the next owner. Once handed over, the shard is not taken again at that epoch.
    pub fn handover(&mut self, now: Duration, key: &ShardKey, epoch: Epoch) -> HandoverAnswer {
        self.lapse(now);
        let Some(shard) = self.shards.get_mut(key) else {
            return HandoverAnswer {
                complete: false,
                entries: Vec::new(),
            };
        };
        shard.record.expire(now, &self.config);
        let (settled, complete) = shard.ended(now, epoch);
        if settled {
            // The next owner asks, so that this epoch is over for good.
            shard.released = shard.released.max(epoch);
            shard.record_unfetched &= shard.epoch != epoch;
        }
        HandoverAnswer {
            complete,
            entries: shard.record.handover_entries(),
        }
    }

    /// Whether the record of a shard held at this epoch, now or last, is still to be fetched.
    pub fn wants_record(&self, now: Duration, shard: &HeldShard) -> bool {
        let known = self.shards.get(&shard_key(shard));
        known.is_some_and(|known| known.lacks_record(now, shard.epoch))
    }

    /// Takes in the record fetched for a grant; `None` when it could not be had. An answer for
    /// another epoch than the one held now or last is ignored.
    pub fn complete_handover(
        &mut self,
        now: Duration,
        shard: &HeldShard,
        answer: Option<&HandoverAnswer>,
    ) {
        self.lapse(now);
        let key = shard_key(shard);
        let epoch = shard.epoch;
        self.change_record(now, &key, |known, config| {
            if !known.lacks_record(now, epoch) {
                return;
            }
            known.awaiting_record = false;
            if let Some(answer) = answer {
                known.record.take_over(now, answer, config);
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
        let check_session = self.config.guards.has(Guard::Session);
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

    fn take_shard(
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
        let whole_now = shard.record.is_whole(now);
        if shard.epoch != grant.epoch {
            let settled = whole_now && shard.in_flight == 0;
            shard.whole_through = settled.then_some(shard.epoch);
        }
        match &grant.previous {
            _ if continues && whole_now => {}
            None if shard.epoch == Epoch(0) => shard.record.set_whole(now),
            _ if continues => {}
            _ => shard.record.set_incomplete(now, &self.config),
        }
        let incomplete = !shard.record.is_whole(now);
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

    /// Requests still running when the shard can't be let go of yet.
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
        shard.release_asked = shard.held.then_some(now);
        if shard.in_flight > 0 || shard.awaiting_record {
            return Some(shard.in_flight);
        }
        shard.released = shard.released.max(held.epoch);
        shard.record_unfetched = shard.held && !shard.record.is_empty();
        self.forfeit(now, &key);
        None
    }
}

/// Whether `epoch` lies at or below a released one, or below the one held last.
fn refuses_epoch(shard: &Shard, request: &GrantRequest, epoch: Epoch) -> bool {
    shard.group != request.group || epoch <= shard.released || epoch < shard.epoch
}

/// Whether the owner before the grant was this very server, since its last start.
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
