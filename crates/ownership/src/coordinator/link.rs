//! What the leader knows of one server: its start, session, nonce and the bound of its lease.
//!
//! Invariant: any lease that the server may hold, from whichever leader and at whichever of its starts,
//! ends before [`ServerLink::fenced_until`].

use std::collections::BTreeSet;
use std::time::Duration;

use grebepin_schema::{
    HeartbeatAnswer, HeartbeatRequest, LeaseRenewal, MachineState, Nonce, ServerName, ServiceName,
    Session, ShardId, SocketAddress, Term,
};

use super::types::CoordinatorConfig;
use crate::state::ServerEntry;

/// Heartbeats without an answer, one after the other, after which a server counts as silent.
pub(super) const FAILURES_TO_SILENCE: u32 = 3;

/// Lengths of a lease without a renewal, in spite of answers, after which renewing is given up.
const LEASES_TO_GIVE_UP: u32 = 3;

/// Heartbeats to a server without a lease follow each other after this fraction of the usual time.
const LEAST_SPACING: u32 = 10;

/// A nonce that the server issued, for the next renewal.
#[derive(Clone, Copy, Debug)]
struct KnownNonce {
    nonce: Nonce,
    session: Session,
    /// When it was first sent back. Sending it again extends no lease.
    first_sent: Option<Duration>,
}

/// One server as the leader knows it.
#[derive(Debug)]
pub(super) struct ServerLink {
    pub name: ServerName,
    pub service: ServiceName,
    pub address: SocketAddress,
    pub next_heartbeat: Duration,
    /// When the heartbeat under way was sent, and whether it carried a renewal.
    in_flight: Option<(Duration, bool)>,
    pub failures: u32,
    pub last_heard: Option<Duration>,
    last_renewed: Duration,
    pub boot: Option<u64>,
    pub session: Option<Session>,
    nonce: Option<KnownNonce>,
    /// End of any lease of the present start.
    bound: Duration,
    /// End of any lease of earlier starts, or at earlier addresses.
    earlier_bound: Duration,
    pub leased: bool,
    lease_remaining: Duration,
    pub wishes_to_leave: bool,
    pub held: u32,
    /// Committed to the server and not yet known to be held.
    pub to_grant: BTreeSet<ShardId>,
    /// Owned and surely not held: the server released the shard at its epoch.
    pub unheld: BTreeSet<ShardId>,
    /// Releases to ask for.
    pub releasing: BTreeSet<ShardId>,
    /// Released by whoever answered at the address: the owner only if the next heartbeat tells the
    /// registered boot.
    pub unconfirmed: BTreeSet<ShardId>,
    unconfirmed_since: Duration,
    pub next_release: Duration,
    pub grant_under_way: bool,
    /// A grant was refused; the next waits for a heartbeat.
    pub grant_on_hold: bool,
    pub release_under_way: bool,
    pub holdings_under_way: bool,
    pub drain_under_way: bool,
    /// A change of its standing or boot is proposed.
    pub proposed: bool,
    /// Last moment at which what it should hold changed.
    pub changed_at: Duration,
    pub machine: Option<MachineState>,
    /// Routers can't reach it, until then.
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
            last_heard: None,
            last_renewed: now,
            boot: None,
            session: None,
            nonce: None,
            bound: unknown_bound,
            earlier_bound: Duration::ZERO,
            leased: false,
            lease_remaining: Duration::ZERO,
            wishes_to_leave: false,
            held: 0,
            to_grant: BTreeSet::new(),
            unheld: BTreeSet::new(),
            releasing: BTreeSet::new(),
            unconfirmed: BTreeSet::new(),
            unconfirmed_since: now,
            next_release: now,
            grant_under_way: false,
            grant_on_hold: false,
            release_under_way: false,
            holdings_under_way: false,
            drain_under_way: false,
            proposed: false,
            changed_at: now,
            machine: None,
            unreachable_until: Duration::ZERO,
        }
    }

    /// Starts anew with the process at another address; the former one may go on until its lease ends.
    pub fn change_address(&mut self, address: SocketAddress, now: Duration) {
        self.earlier_bound = self.fenced_until();
        self.address = address;
        self.in_flight = None;
        self.next_heartbeat = now;
        self.forget_start();
    }

    /// End of any lease the server may hold.
    pub fn fenced_until(&self) -> Duration {
        self.bound.max(self.earlier_bound)
    }

    /// Whether any lease of an earlier start has ended.
    pub fn earlier_starts_ended(&self, now: Duration) -> bool {
        now >= self.earlier_bound
    }

    pub fn heartbeat_under_way(&self) -> bool {
        self.in_flight.is_some()
    }

    /// Whether the server neither answers nor can be renewed.
    pub fn is_silent(&self, now: Duration, lease: Duration) -> bool {
        self.failures >= FAILURES_TO_SILENCE || self.is_given_up(now, lease)
    }

    /// Whether the server answers but takes no renewal, so that its lease is left to end.
    fn is_given_up(&self, now: Duration, lease: Duration) -> bool {
        now > self.last_renewed + lease * LEASES_TO_GIVE_UP
    }

    /// The next heartbeat. It renews the lease if a nonce is known and `may_renew`.
    pub fn heartbeat(
        &mut self,
        now: Duration,
        config: &CoordinatorConfig,
        term: Term,
        may_renew: bool,
    ) -> HeartbeatRequest {
        let may_renew = may_renew && !self.is_given_up(now, config.lease);
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

    /// Takes an answer; `false` when it answers no heartbeat under way.
    ///
    /// `registered` is the start that the replicated state knows; another one in the answer means that
    /// the former process may go on until its lease ends.
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
            self.forget_start();
        }
        let same_session = self.session == Some(answer.session);
        self.failures = 0;
        self.last_heard = Some(now);
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
        self.wishes_to_leave = answer.draining;
        self.held = answer.held;
        self.grant_on_hold = false;
        if self.is_given_up(now, config.lease) && now >= self.fenced_until() + config.heartbeat {
            self.last_renewed = now;
        }
        if !self.unconfirmed.is_empty() && sent_at < self.unconfirmed_since {
            self.next_heartbeat = now;
        }
        let was_refused = carried_renewal && same_session;
        if !self.leased && !was_refused {
            self.next_heartbeat = now.max(sent_at + config.heartbeat / LEAST_SPACING);
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

    /// Lease that the server had left at `now`, as it told last.
    pub fn lease_remaining(&self, now: Duration) -> Duration {
        let heard = self.last_heard.unwrap_or(now);
        self.lease_remaining
            .saturating_sub(now.saturating_sub(heard))
    }

    /// Forgets what was under way for a shard that the server no longer owns.
    pub fn forget_shard(&mut self, shard: ShardId) {
        self.to_grant.remove(&shard);
        self.unheld.remove(&shard);
        self.releasing.remove(&shard);
        self.unconfirmed.remove(&shard);
    }

    /// Notes releases, and has a heartbeat tell soon which process answered them.
    pub fn note_released(&mut self, now: Duration, shards: impl Iterator<Item = ShardId>) {
        let asked = shards.filter(|shard| self.releasing.remove(shard));
        self.unconfirmed.extend(asked);
        if self.unconfirmed.is_empty() {
            return;
        }
        self.unconfirmed_since = now;
        self.next_heartbeat = now;
    }

    /// Releases that a heartbeat sent at `sent_at` confirms, its boot being the registered one.
    pub fn take_confirmed(&mut self, sent_at: Duration) -> BTreeSet<ShardId> {
        if sent_at < self.unconfirmed_since {
            return BTreeSet::new();
        }
        std::mem::take(&mut self.unconfirmed)
    }

    fn forget_start(&mut self) {
        self.boot = None;
        self.session = None;
        self.nonce = None;
        self.leased = false;
        self.unheld.clear();
        self.unconfirmed.clear();
        self.to_grant.clear();
    }
}

/// A length of time on a server's clock, at its longest on the leader's clock.
pub(super) fn with_drift(length: Duration, config: &CoordinatorConfig) -> Duration {
    length + length * config.drift_percent / 100
}

/// Bound of leases that an earlier leader may have given.
pub(super) fn unknown_bound(config: &CoordinatorConfig, leader_since: Duration) -> Duration {
    leader_since + with_drift(config.leader_lease + config.lease, config)
}
