//! Dispatch of an admitted request: it is sent to a server, forwarded to another gateway, held until a server is
//! available, or refused.

use std::time::Duration;

use grebepin_catalog::{Instance, InstanceId, InstanceState};
use grebepin_telemetry::{event, Event};

use crate::event_loop::{EventLoop, Timer};
use crate::in_flight::{InFlightId, InFlightState};
use crate::placing::warmup_allows;
use crate::refusal::Refusal;

/// Longest wait for a key's owner or for server capacity, as a fraction of the route's target latency. A
/// client that is refused after this wait can still be served elsewhere in time.
pub(crate) const MAX_WAIT_FRACTION: f64 = 0.2;

/// Least time before expiry at which a request is still sent; with less, the server could not answer in time.
pub(crate) const MIN_TIME_LEFT: Duration = Duration::from_millis(5);

impl EventLoop {
    /// Sends a request to a server that may execute it, or holds or refuses it.
    pub(crate) fn dispatch(&mut self, id: InFlightId) {
        let now = self.now();
        let Some(request) = self.in_flight.get(id) else {
            return;
        };
        if now + MIN_TIME_LEFT >= request.expires {
            return self.refuse(id, Refusal::DeadlineExpired);
        }
        match request.shard {
            Some(shard) => self.dispatch_to_owner(id, shard),
            None => self.dispatch_to_pool(id),
        }
    }

    fn dispatch_to_owner(&mut self, id: InFlightId, shard: usize) {
        let now = self.now();
        let gateways = self.gateway_count();
        let Some(request) = self.in_flight.get(id) else {
            return;
        };
        let held = self.table.shard(&request.service, shard);
        let fence = held.map_or(0, |shard| shard.fence);
        let owner = held
            .and_then(|shard| shard.owner.as_ref())
            .and_then(|owner| self.table.instance(owner))
            .filter(|instance| self.may_receive(instance, now))
            .filter(|instance| self.evacuations.owner_may_serve(&instance.zone, now));
        match owner.cloned() {
            Some(owner) if request.only_if_heard && !self.is_heard_lately(&owner.id) => {
                self.refuse(id, Refusal::Unreachable);
            }
            Some(owner) if !self.is_reachable(&owner) => {
                self.dispatch_to_unreachable_owner(id, &owner, fence);
            }
            Some(owner) if request.connect_failures > 0 => {
                self.wait_for_unreachable_owner(id, &owner.id, fence);
            }
            Some(owner) if self.cooldowns.remaining(&owner.id, now).is_some() => {
                self.wait_for_cooldown(id, &owner.id);
            }
            Some(owner) if !warmup_allows(&self.table, &self.warmup, &owner, gateways, now) => {
                self.refuse(id, Refusal::WarmingUp);
            }
            Some(owner) if !self.load_balancer.has_room(&owner.id, now) => {
                self.load.note_overload();
                self.wait_for_capacity(id, self.load_balancer.opens_at(&owner.id, now));
            }
            Some(owner) if self.needs_permit(id, &owner.id) => self.request_permit(id, &owner),
            Some(owner) => self.send(id, &owner),
            None => self.wait_for_owner(id, fence),
        }
    }

    /// Handles a request whose owner this gateway can't reach: forwards it to another gateway. If there is none, an owner
    /// that refuses connections is tried again, unless another request already does.
    fn dispatch_to_unreachable_owner(&mut self, id: InFlightId, owner: &Instance, fence: u64) {
        if self.forward_to_peer(id, owner.id.name()) {
            return;
        }
        let request = self.in_flight.get(id);
        let is_forwarded = request.is_some_and(|one| one.is_forwarded);
        if is_forwarded || self.reachability.is_lost(&owner.service) {
            return self.refuse(id, Refusal::Unreachable);
        }
        let has_failed = request.is_some_and(|one| one.connect_failures > 0);
        let hangs = !self.reachability.is_open(&owner.id, &owner.service);
        match has_failed || hangs || self.upstreams.is_connecting_to(&owner.id) {
            true => self.wait_for_unreachable_owner(id, &owner.id, fence),
            false => self.send(id, owner),
        }
    }

    fn wait_for_unreachable_owner(&mut self, id: InFlightId, owner: &InstanceId, fence: u64) {
        event!(
            Event::ServerSuspected,
            instance = owner,
            reason = "owner out of reach"
        );
        self.wait_for_owner(id, fence);
    }

    /// Whether an owner may receive requests for its keys. A draining owner still does for part of the drain
    /// time, until others have taken its shards over. A gateway that did not see the drain begin can't tell
    /// how much of that time is left, so it sends nothing.
    fn may_receive(&self, owner: &Instance, now: Duration) -> bool {
        let is_ready = owner.state == InstanceState::Ready;
        let drains = owner.state == InstanceState::Draining && self.leaving.is_leaving(&owner.id);
        (is_ready || drains)
            && self.leaving.is_usable(&owner.id, now)
            && !self.table.undecided().may_have_stopped(owner)
    }

    /// Holds a request until its key's shard has a new owner, for a bounded time.
    fn wait_for_owner(&mut self, id: InFlightId, fence: u64) {
        let now = self.now();
        let Some(request) = self.in_flight.get_mut(id) else {
            return;
        };
        let longest = request.route.target_latency.mul_f64(MAX_WAIT_FRACTION);
        let until = request.received_at + longest;
        if now >= until {
            return self.refuse(id, Refusal::NoOwner);
        }
        request.state = InFlightState::AwaitingOwner { fence };
        let due = Timer::OwnerWait(id, request.attempts);
        self.timers.add(until, due);
    }

    /// Holds a request whose key's owner asked for no requests if the cooldown ends soon enough, and refuses
    /// it otherwise.
    fn wait_for_cooldown(&mut self, id: InFlightId, owner: &InstanceId) {
        let now = self.now();
        let left = self.cooldowns.remaining(owner, now).unwrap_or_default();
        self.load.note_overload();
        match self.can_wait(id, left) {
            true => self.wait_for_capacity(id, Some(now + left)),
            false => {
                let refusal = self.cooldown_refusal(owner);
                self.refuse(id, refusal);
            }
        }
    }

    /// Whether a request may be held for `time`.
    pub(crate) fn can_wait(&self, id: InFlightId, time: Duration) -> bool {
        let request = self.in_flight.get(id);
        request.is_some_and(|request| {
            self.now() + time
                < request.received_at + request.route.target_latency.mul_f64(MAX_WAIT_FRACTION)
        })
    }

    /// Holds a request until a server has capacity, for a bounded time. It is dispatched again at `opens_at`
    /// if that is known.
    pub(crate) fn wait_for_capacity(&mut self, id: InFlightId, opens_at: Option<Duration>) {
        let now = self.now();
        let Some(request) = self.in_flight.get_mut(id) else {
            return;
        };
        let until = request.received_at + request.route.target_latency.mul_f64(MAX_WAIT_FRACTION);
        if now >= until {
            return self.refuse(id, Refusal::NoRoom);
        }
        request.state = InFlightState::AwaitingCapacity;
        let due = Timer::CapacityWait(id, request.attempts);
        let dispatch_at = opens_at.map_or(until, |opens_at| opens_at.min(until));
        self.timers.add(dispatch_at, due);
    }

    /// Dispatches a request whose wait for capacity is over, or whose server's pause has ended. It is refused
    /// if it has waited long enough.
    pub(crate) fn end_capacity_wait(&mut self, id: InFlightId, attempts: u32) {
        let Some(request) = self.in_flight.get(id) else {
            return;
        };
        if request.state == InFlightState::AwaitingCapacity && request.attempts == attempts {
            self.redispatch(id);
        }
    }

    /// Dispatches the requests that wait for capacity at services whose servers may have some again.
    pub(crate) fn dispatch_awaiting_capacity(&mut self) {
        for service in std::mem::take(&mut self.services_with_capacity) {
            for id in self.in_flight.awaiting_capacity(&service) {
                self.redispatch(id);
            }
        }
    }

    /// Dispatches or refuses a request whose wait for an owner is over.
    pub(crate) fn end_owner_wait(&mut self, id: InFlightId, attempts: u32) {
        let Some(request) = self.in_flight.get(id) else {
            return;
        };
        let waits = matches!(request.state, InFlightState::AwaitingOwner { .. });
        if !waits || request.attempts != attempts {
            return;
        }
        let longest = request.route.target_latency.mul_f64(MAX_WAIT_FRACTION);
        match self.now() >= request.received_at + longest {
            true => self.refuse(id, Refusal::NoOwner),
            false => self.redispatch(id),
        }
    }

    /// Dispatches the requests that wait for an owner and whose shard has a new one.
    pub(crate) fn dispatch_awaiting_owner(&mut self) {
        for id in self.in_flight.awaiting_owner() {
            let Some(request) = self.in_flight.get(id) else {
                continue;
            };
            let InFlightState::AwaitingOwner { fence } = request.state else {
                continue;
            };
            let shard = request.shard.unwrap_or_default();
            let held = self.table.shard(&request.service, shard);
            if held.is_some_and(|shard| shard.owner.is_some() && shard.fence > fence) {
                self.redispatch(id);
            }
        }
    }

    pub(crate) fn redispatch(&mut self, id: InFlightId) {
        if let Some(request) = self.in_flight.get_mut(id) {
            request.state = InFlightState::Dispatching;
            request.connect_failures = 0;
        }
        self.dispatch(id);
    }
}
