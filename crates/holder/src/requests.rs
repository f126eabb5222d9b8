//! Requests: begin, check before the effect, finish, cancel, and lookup of an outcome.
//!
//! Invariant: between [`Holder::before_effect`] and [`Holder::finish`] no cancellation is
//! answered with `not-run`, and after such an answer `before_effect` refuses.

use std::time::Duration;

use grebepin_schema::{
    CancelAnswer, CancelRequest, Epoch, GroupId, OutcomeAnswer, Refusal, RequestId, RequestState,
    Session, ShardKey,
};

use crate::guards::Guard;
use crate::headers::Request;
use crate::holder::{Holder, Shard};
use crate::record::EntryState;

/// A request that was begun. It must be passed to [`Holder::finish`] in every case, also when it was
/// not run.
#[derive(Debug)]
#[must_use = "a begun request is finished in every case"]
pub struct Permit {
    key: ShardKey,
    group: GroupId,
    epoch: Epoch,
    session: Session,
    request_id: RequestId,
    repeatable: bool,
    token: u64,
}

impl Permit {
    /// Unique among the permits since the start of the server.
    pub fn token(&self) -> u64 {
        self.token
    }
}

/// How to proceed with a request.
#[derive(Debug)]
pub enum Begun {
    /// Run the request with this permit.
    Run(Permit),
    /// An earlier attempt ran. The request must not run again; the answer states that it ran.
    RanEarlier,
}

/// Whether a request's effect took place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The effect took place.
    Made,
    /// The effect did not take place and never will.
    NotMade,
}

impl Holder {
    /// Begins a request.
    ///
    /// # Errors
    /// The reason why this attempt is not run. For a resend it doesn't tell whether an earlier
    /// attempt ran, except for [`Refusal::Cancelled`].
    pub fn begin(&mut self, now: Duration, request: &Request) -> Result<Begun, Refusal> {
        self.expire_leases(now);
        if request.deadline_left < self.config.minimum_deadline {
            return Err(Refusal::Deadline);
        }
        let key = ShardKey {
            service: request.service.clone(),
            shard: request.shard,
        };
        let shard = self.shards.get(&key).ok_or(Refusal::WrongEpoch)?;
        if self.config.guards.is_enabled(Guard::EpochCheck) {
            self.check_held(now, shard, request.epoch)?;
        }
        if self.is_releasing(now, shard) {
            return Err(Refusal::Releasing);
        }
        if self.ran_earlier(now, shard, request)? {
            return Ok(Begun::RanEarlier);
        }
        if self.is_drain_grace_over(now) {
            return Err(Refusal::Draining);
        }
        Ok(Begun::Run(self.admit(now, key, request)))
    }

    /// Checks again whether the effect is allowed. Call it immediately before the effect, without
    /// blocking in between.
    ///
    /// # Errors
    /// The effect must not take place. The caller finishes the permit with [`Effect::NotMade`] and
    /// answers with the refusal.
    pub fn before_effect(&mut self, now: Duration, permit: &Permit) -> Result<(), Refusal> {
        self.expire_leases(now);
        let shard = self.shards.get(&permit.key).ok_or(Refusal::WrongEpoch)?;
        if self.config.guards.is_enabled(Guard::EpochCheck) {
            self.check_held(now, shard, permit.epoch)?;
            let remaining = self.lease_remaining(now, permit.group);
            let ended = self.session(permit.group) != permit.session;
            if ended || remaining < self.config.effect_margin {
                return Err(Refusal::NoLease);
            }
        }
        let admitted = EntryState::Admitted(permit.token);
        if shard.record.state(&permit.request_id) != Some(admitted) {
            return Err(Refusal::Cancelled);
        }
        if let Some(shard) = self.shards.get_mut(&permit.key) {
            let committing = EntryState::Committing(permit.token);
            shard
                .record
                .put_running(&permit.request_id, committing, permit.repeatable);
        }
        Ok(())
    }

    /// Ends a request that was begun and records whether its effect took place.
    pub fn finish(&mut self, now: Duration, permit: Permit, effect: Effect) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.change_record(now, &permit.key, |shard, config| {
            shard.in_flight = shard.in_flight.saturating_sub(1);
            let id = &permit.request_id;
            let record = &mut shard.record;
            let own = match record.state(id) {
                Some(EntryState::Admitted(token) | EntryState::Committing(token)) => {
                    token == permit.token
                }
                _ => false,
            };
            match effect {
                Effect::Made => {
                    record.put_finished(now, id, EntryState::Ran, permit.repeatable, config);
                }
                Effect::NotMade if own => record.remove(id),
                Effect::NotMade => {}
            }
        });
    }

    /// Cancels a request. `attempt` is the number of the attempt that the cancelling router sent, 1
    /// for the caller's first; `None` if unknown. The answer is `not-run` only if no attempt up to
    /// that one can have run.
    pub fn cancel(
        &mut self,
        now: Duration,
        request: &CancelRequest,
        attempt: Option<u32>,
    ) -> CancelAnswer {
        self.expire_leases(now);
        let key = ShardKey {
            service: request.service.clone(),
            shard: request.shard,
        };
        let unknown = CancelAnswer {
            state: RequestState::Unknown,
            epoch: self.held_epoch(&key),
        };
        let Some(shard) = self.shards.get(&key) else {
            return unknown;
        };
        let state = shard.record.state(&request.request_id);
        let owns = self.check_held(now, shard, request.epoch).is_ok();
        let state = match state {
            Some(EntryState::Ran | EntryState::Committing(_)) => state,
            _ if !owns => return unknown,
            Some(EntryState::Tombstone { proven: true }) => state,
            _ => Some(self.insert_tombstone(now, &key, request, attempt)),
        };
        CancelAnswer {
            state: state.map_or(RequestState::Unknown, EntryState::request_state),
            ..unknown
        }
    }

    /// State of a request according to the record; [`RequestState::Unseen`] only if the shard is held
    /// and its record is complete.
    pub fn outcome(&mut self, now: Duration, key: &ShardKey, id: &RequestId) -> OutcomeAnswer {
        self.expire_leases(now);
        let epoch = self.held_epoch(key);
        let state = self.shards.get(key).map_or(RequestState::Unknown, |shard| {
            match shard.record.state(id) {
                Some(EntryState::Ran) => RequestState::Ran,
                Some(state) if shard.held => state.request_state(),
                None if shard.held && shard.record.is_complete(now) => RequestState::Unseen,
                _ => RequestState::Unknown,
            }
        });
        OutcomeAnswer { state, epoch }
    }

    /// Epoch at which the shard is held; 0 if it isn't held.
    pub fn held_epoch(&self, key: &ShardKey) -> Epoch {
        let held = self.shards.get(key).filter(|shard| shard.held);
        held.map_or(Epoch(0), |shard| shard.epoch)
    }

    /// Checks that `shard` is held at `epoch` under a valid lease.
    fn check_held(&self, now: Duration, shard: &Shard, epoch: Epoch) -> Result<(), Refusal> {
        if shard.epoch != epoch {
            return Err(Refusal::WrongEpoch);
        }
        if !self.has_lease(now, shard.group) {
            return Err(Refusal::NoLease);
        }
        match shard.held {
            true => Ok(()),
            false => Err(Refusal::WrongEpoch),
        }
    }

    /// Whether an earlier attempt ran according to the record; an error if the record forbids this
    /// attempt.
    fn ran_earlier(
        &self,
        now: Duration,
        shard: &Shard,
        request: &Request,
    ) -> Result<bool, Refusal> {
        let resend = request.attempt > 1 && !request.repeatable;
        match shard.record.state(&request.request_id) {
            Some(EntryState::Admitted(_) | EntryState::Committing(_)) => {
                Err(Refusal::AlreadyRunning)
            }
            Some(EntryState::Tombstone { proven: false }) if !request.repeatable => {
                Err(Refusal::RecordIncomplete)
            }
            Some(EntryState::Tombstone { .. }) => Err(Refusal::Cancelled),
            Some(EntryState::Ran) => Ok(!request.repeatable),
            None if request.repeatable || !self.config.guards.is_enabled(Guard::ResendRule) => {
                Ok(false)
            }
            None if shard.awaiting_record => Err(Refusal::Releasing),
            None if resend && !shard.record.is_complete(now) => Err(Refusal::RecordIncomplete),
            None => Ok(false),
        }
    }

    fn is_releasing(&self, now: Duration, shard: &Shard) -> bool {
        let timeout = self.config.release_timeout;
        shard
            .release_requested_at
            .is_some_and(|requested_at| now.saturating_sub(requested_at) < timeout)
    }

    fn is_drain_grace_over(&self, now: Duration) -> bool {
        let grace = self.config.drain_grace;
        self.draining_since
            .is_some_and(|since| now.saturating_sub(since) >= grace)
    }

    fn admit(&mut self, now: Duration, key: ShardKey, request: &Request) -> Permit {
        self.next_token += 1;
        self.in_flight += 1;
        let token = self.next_token;
        let group = self.change_record(now, &key, |shard, _| {
            shard.in_flight += 1;
            let admitted = EntryState::Admitted(token);
            let record = &mut shard.record;
            record.put_running(&request.request_id, admitted, request.repeatable);
            shard.group
        });
        let group = group.unwrap_or_default();
        Permit {
            session: self.session(group),
            key,
            group,
            epoch: request.epoch,
            request_id: request.request_id.clone(),
            repeatable: request.repeatable,
            token,
        }
    }

    /// Stores a tombstone for a request whose effect was not allowed yet.
    fn insert_tombstone(
        &mut self,
        now: Duration,
        key: &ShardKey,
        request: &CancelRequest,
        attempt: Option<u32>,
    ) -> EntryState {
        let inserted = self.change_record(now, key, |shard, config| {
            let id = &request.request_id;
            let record = &mut shard.record;
            let begun_here = matches!(record.state(id), Some(EntryState::Admitted(_)));
            let first_attempt = attempt == Some(1);
            let proven = first_attempt || begun_here || record.is_complete(now);
            let tombstone = EntryState::Tombstone { proven };
            if config.guards.is_enabled(Guard::Tombstone) {
                let repeatable = record.is_repeatable(id);
                record.put_finished(now, id, tombstone, repeatable, config);
            }
            tombstone
        });
        inserted.unwrap_or(EntryState::Tombstone { proven: false })
    }
}
