//! The holder: leases by control group, shards with their records, and what a driver asks of them.
//!
//! Invariant: `held` and `checksum` of a group's lease always agree with the shards marked as held.

use std::collections::BTreeMap;
use std::time::Duration;

use grebepin_schema::{
    Epoch, GroupId, HeartbeatAnswer, HeartbeatRequest, HeldShard, HoldingsAnswer, Nonce, Session,
    ShardKey,
};

use crate::config::MAXIMUM_GROUPS;
use crate::lease::GroupLease;
use crate::record::{Counts, Record};
use crate::HolderConfig;

/// Most changes kept for [`Holder::take_changes`]; older ones go first.
const MAXIMUM_CHANGES: usize = 1 << 20;

/// What the server keeps of one shard that it holds or held since its start.
#[derive(Debug)]
pub(crate) struct Shard {
    pub(crate) group: GroupId,
    /// Epoch held now or last.
    pub(crate) epoch: Epoch,
    pub(crate) held: bool,
    /// When its release was last asked; it takes no new requests for a while from then on.
    pub(crate) release_asked: Option<Duration>,
    /// Highest epoch released; grants up to it are refused.
    pub(crate) released: Epoch,
    /// Requests begun and not finished, at any epoch.
    pub(crate) in_flight: u32,
    /// The record of the previous owner is being fetched.
    pub(crate) awaiting_record: bool,
    /// An earlier epoch held here, up to which the record is whole.
    pub(crate) whole_through: Option<Epoch>,
    /// Released with a record that no next owner has fetched yet.
    pub(crate) record_unfetched: bool,
    /// Hash of the held shard, for the checksum.
    pub(crate) hash: u64,
    pub(crate) record: Record,
}

impl Shard {
    pub(crate) fn new(group: GroupId) -> Self {
        Self {
            group,
            epoch: Epoch(0),
            held: false,
            release_asked: None,
            released: Epoch(0),
            in_flight: 0,
            awaiting_record: false,
            whole_through: None,
            record_unfetched: false,
            hash: 0,
            record: Record::default(),
        }
    }

    /// Whether the shard is held at `epoch`, or was last, with a record that isn't whole. Also a
    /// record of a shard that has moved on is worth to be made whole, for the next owner.
    pub(crate) fn lacks_record(&self, now: Duration, epoch: Epoch) -> bool {
        self.epoch == epoch && !self.record.is_whole(now)
    }

    /// Whether nothing of `epoch` runs or will run here, and whether the record is whole up to it.
    pub(crate) fn ended(&self, now: Duration, epoch: Epoch) -> (bool, bool) {
        if self.epoch == epoch {
            let settled = !self.held && self.in_flight == 0;
            return (settled, settled && self.record.is_whole(now));
        }
        let earlier = self.whole_through == Some(epoch) && !self.record.overflowed(now);
        (earlier, earlier)
    }
}

/// Whether a shard was acquired or forfeited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldingChangeKind {
    /// The server began to hold the shard.
    Acquired,
    /// The server stopped holding the shard, by release or lapse.
    Forfeited,
}

/// A change of what the server holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HoldingChange {
    /// When it took effect; for a lapse the end of the lease, which may lie before the call that
    /// noticed it.
    pub at: Duration,
    /// What happened.
    pub kind: HoldingChangeKind,
    /// Shard and epoch.
    pub shard: HeldShard,
}

/// What one server holds.
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
    /// A server that has just started: it holds nothing.
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

    /// Number of this start of the server.
    pub fn boot(&self) -> u64 {
        self.config.boot
    }

    /// Requests begun and not finished.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Shards held over all groups; call [`tick`](Self::tick) first to see lapsed leases.
    pub fn held_shards(&self) -> u32 {
        self.groups.values().map(|lease| lease.held).sum()
    }

    /// Released shards whose record the next owner has not fetched yet. A server that stops as
    /// planned stays until there are none, for a bounded time.
    pub fn unfetched_records(&self) -> usize {
        let shards = self.shards.values();
        shards.filter(|shard| shard.record_unfetched).count()
    }

    /// Whether the server is leaving.
    pub fn is_draining(&self) -> bool {
        self.draining_since.is_some()
    }

    /// Starts or ends the server's leaving. A leaving server is given no further shards and refuses
    /// new requests once the grace in its configuration is over.
    pub fn drain(&mut self, now: Duration, draining: bool) {
        self.draining_since = match draining {
            true => self.draining_since.or(Some(now)),
            false => None,
        };
    }

    /// Lets leases lapse and old records go. Every other call lets leases lapse by itself, so a
    /// driver calls this only to notice a lapse early and to bound memory.
    pub fn tick(&mut self, now: Duration) {
        self.lapse(now);
        for shard in self.shards.values_mut() {
            shard.record.expire(now, &self.config);
        }
        let records = self.shards.values().map(|shard| shard.record.counts());
        self.recorded = records.fold(Counts::default(), Counts::plus);
    }

    /// When the first lease ends, if there is one.
    pub fn next_wake(&self) -> Option<Duration> {
        self.groups.values().filter_map(GroupLease::until).min()
    }

    /// Answers a heartbeat, renewing the lease that it carries.
    pub fn heartbeat(&mut self, now: Duration, request: &HeartbeatRequest) -> HeartbeatAnswer {
        self.lapse(now);
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

    /// Answers what the server holds for `group`.
    pub fn holdings(&mut self, now: Duration, group: GroupId) -> HoldingsAnswer {
        self.lapse(now);
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

    /// Changes of what is held since the last call, in the order they were noticed. Empty unless
    /// the configuration asks for reports.
    pub fn take_changes(&mut self) -> Vec<HoldingChange> {
        std::mem::take(&mut self.changes)
    }

    /// The group's current session.
    pub fn session(&self, group: GroupId) -> Session {
        let lease = self.groups.get(&group);
        lease.map_or(Session(self.config.boot), GroupLease::session)
    }

    /// Whether `now` is within the group's lease.
    pub fn has_lease(&self, now: Duration, group: GroupId) -> bool {
        self.lease_remaining(now, group) > Duration::ZERO
    }

    pub(crate) fn lease_remaining(&self, now: Duration, group: GroupId) -> Duration {
        let lease = self.groups.get(&group);
        lease.map_or(Duration::ZERO, |lease| lease.remaining(now))
    }

    /// Notes the group's term; `false` for an old one, or for a group over the bound.
    pub(crate) fn accept_term(&mut self, group: GroupId, term: grebepin_schema::Term) -> bool {
        let first_session = Session(self.config.boot);
        if !self.groups.contains_key(&group) && self.groups.len() >= MAXIMUM_GROUPS {
            return false;
        }
        let lease = self.groups.entry(group);
        lease
            .or_insert_with(|| GroupLease::new(first_session))
            .accept_term(term)
    }

    /// Changes a shard's record, within the bound on all records together.
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
            kept: self.config.entries,
            repeatable: self.config.repeatable_entries,
        };
        shard
            .record
            .shrink_to(now, bound.minus(others), &self.config);
        self.recorded = others.plus(shard.record.counts());
        Some(result)
    }

    /// Drops every shard whose lease has ended.
    pub(crate) fn lapse(&mut self, now: Duration) {
        let lapsed: Vec<_> = self
            .groups
            .iter_mut()
            .filter_map(|(group, lease)| Some((*group, lease.lapse(now)?)))
            .collect();
        for (group, at) in lapsed {
            self.drop_group(group, at);
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
        shard.release_asked = None;
        shard.record_unfetched = false;
        shard.hash = grebepin_schema::hashing::shard_hash(&key.service, key.shard, epoch);
        if let Some(lease) = self.groups.get_mut(&shard.group) {
            lease.held += 1;
            lease.checksum = lease.checksum.wrapping_add(shard.hash);
        }
        self.report(now, HoldingChangeKind::Acquired, held_shard(key, epoch));
    }

    /// Marks a shard as no longer held; does nothing when it isn't.
    pub(crate) fn forfeit(&mut self, at: Duration, key: &ShardKey) {
        let Some(shard) = self.shards.get_mut(key).filter(|shard| shard.held) else {
            return;
        };
        shard.held = false;
        shard.release_asked = None;
        shard.awaiting_record = false;
        let forfeited = held_shard(key, shard.epoch);
        if let Some(lease) = self.groups.get_mut(&shard.group) {
            lease.held -= 1;
            lease.checksum = lease.checksum.wrapping_sub(shard.hash);
        }
        self.report(at, HoldingChangeKind::Forfeited, forfeited);
    }

    fn drop_group(&mut self, group: GroupId, at: Duration) {
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
        if self.config.report_changes && self.changes.len() < MAXIMUM_CHANGES {
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
