//! State that the leader keeps of one server: its boot number, session, nonce and the bound of its lease.
//!
//! Invariant: any lease that the server may hold, from any leader and for any of its starts, ends before
//! [`ServerLink::fenced_until`].

use std::collections::BTreeSet;
use std::time::Duration;

use grebepin_schema::{
    HeartbeatAnswer, HeartbeatRequest, LeaseRenewal, MachineState, Nonce, ServerName, ServiceName,
    Session, ShardId, SocketAddress, Term,
};

use super::types::CoordinatorConfig;
use crate::state::ServerEntry;

/// Consecutive heartbeats without an answer after which a server counts as unresponsive.
pub(super) const FAILURES_UNTIL_UNRESPONSIVE: u32 = 3;

/// Lease durations without a successful renewal, in spite of answers, after which renewals stop.
const LEASES_UNTIL_RENEWALS_STOP: u32 = 3;

/// Heartbeats to a server without a lease are sent at the usual interval divided by this.
const HEARTBEAT_SPACING_DIVISOR: u32 = 10;

/// A nonce issued by the server, for the next renewal.
#[derive(Clone, Copy, Debug)]
struct KnownNonce {
    nonce: Nonce,
    session: Session,
    /// When it was first sent in a renewal. Sending it again doesn't extend the lease.
    first_sent: Option<Duration>,
}

/// State of one server, as known to the leader.
#[derive(Debug)]
pub(super) struct ServerLink {
    pub name: ServerName,
    pub service: ServiceName,
    pub address: SocketAddress,
    pub next_heartbeat: Duration,
    /// When the heartbeat in flight was sent, and whether it contains a renewal.
    in_flight: Option<(Duration, bool)>,
    pub failures: u32,
    pub last_answered_at: Option<Duration>,
    last_renewed: Duration,
    pub boot: Option<u64>,
    pub session: Option<Session>,
    nonce: Option<KnownNonce>,
    /// End of any lease of the current process.
    bound: Duration,
    /// End of any lease of earlier processes, or at earlier addresses.
    earlier_bound: Duration,
    pub leased: bool,
    lease_remaining: Duration,
    pub reports_draining: bool,
    pub held: u32,
    /// Shards assigned to the server and not yet known to be held.
    pub to_grant: BTreeSet<ShardId>,
    /// Shards owned and certainly not held, since the server released them at their epoch.
    pub unheld: BTreeSet<ShardId>,
    /// Shards whose release has to be requested.
    pub releasing: BTreeSet<ShardId>,
    /// Shards released by the process that answered at the address. It is the owner only if the next
    /// heartbeat answer contains the registered boot number.
    pub unconfirmed: BTreeSet<ShardId>,
    unconfirmed_since: Duration,
    pub next_release: Duration,
    pub grant_in_flight: bool,
    /// A grant was refused or failed; the next one is sent only after a heartbeat answer.
    pub grant_on_hold: bool,
    pub release_in_flight: bool,
    pub holdings_in_flight: bool,
    pub drain_in_flight: bool,
    /// A change of its standing or boot number is proposed.
    pub proposed: bool,
    /// Last time at which the set of shards that it should hold changed.
    pub changed_at: Duration,
    pub machine: Option<MachineState>,
    /// Until this time the server counts as unreachable for routers.
    pub unreachable_until: Duration,
}

impl ServerLink {
    pub fn new(entry: &ServerEntry, now: Duration, unknown_bound: Duration) -> Self {
        Self {
            name: entry.server.name.clone(),
            service: entry.service.clone(),
            address: entry.server.address.clone(),
            next_heartbeat: now,
            in_flight: None,
            failures: 0,
            last_answered_at: None,
            last_renewed: now,
            boot: None,
            session: None,
            nonce: None,
            bound: unknown_bound,
            earlier_bound: Duration::ZERO,
            leased: false,
            lease_remaining: Duration::ZERO,
            reports_draining: false,
            held: 0,
            to_grant: BTreeSet::new(),
            unheld: BTreeSet::new(),
            releasing: BTreeSet::new(),
            unconfirmed: BTreeSet::new(),
            unconfirmed_since: now,
            next_release: now,
            grant_in_flight: false,
            grant_on_hold: false,
            release_in_flight: false,
            holdings_in_flight: false,
            drain_in_flight: false,
            proposed: false,
            changed_at: now,
            machine: None,
            unreachable_until: Duration::ZERO,
        }
    }

    /// Resets the state for the process at a new address; the former process may run until its lease ends.
    pub fn change_address(&mut self, address: SocketAddress, now: Duration) {
        self.earlier_bound = self.fenced_until();
        self.address = address;
        self.in_flight = None;
        self.next_heartbeat = now;
        self.clear_boot();
    }

    /// End of any lease that the server may hold.
    pub fn fenced_until(&self) -> Duration {
        self.bound.max(self.earlier_bound)
    }

    /// Whether any lease of an earlier process has ended.
    pub fn earlier_leases_ended(&self, now: Duration) -> bool {
        now >= self.earlier_bound
    }

    pub fn heartbeat_in_flight(&self) -> bool {
        self.in_flight.is_some()
    }

    /// Whether the server doesn't answer heartbeats, or its renewals stopped.
    pub fn is_unresponsive(&self, now: Duration, lease: Duration) -> bool {
        self.failures >= FAILURES_UNTIL_UNRESPONSIVE || self.renewals_stopped(now, lease)
    }

    /// Whether renewals are no longer sent, since none succeeded for several lease durations. The lease then
    /// expires.
    fn renewals_stopped(&self, now: Duration, lease: Duration) -> bool {
        now > self.last_renewed + lease * LEASES_UNTIL_RENEWALS_STOP
    }

    /// Builds the next heartbeat. It contains a renewal if a nonce is known and `may_renew` is true.
    pub fn heartbeat(
        &mut self,
        now: Duration,
        config: &CoordinatorConfig,
        term: Term,
        may_renew: bool,
    ) -> HeartbeatRequest {
        let may_renew = may_renew && !self.renewals_stopped(now, config.lease);
        let lease = may_renew.then(|| self.renewal(now, config)).flatten();
        self.in_flight = Some((now, lease.is_some()));
        self.next_heartbeat = now + config.heartbeat;
        HeartbeatRequest {
            group: config.group,
            term,
            server: self.name.clone(),
            lease,
        }
    }

    fn renewal(&mut self, now: Duration, config: &CoordinatorConfig) -> Option<LeaseRenewal> {
        let known = self.nonce.as_mut()?;
        let first_sent = *known.first_sent.get_or_insert(now);
        self.bound = self
            .bound
            .max(first_sent + with_drift(config.lease, config));
        Some(LeaseRenewal {
            session: known.session,
            nonce: known.nonce,
            duration_ms: config.lease.as_millis() as u64,
        })
    }

    /// Handles an answer; `false` if it belongs to no heartbeat in flight.
    ///
    /// `registered` is the boot number in the replicated state. Another one in the answer means that the
    /// former process may run until its lease ends.
    pub fn answered(
        &mut self,
        now: Duration,
        config: &CoordinatorConfig,
        registered: Option<u64>,
        sent_at: Duration,
        answer: &HeartbeatAnswer,
    ) -> bool {
        let Some((_, carried_renewal)) = self.in_flight.take_if(|sent| sent.0 == sent_at) else {
            return false;
        };
        if self
            .boot
            .or(registered)
            .is_some_and(|boot| boot != answer.boot)
        {
            self.earlier_bound = self.fenced_until();
            self.clear_boot();
        }
        let same_session = self.session == Some(answer.session);
        self.failures = 0;
        self.last_answered_at = Some(now);
        if answer.renewed {
            self.last_renewed = now;
        }
        self.boot = Some(answer.boot);
        self.session = Some(answer.session);
        self.nonce = Some(KnownNonce {
            nonce: answer.nonce,
            session: answer.session,
            first_sent: None,
        });
        self.lease_remaining = Duration::from_millis(answer.lease_remaining_ms);
        self.leased = answer.lease_remaining_ms > 0;
        self.reports_draining = answer.draining;
        self.held = answer.held;
        self.grant_on_hold = false;
        if self.renewals_stopped(now, config.lease) && now >= self.fenced_until() + config.heartbeat
        {
            self.last_renewed = now;
        }
        if !self.unconfirmed.is_empty() && sent_at < self.unconfirmed_since {
            self.next_heartbeat = now;
        }
        let was_refused = carried_renewal && same_session;
        if !self.leased && !was_refused {
            self.next_heartbeat = now.max(sent_at + config.heartbeat / HEARTBEAT_SPACING_DIVISOR);
        }
        true
    }

    pub fn failed(&mut self, now: Duration, config: &CoordinatorConfig) {
        let Some((sent_at, _)) = self.in_flight.take() else {
            return;
        };
        self.failures += 1;
        self.next_heartbeat = now.max(sent_at + config.heartbeat / 2);
    }

    /// Remaining lease time at `now`, according to the server's last answer.
    pub fn lease_remaining(&self, now: Duration) -> Duration {
        let answered_at = self.last_answered_at.unwrap_or(now);
        self.lease_remaining
            .saturating_sub(now.saturating_sub(answered_at))
    }

    /// Discards all state of a shard that the server no longer owns.
    pub fn remove_shard(&mut self, shard: ShardId) {
        self.to_grant.remove(&shard);
        self.unheld.remove(&shard);
        self.releasing.remove(&shard);
        self.unconfirmed.remove(&shard);
    }

    /// Records released shards and schedules a heartbeat at once, which shows which process released them.
    pub fn record_released(&mut self, now: Duration, shards: impl Iterator<Item = ShardId>) {
        let requested = shards.filter(|shard| self.releasing.remove(shard));
        self.unconfirmed.extend(requested);
        if self.unconfirmed.is_empty() {
            return;
        }
        self.unconfirmed_since = now;
        self.next_heartbeat = now;
    }

    /// Takes the releases confirmed by the answer to a heartbeat sent at `sent_at`, provided that its boot
    /// number is the registered one.
    pub fn take_confirmed(&mut self, sent_at: Duration) -> BTreeSet<ShardId> {
        if sent_at < self.unconfirmed_since {
            return BTreeSet::new();
        }
        std::mem::take(&mut self.unconfirmed)
    }

    fn clear_boot(&mut self) {
        self.boot = None;
        self.session = None;
        self.nonce = None;
        self.leased = false;
        self.unheld.clear();
        self.unconfirmed.clear();
        self.to_grant.clear();
    }
}

/// Longest duration on the leader's clock of `length` on a server's clock.
pub(super) fn with_drift(length: Duration, config: &CoordinatorConfig) -> Duration {
    length + length * config.drift_percent / 100
}

/// End of any lease that an earlier leader may have renewed.
pub(super) fn unknown_bound(config: &CoordinatorConfig, leader_since: Duration) -> Duration {
    leader_since + with_drift(config.leader_lease + config.lease, config)
}
