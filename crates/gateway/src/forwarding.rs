//! A request's first phases: read, routed, and given to a server, or kept until one can take it.

use std::sync::Arc;
use std::time::Duration;

use grebepin_catalog::{shard_of_key, Instance, InstanceId, InstanceState, Route};
use grebepin_reactor::http::Request;
use grebepin_telemetry::{event, Event};
use mio::Token;

use crate::answers::OwnAnswer;
use crate::crash_history::fingerprint;
use crate::flight::{Flight, FlightId, Place};
use crate::headers::HeaderNames;
use crate::placing::is_turn;
use crate::refusal::Refusal;
use crate::server::{Due, Server};
use crate::stopping::Stopping;

/// Longest wait for a key's owner or for room at a server, as a part of the target latency: a client
/// that is refused by then can still be served in time.
pub(crate) const WAIT_PART: f64 = 0.2;

/// Time that is left at least, so that sending a request makes sense.
pub(crate) const LEAST_TIME: Duration = Duration::from_millis(5);

/// A request as it was read, before it is taken in or turned away.
struct Arrival {
    /// Connection of the client.
    token: Token,
    request: Request,
    /// Id that the client gave the attempt; empty without one.
    request_id: String,
    /// How long the client waits from `began` on, where it says so.
    stated: Option<Duration>,
    /// When its first byte came.
    began: Duration,
}

impl Arrival {
    fn new(token: Token, request: Request, began: Duration, names: &HeaderNames) -> Self {
        let request_id = request.fields.get(names.request_id);
        let stated = request.fields.get(names.deadline_ms);
        let stated = stated.and_then(|text| text.parse().ok());
        Self {
            token,
            request_id: request_id.unwrap_or_default().to_owned(),
            stated: stated.map(Duration::from_millis),
            request,
            began,
        }
    }

    fn host(&self) -> &str {
        self.request.fields.get("host").unwrap_or_default()
    }

    fn path(&self) -> &str {
        let target = self.request.target.split('?').next();
        target.unwrap_or_default()
    }

    /// Key, where the request carries one.
    fn key(&self, names: &HeaderNames) -> Option<u16> {
        let text = self.request.fields.get(names.shard_key)?;
        text.parse().ok()
    }

    /// How long its client waits; as long as its route holds it when the client does not say.
    fn patience(&self, route: &Route) -> Duration {
        self.stated.unwrap_or(route.timeout)
    }

    /// When it is given up here.
    fn expires(&self, route: &Route) -> Duration {
        self.began + self.patience(route).min(route.timeout)
    }
}

impl Server {
    /// Something came from a client, or can be sent to it.
    pub(crate) fn on_client(&mut self, token: Token) {
        let limits = self.request_limits();
        let limit = limits.head_bytes + limits.body_bytes as usize;
        let Some(client) = self.clients.get_mut(&token) else {
            return;
        };
        let open = client.fill(limit) && client.flush();
        if !open {
            return self.lose_client(token);
        }
        self.take_request(token);
    }

    /// The client is gone: what was begun for it ends.
    fn lose_client(&mut self, token: Token) {
        let Some(client) = self.clients.remove(&token) else {
            return;
        };
        if let Some(flight) = client.flight {
            self.recall(flight);
            self.flights.remove(flight);
        }
    }

    /// Takes the next whole request of a client.
    pub(crate) fn take_request(&mut self, token: Token) {
        let now = self.now();
        let limits = self.request_limits();
        let Some(client) = self.clients.get_mut(&token) else {
            return;
        };
        match client.next_request(now, limits) {
            Ok(None) => {}
            Ok(Some((request, began))) => self.begin(token, request, began, now),
            Err(error) => {
                client.keeps_alive = false;
                self.answer_client(token, OwnAnswer::status(error.status()).closing(), "");
            }
        }
    }

    /// Finds the route of a request and sends it on its way.
    fn begin(&mut self, token: Token, request: Request, began: Duration, now: Duration) {
        let arrival = Arrival::new(token, request, began, &self.names);
        if !self.table.is_configured() {
            return self.turn_away(&arrival, Refusal::Unconfigured);
        }
        let Some((name, route)) = self.table.route(arrival.host(), arrival.path()) else {
            return self.answer_without_route(&arrival);
        };
        if self.is_quarantined(&arrival.request) {
            return self.turn_away(&arrival, Refusal::Quarantined);
        }
        let name = name.to_owned();
        let target = self.splitter.next(&name, &route);
        let service = route.targets[target].service.clone();
        let stated = arrival.stated;
        let came_back = stated.is_some_and(|stated| self.patience.is_retry(now, &name, stated));
        match self.admit(&arrival, &route, &service, came_back, now) {
            Ok(()) => self.take_in(arrival, name, route, service, came_back),
            Err(refusal) => self.turn_away(&arrival, refusal),
        }
    }

    /// Whether a request crashed the servers that ran it. No request is hashed while none is quarantined.
    fn is_quarantined(&self, request: &Request) -> bool {
        let quarantine = self.table.quarantine();
        !quarantine.is_empty() && quarantine.contains(fingerprint(request, &self.names))
    }

    fn answer_without_route(&mut self, arrival: &Arrival) {
        event!(
            Event::RequestRefused,
            id = arrival.request_id,
            reason = "no route",
            host = arrival.host(),
            path = arrival.path(),
            applied = self.table.applied()
        );
        self.answer_client(arrival.token, OwnAnswer::status(404), &arrival.request_id);
    }

    /// Whether a request can be finished here: before this gateway stops, and over its own link. There one that came
    /// back counts a rank more than others of its route, so that clients who waited as they were told come first.
    fn admit(
        &mut self,
        arrival: &Arrival,
        route: &Route,
        service: &str,
        came_back: bool,
        now: Duration,
    ) -> Result<(), Refusal> {
        let expires = arrival.expires(route);
        let can_finish = |stopping: Stopping| stopping.can_finish(expires);
        if !self.stopping.is_none_or(can_finish) {
            return Err(Refusal::Stopping);
        }
        let ranks = self.table.priority_above_lowest(route) + u32::from(came_back);
        let bytes = arrival.request.body.len();
        match self.link_queue.admit(now, service, bytes, ranks) {
            true => Ok(()),
            false => {
                self.metrics
                    .note_turned_away(service, Refusal::LinkFull.reason());
                Err(Refusal::LinkFull)
            }
        }
    }

    /// Takes a request in and sends it to a server.
    fn take_in(
        &mut self,
        arrival: Arrival,
        name: String,
        route: Arc<Route>,
        service: String,
        came_back: bool,
    ) {
        let now = self.now();
        let key = arrival.key(&self.names);
        let is_sharded = self.table.is_sharded(&service);
        let shard = is_sharded.then(|| shard_of_key(key.unwrap_or_default()));
        self.budgets.note_request(&service, now);
        if let Some(shard) = shard {
            self.load.note_request(&service, shard);
        }
        let expires = arrival.expires(&route);
        let token = arrival.token;
        let flight = self.flights.add(Flight {
            client: token,
            deadline: arrival.began + arrival.patience(&route),
            request: arrival.request,
            request_id: arrival.request_id,
            route_name: name,
            route,
            service,
            key,
            shard,
            came_back,
            began: arrival.began,
            expires,
            sendings: 0,
            unreached: 0,
            tried: Vec::new(),
            permitted: None,
            place: Place::Here,
        });
        if let Some(client) = self.clients.get_mut(&token) {
            client.flight = Some(flight);
        }
        self.deadlines.add(expires, Due::Expiry(flight));
        self.dispatch(flight);
    }

    /// Refuses a request that was not taken in.
    fn turn_away(&mut self, arrival: &Arrival, refusal: Refusal) {
        event!(
            Event::RequestRefused,
            id = arrival.request_id,
            reason = refusal.reason(),
            host = arrival.host(),
            path = arrival.path(),
            link_wait_ms = self.link_queue.wait(self.now()).as_millis()
        );
        let answer = OwnAnswer::not_run(refusal.retry_after(arrival.stated));
        let answer = match refusal {
            Refusal::Stopping => answer.closing(),
            _ => answer,
        };
        self.answer_client(arrival.token, answer, &arrival.request_id);
    }

    /// Sends a request to the server that may run it.
    pub(crate) fn dispatch(&mut self, id: FlightId) {
        let now = self.now();
        let Some(flight) = self.flights.get(id) else {
            return;
        };
        if now + LEAST_TIME >= flight.expires {
            return self.refuse(id, Refusal::DeadlineExpired);
        }
        match flight.shard {
            Some(shard) => self.dispatch_to_owner(id, shard),
            None => self.dispatch_to_pool(id),
        }
    }

    fn dispatch_to_owner(&mut self, id: FlightId, shard: usize) {
        let now = self.now();
        let gateways = self.known_gateways();
        let Some(flight) = self.flights.get(id) else {
            return;
        };
        let held = self.table.shard(&flight.service, shard);
        let fence = held.map_or(0, |shard| shard.fence);
        let owner = held
            .and_then(|shard| shard.owner.as_ref())
            .and_then(|owner| self.table.instance(owner))
            .filter(|instance| self.may_own(instance, now))
            .filter(|instance| self.zone_exits.owner_may_serve(&instance.zone, now));
        match owner.cloned() {
            Some(owner) if flight.unreached > 0 => {
                event!(
                    Event::ServerSuspected,
                    instance = owner.id,
                    reason = "owner out of reach"
                );
                self.await_owner(id, fence);
            }
            Some(owner) if self.cooldowns.remaining(&owner.id, now).is_some() => {
                self.await_cooldown(id, &owner.id);
            }
            Some(owner) if !is_turn(&self.table, &self.warmup, &owner, gateways, now) => {
                self.refuse(id, Refusal::WarmingUp);
            }
            Some(owner) if !self.balance.has_room(&owner.id, now) => {
                self.load.note_overload();
                self.await_room(id, self.balance.opens_at(&owner.id, now));
            }
            Some(owner) if self.lacks_permit(id, &owner.id) => self.ask_permit(id, &owner),
            Some(owner) => self.send(id, &owner),
            None => self.await_owner(id, fence),
        }
    }

    /// Whether an owner may get requests for its keys. One that leaves goes on until others took them over, within a part of
    /// the drain time; a gateway that did not see it begin to drain can't tell how much of that is left.
    fn may_own(&self, owner: &Instance, now: Duration) -> bool {
        let is_ready = owner.state == InstanceState::Ready;
        let drains = owner.state == InstanceState::Draining && self.leaving.is_leaving(&owner.id);
        (is_ready || drains) && self.leaving.is_usable(&owner.id, now)
    }

    /// Waits a bounded time for the key's shard to get a new owner.
    fn await_owner(&mut self, id: FlightId, fence: u64) {
        let now = self.now();
        let Some(flight) = self.flights.get_mut(id) else {
            return;
        };
        let longest = flight.route.target_latency.mul_f64(WAIT_PART);
        let until = flight.began + longest;
        if now >= until {
            return self.refuse(id, Refusal::NoOwner);
        }
        flight.place = Place::AwaitingOwner { fence };
        let due = Due::OwnerWait(id, flight.sendings);
        self.deadlines.add(until, due);
    }

    /// Waits for the owner of its key, which asked for no requests, if that is over soon; else it is refused at once.
    fn await_cooldown(&mut self, id: FlightId, owner: &InstanceId) {
        let now = self.now();
        let left = self.cooldowns.remaining(owner, now).unwrap_or_default();
        self.load.note_overload();
        match self.can_wait(id, left) {
            true => self.await_room(id, Some(now + left)),
            false => {
                let refusal = self.cooldown_refusal(owner);
                self.refuse(id, refusal);
            }
        }
    }

    /// Whether a request may be held for so long.
    pub(crate) fn can_wait(&self, id: FlightId, time: Duration) -> bool {
        let flight = self.flights.get(id);
        flight.is_some_and(|flight| {
            self.now() + time < flight.began + flight.route.target_latency.mul_f64(WAIT_PART)
        })
    }

    /// Waits a bounded time for room at a server, and looks again at `opens_at` if that is known.
    pub(crate) fn await_room(&mut self, id: FlightId, opens_at: Option<Duration>) {
        let now = self.now();
        let Some(flight) = self.flights.get_mut(id) else {
            return;
        };
        let until = flight.began + flight.route.target_latency.mul_f64(WAIT_PART);
        if now >= until {
            return self.refuse(id, Refusal::NoRoom);
        }
        flight.place = Place::AwaitingRoom;
        let due = Due::RoomWait(id, flight.sendings);
        let look_at = opens_at.map_or(until, |opens_at| opens_at.min(until));
        self.deadlines.add(look_at, due);
    }

    /// The wait for room, or the pause that took it, is over: looks again, or gives up when it is time.
    pub(crate) fn end_room_wait(&mut self, id: FlightId, sendings: u32) {
        let Some(flight) = self.flights.get(id) else {
            return;
        };
        if flight.place == Place::AwaitingRoom && flight.sendings == sendings {
            self.redispatch(id);
        }
    }

    /// Servers have room again: requests that wait for it look again.
    pub(crate) fn retry_awaiting_room(&mut self) {
        for service in std::mem::take(&mut self.services_with_room) {
            for id in self.flights.awaiting_room(&service) {
                self.redispatch(id);
            }
        }
    }

    /// The wait for an owner is over.
    pub(crate) fn end_owner_wait(&mut self, id: FlightId, sendings: u32) {
        let Some(flight) = self.flights.get(id) else {
            return;
        };
        let waits = matches!(flight.place, Place::AwaitingOwner { .. });
        if !waits || flight.sendings != sendings {
            return;
        }
        let longest = flight.route.target_latency.mul_f64(WAIT_PART);
        match self.now() >= flight.began + longest {
            true => self.refuse(id, Refusal::NoOwner),
            false => self.redispatch(id),
        }
    }

    /// Owners changed: requests that wait for one look again.
    pub(crate) fn retry_awaiting_owner(&mut self) {
        for id in self.flights.awaiting_owner() {
            let Some(flight) = self.flights.get(id) else {
                continue;
            };
            let Place::AwaitingOwner { fence } = flight.place else {
                continue;
            };
            let shard = flight.shard.unwrap_or_default();
            let held = self.table.shard(&flight.service, shard);
            if held.is_some_and(|shard| shard.owner.is_some() && shard.fence > fence) {
                self.redispatch(id);
            }
        }
    }

    pub(crate) fn redispatch(&mut self, id: FlightId) {
        if let Some(flight) = self.flights.get_mut(id) {
            flight.place = Place::Here;
            flight.unreached = 0;
        }
        self.dispatch(id);
    }
}
