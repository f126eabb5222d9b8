//! The holder: leases by control group, and shards with their request records.
//!
//! Invariant: `held` and `checksum` of a group's lease always agree with the shards marked as held.

use std::collections::BTreeMap;
use std::time::Duration;

use grebepin_schema::{
    Epoch, GroupId, HeartbeatAnswer, HeartbeatRequest, HeldShard, HoldingsAnswer, Nonce, Session,
    ShardKey,
};

use crate::config::MAX_GROUPS;
use crate::lease::GroupLease;
use crate::record::{Counts, Record};
use crate::HolderConfig;

/// Most changes kept for [`Holder::take_changes`]; further ones are dropped.
const MAX_CHANGES: usize = 1 << 20;

/// State of one shard that the server holds or has held since its start.
#[derive(Debug)]
pub(crate) struct Shard {
    pub(crate) group: GroupId,
    /// Epoch at which the shard is held or was held last; 0 if never.
    pub(crate) epoch: Epoch,
    pub(crate) held: bool,
    /// Time of the last release request. No new requests are accepted for the release timeout
    /// after it.
    pub(crate) release_requested_at: Option<Duration>,
    /// Highest released epoch; grants up to it are refused.
    pub(crate) released: Epoch,
    /// Requests begun and not finished, over all epochs.
    pub(crate) in_flight: u32,
    /// The record of the previous owner is being fetched.
    pub(crate) awaiting_record: bool,
    /// Last earlier epoch held by this server, if the record was complete at its end.
    pub(crate) complete_through: Option<Epoch>,
    /// Released with a record that the next owner has not fetched yet.
    pub(crate) record_unfetched: bool,
    /// Hash of the held shard and its epoch, added to the checksum of the group.
    pub(crate) hash: u64,
    pub(crate) record: Record,
}

impl Shard {
    pub(crate) fn new(group: GroupId) -> Self {
        Self {
            group,
            epoch: Epoch(0),
            held: false,
            release_requested_at: None,
            released: Epoch(0),
            in_flight: 0,
            awaiting_record: false,
            complete_through: None,
            record_unfetched: false,
            hash: 0,
            record: Record::default(),
        }
    }

    /// Whether the shard is held at `epoch`, or was held last at it, with an incomplete record. The
    /// record of a shard that has moved away is completed too, for its next owner.
    pub(crate) fn needs_record(&self, now: Duration, epoch: Epoch) -> bool {
        self.epoch == epoch && !self.record.is_complete(now)
    }

    /// Returns whether no request of `epoch` runs or can still run on this server, and whether the
    /// record is complete up to that epoch.
    pub(crate) fn epoch_ended(&self, now: Duration, epoch: Epoch) -> (bool, bool) {
        if self.epoch == epoch {
            let settled = !self.held && self.in_flight == 0;
            return (settled, settled && self.record.is_complete(now));
        }
        let earlier = self.complete_through == Some(epoch) && !self.record.overflowed(now);
        (earlier, earlier)
    }
}

/// Kind of a change in the set of held shards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldingChangeKind {
    /// The server began to hold the shard.
    Acquired,
    /// The server stopped holding the shard, by a release or since the lease expired.
    Forfeited,
}

/// A shard acquired or forfeited by the server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HoldingChange {
    /// When it took effect. For an expired lease this is the end of the lease, which can be earlier
    /// than the call that detected the expiry.
    pub at: Duration,
    /// Whether the shard was acquired or forfeited.
    pub kind: HoldingChangeKind,
    /// Shard, and the epoch at which it is or was held.
    pub shard: HeldShard,
}

/// Leases, held shards and request records of one server.
#[derive(Debug)]
pub struct Holder {
    pub(crate) config: HolderConfig,
    pub(crate) groups: BTreeMap<GroupId, GroupLease>,
    pub(crate) shards: BTreeMap<ShardKey, Shard>,
    pub(crate) draining_since: Option<Duration>,
    pub(crate) in_flight: u32,
    pub(crate) next_token: u64,
    /// Finished requests in all records.
    recorded: Counts,
    last_nonce: u64,
    changes: Vec<HoldingChange>,
}

impl Holder {
    /// The state of a server that has just started and holds no shards.
    pub fn new(config: HolderConfig) -> Self {
        Self {
            last_nonce: config.boot,
            config,
            groups: BTreeMap::new(),
            shards: BTreeMap::new(),
            draining_since: None,
            in_flight: 0,
            next_token: 0,
            recorded: Counts::default(),
            changes: Vec::new(),
        }
    }

    /// Number chosen at random for this start of the server.
    pub fn boot(&self) -> u64 {
        self.config.boot
    }

    /// Requests begun and not finished, over all shards.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Number of shards held over all groups. Shards under an expired lease count until the next
    /// [`tick`](Self::tick) or other call that checks for expiry.
    pub fn held_shards(&self) -> u32 {
        self.groups.values().map(|lease| lease.held).sum()
    }

    /// Number of released shards whose record the next owner has not fetched yet. During a planned
    /// shutdown a server waits for a bounded time until there are none.
    pub fn unfetched_records(&self) -> usize {
        let shards = self.shards.values();
        shards.filter(|shard| shard.record_unfetched).count()
    }

    /// Whether the server is draining, as set by [`drain`](Self::drain).
    pub fn is_draining(&self) -> bool {
        self.draining_since.is_some()
    }

    /// Starts or ends draining. A draining server refuses grants of further shards, and refuses new
    /// requests after [`HolderConfig::drain_grace`].
    pub fn drain(&mut self, now: Duration, draining: bool) {
        self.draining_since = match draining {
            true => self.draining_since.or(Some(now)),
            false => None,
        };
    }

    /// Expires leases and old records. The calls that depend on a lease check its expiry
    /// themselves; this call is needed only to detect it early and to bound memory.
    pub fn tick(&mut self, now: Duration) {
        self.expire_leases(now);
        for shard in self.shards.values_mut() {
            shard.record.expire(now, &self.config);
        }
        let records = self.shards.values().map(|shard| shard.record.counts());
        self.recorded = records.fold(Counts::default(), Counts::plus);
    }

    /// Time at which the first lease expires; `None` without a lease.
    pub fn next_wake(&self) -> Option<Duration> {
        self.groups
            .values()
            .filter_map(GroupLease::expires_at)
            .min()
    }

    /// Answers a heartbeat and applies the lease renewal in it. A heartbeat with an old term, or for
    /// a group above [`MAX_GROUPS`], gets the nonce 0 and renews nothing.
    pub fn heartbeat(&mut self, now: Duration, request: &HeartbeatRequest) -> HeartbeatAnswer {
        self.expire_leases(now);
        let guards = self.config.guards;
        let mut renewed = false;
        let mut nonce = Nonce(0);
        if self.accept_term(request.group, request.term) {
            nonce = self.new_nonce();
            if let Some(lease) = self.groups.get_mut(&request.group) {
                renewed = request
                    .lease
                    .as_ref()
                    .is_some_and(|renewal| lease.renew(now, renewal, guards));
                lease.remember_nonce(nonce, now);
            }
        }
        self.heartbeat_answer(now, request.group, nonce, renewed)
    }

    /// Lists the shards that the server holds for `group`.
    pub fn holdings(&mut self, now: Duration, group: GroupId) -> HoldingsAnswer {
        self.expire_leases(now);
        let held = self
            .shards
            .iter()
            .filter(|(_, shard)| shard.held && shard.group == group);
        HoldingsAnswer {
            session: self.session(group),
            shards: held
                .map(|(key, shard)| held_shard(key, shard.epoch))
                .collect(),
        }
    }

    /// Changes of the held shards since the last call, in the order in which they were detected.
    /// Empty unless [`HolderConfig::report_changes`] is set.
    pub fn take_changes(&mut self) -> Vec<HoldingChange> {
        std::mem::take(&mut self.changes)
    }

    /// The group's current session, which ends when its lease expires.
    pub fn session(&self, group: GroupId) -> Session {
        let lease = self.groups.get(&group);
        lease.map_or(Session(self.config.boot), GroupLease::session)
    }

    /// Whether the group's lease is valid at `now`.
    pub fn has_lease(&self, now: Duration, group: GroupId) -> bool {
        self.lease_remaining(now, group) > Duration::ZERO
    }

    pub(crate) fn lease_remaining(&self, now: Duration, group: GroupId) -> Duration {
        let lease = self.groups.get(&group);
        lease.map_or(Duration::ZERO, |lease| lease.remaining(now))
    }

    /// Stores the group's term; `false` for an old term, or for a group above the bound.
    pub(crate) fn accept_term(&mut self, group: GroupId, term: grebepin_schema::Term) -> bool {
        let first_session = Session(self.config.boot);
        if !self.groups.contains_key(&group) && self.groups.len() >= MAX_GROUPS {
            return false;
        }
        let lease = self.groups.entry(group);
        lease
            .or_insert_with(|| GroupLease::new(first_session))
            .accept_term(term)
    }

    /// Changes a shard's record, then evicts from it until the bound on all records is met.
    pub(crate) fn change_record<T>(
        &mut self,
        now: Duration,
        key: &ShardKey,
        change: impl FnOnce(&mut Shard, &HolderConfig) -> T,
    ) -> Option<T> {
        let shard = self.shards.get_mut(key)?;
        let others = self.recorded.minus(shard.record.counts());
        let result = change(shard, &self.config);
        let bound = Counts {
            non_repeatable: self.config.entries,
            repeatable: self.config.repeatable_entries,
        };
        shard
            .record
            .shrink_to(now, bound.minus(others), &self.config);
        self.recorded = others.plus(shard.record.counts());
        Some(result)
    }

    /// Forfeits every shard whose lease has expired.
    pub(crate) fn expire_leases(&mut self, now: Duration) {
        let expired: Vec<_> = self
            .groups
            .iter_mut()
            .filter_map(|(group, lease)| Some((*group, lease.expire(now)?)))
            .collect();
        for (group, at) in expired {
            self.forfeit_group(group, at);
        }
    }

    /// Marks a shard as held at `epoch`.
    pub(crate) fn acquire(&mut self, now: Duration, key: &ShardKey, epoch: Epoch) {
        self.forfeit(now, key);
        let Some(shard) = self.shards.get_mut(key) else {
            return;
        };
        shard.epoch = epoch;
        shard.held = true;
        shard.release_requested_at = None;
        shard.record_unfetched = false;
        shard.hash = grebepin_schema::hashing::shard_hash(&key.service, key.shard, epoch);
        if let Some(lease) = self.groups.get_mut(&shard.group) {
            lease.held += 1;
            lease.checksum = lease.checksum.wrapping_add(shard.hash);
        }
        self.report(now, HoldingChangeKind::Acquired, held_shard(key, epoch));
    }

    /// Marks a shard as no longer held; has no effect on a shard that isn't held.
    pub(crate) fn forfeit(&mut self, at: Duration, key: &ShardKey) {
        let Some(shard) = self.shards.get_mut(key).filter(|shard| shard.held) else {
            return;
        };
        shard.held = false;
        shard.release_requested_at = None;
        shard.awaiting_record = false;
        let forfeited = held_shard(key, shard.epoch);
        if let Some(lease) = self.groups.get_mut(&shard.group) {
            lease.held -= 1;
            lease.checksum = lease.checksum.wrapping_sub(shard.hash);
        }
        self.report(at, HoldingChangeKind::Forfeited, forfeited);
    }

    fn forfeit_group(&mut self, group: GroupId, at: Duration) {
        let held = self
            .shards
            .iter()
            .filter(|(_, shard)| shard.held && shard.group == group);
        let keys: Vec<ShardKey> = held.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.forfeit(at, &key);
        }
    }

    fn new_nonce(&mut self) -> Nonce {
        self.last_nonce = self.last_nonce.wrapping_add(1);
        Nonce(self.last_nonce)
    }

    fn heartbeat_answer(
        &self,
        now: Duration,
        group: GroupId,
        nonce: Nonce,
        renewed: bool,
    ) -> HeartbeatAnswer {
        let lease = self.groups.get(&group);
        HeartbeatAnswer {
            boot: self.config.boot,
            session: self.session(group),
            nonce,
            renewed,
            lease_remaining_ms: self.lease_remaining(now, group).as_millis() as u64,
            held: lease.map_or(0, |lease| lease.held),
            held_checksum: lease.map_or(0, |lease| lease.checksum),
            draining: self.is_draining(),
            in_flight: self.in_flight,
        }
    }

    fn report(&mut self, at: Duration, kind: HoldingChangeKind, shard: HeldShard) {
        if self.config.report_changes && self.changes.len() < MAX_CHANGES {
            self.changes.push(HoldingChange { at, kind, shard });
        }
    }
}

pub(crate) fn held_shard(key: &ShardKey, epoch: Epoch) -> HeldShard {
    HeldShard {
        service: key.service.clone(),
        shard: key.shard,
        epoch,
    }
}
