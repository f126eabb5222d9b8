//! A request's phases: read, routed, sent, judged, answered.

use std::time::Duration;

use grebepin_catalog::{shard_of_key, Instance, InstanceId, InstanceState};
use grebepin_reactor::http::{Request, Response, ResponseReader};
use grebepin_reactor::{Connection, ReadOutcome};
use grebepin_telemetry::{event, Event};
use mio::Token;
use rand::Rng;

use crate::answers::{write_own, write_request, write_response, OwnAnswer};
use crate::flight::{Flight, FlightId, Place};
use crate::server::{Due, Server};
use crate::upstreams::Upstream;
use crate::verdict::{belongs, judge, may_repeat, Verdict};

/// Time a connection to a server may take to come up.
const CONNECT_LIMIT: Duration = Duration::from_millis(250);

/// Time for which bytes to a server may stay unacknowledged.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_500);

/// Connections that may fail to come up for one request.
const UNREACHED_LIMIT: u32 = 3;

/// Longest wait for a key's owner or for room at a server, as a part of the target latency: a client
/// that is refused by then can still be served in time.
const WAIT_PART: f64 = 0.24;

/// Pause before the same owner is asked again whether it holds the key by now.
const SAME_OWNER_PAUSE: Duration = Duration::from_millis(120);

/// When a client may come back that was refused before anything was known of it.
const RETRY_AFTER: Duration = Duration::from_millis(200);

/// When any other refused client may come back: after this part of the time it has left, so that a
/// shard has moved or a queue has drained by then, and enough time remains to be served.
const RETRY_AFTER_PART: f64 = 0.3;

/// Largest answer that is held, in bytes.
const ANSWER_LIMIT: u64 = 64 << 20;

/// Bytes of an answer taken in at once.
const ANSWER_BUFFER: usize = 1 << 20;

/// Time that is left at least, so that sending a request makes sense.
const LEAST_TIME: Duration = Duration::from_millis(5);

/// Part of the connections of a server that all gateways together may use.
const CONNECTION_PART: f64 = 0.8;

/// Fewest connections that one gateway may make to a server.
const LEAST_CONNECTIONS: u32 = 2;

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
    fn take_request(&mut self, token: Token) {
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
        let names = self.names;
        let request_id = request
            .fields
            .get(names.request_id)
            .unwrap_or_default()
            .to_owned();
        if !self.table.is_configured() {
            event!(
                Event::RequestRefused,
                id = request_id,
                reason = "no configuration"
            );
            return self.answer_client(token, OwnAnswer::not_run(RETRY_AFTER), &request_id);
        }
        let host = request.fields.get("host").unwrap_or_default();
        let path = request.target.split('?').next().unwrap_or_default();
        let Some((name, route)) = self.table.route(host, path) else {
            event!(
                Event::RequestRefused,
                id = request_id,
                reason = "no route",
                host = host,
                path = path,
                applied = self.table.applied()
            );
            return self.answer_client(token, OwnAnswer::status(404), &request_id);
        };
        let name = name.to_owned();
        let stated = request
            .fields
            .get(names.deadline_ms)
            .and_then(|text| text.parse::<u64>().ok());
        let patience = stated.map_or(route.timeout, Duration::from_millis);
        let service = route.targets[self.splitter.next(&name, &route)]
            .service
            .clone();
        let key = request
            .fields
            .get(names.shard_key)
            .and_then(|text| text.parse::<u16>().ok());
        let shard = match self.table.is_sharded(&service) {
            true => Some(shard_of_key(key.unwrap_or_default())),
            false => None,
        };
        self.budgets.note_request(&service, now);
        if let Some(shard) = shard {
            self.load.note_request(&service, shard);
        }
        let expires = began + patience.min(route.timeout);
        let flight = self.flights.add(Flight {
            client: token,
            request,
            request_id,
            route_name: name,
            route,
            service,
            key,
            shard,
            began,
            deadline: began + patience,
            expires,
            sendings: 0,
            unreached: 0,
            tried: Vec::new(),
            place: Place::Here,
        });
        if let Some(client) = self.clients.get_mut(&token) {
            client.flight = Some(flight);
        }
        self.deadlines.add(expires, Due::Expiry(flight));
        self.dispatch(flight);
    }

    /// Sends a request to the server that may run it.
    fn dispatch(&mut self, id: FlightId) {
        let now = self.now();
        let Some(flight) = self.flights.get(id) else {
            return;
        };
        if now + LEAST_TIME >= flight.expires {
            return self.finish(id, OwnAnswer::not_run(RETRY_AFTER), "no time left");
        }
        match flight.shard {
            Some(shard) => self.dispatch_to_owner(id, shard),
            None => self.dispatch_to_pool(id),
        }
    }

    fn dispatch_to_owner(&mut self, id: FlightId, shard: usize) {
        let Some(flight) = self.flights.get(id) else {
            return;
        };
        let held = self.table.shard(&flight.service, shard);
        let fence = held.map_or(0, |shard| shard.fence);
        let owner = held
            .and_then(|shard| shard.owner.as_ref())
            .and_then(|owner| self.table.instance(owner))
            .filter(|instance| instance.state == InstanceState::Ready);
        match owner.cloned() {
            Some(owner) if flight.unreached > 0 => {
                event!(
                    Event::ServerSuspected,
                    instance = owner.id.0,
                    reason = "owner out of reach"
                );
                self.await_owner(id, fence);
            }
            Some(owner) if !self.balance.has_room(&owner.id) => self.await_room(id),
            Some(owner) => self.send(id, &owner),
            None => self.await_owner(id, fence),
        }
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
            return self.finish(id, OwnAnswer::not_run(RETRY_AFTER), "no owner");
        }
        flight.place = Place::AwaitingOwner { fence };
        let due = Due::OwnerWait(id, flight.sendings);
        self.deadlines.add(until, due);
    }

    /// Waits a bounded time for room at a server.
    fn await_room(&mut self, id: FlightId) {
        let now = self.now();
        let Some(flight) = self.flights.get_mut(id) else {
            return;
        };
        let until = flight.began + flight.route.target_latency.mul_f64(WAIT_PART);
        if now >= until {
            return self.finish(id, OwnAnswer::not_run(RETRY_AFTER), "no room");
        }
        flight.place = Place::AwaitingRoom;
        let due = Due::RoomWait(id, flight.sendings);
        self.deadlines.add(until, due);
    }

    /// The wait for room is over.
    pub(crate) fn end_room_wait(&mut self, id: FlightId, sendings: u32) {
        let Some(flight) = self.flights.get(id) else {
            return;
        };
        if flight.place == Place::AwaitingRoom && flight.sendings == sendings {
            self.finish(id, OwnAnswer::not_run(RETRY_AFTER), "no room");
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
            true => self.finish(id, OwnAnswer::not_run(RETRY_AFTER), "no owner"),
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

    fn redispatch(&mut self, id: FlightId) {
        if let Some(flight) = self.flights.get_mut(id) {
            flight.place = Place::Here;
            flight.unreached = 0;
        }
        self.dispatch(id);
    }

    fn dispatch_to_pool(&mut self, id: FlightId) {
        let now = self.now();
        let Some(flight) = self.flights.get(id) else {
            return;
        };
        let servers = self.table.ready_servers(&flight.service).iter();
        let has_others = servers.clone().any(|server| !flight.tried.contains(server));
        let candidates = servers
            .filter(|server| !flight.tried.contains(server))
            .filter_map(|server| self.table.instance(server));
        let zone = self.settings.zone.as_str();
        let random = &mut self.random;
        let chosen = self
            .balance
            .choose(candidates, zone, now, &mut || random.random::<f64>())
            .cloned();
        match chosen {
            Some(server) => self.send(id, &server),
            None if has_others => self.await_room(id),
            None => self.finish(id, OwnAnswer::not_run(RETRY_AFTER), "no server"),
        }
    }

    /// Puts a request on a connection to a server.
    fn send(&mut self, id: FlightId, server: &Instance) {
        let now = self.now();
        let resting = self.upstreams.take_resting(&server.id, now);
        let token = match resting {
            Some(token) => token,
            None => match self.connect(server, now) {
                Some(token) => token,
                None => return self.finish(id, OwnAnswer::not_run(RETRY_AFTER), "no connection"),
            },
        };
        let Some(flight) = self.flights.get_mut(id) else {
            return;
        };
        flight.sendings += 1;
        flight.tried.push(server.id.clone());
        flight.place = Place::At {
            connection: token,
            server: server.id.clone(),
            since: now,
        };
        self.balance.begin(&server.id);
        let Some(upstream) = self.upstreams.get_mut(token) else {
            return;
        };
        upstream.flight = Some(id);
        if upstream.connected {
            self.write_request(token);
        }
    }

    fn connect(&mut self, server: &Instance, now: Duration) -> Option<Token> {
        let limit = self.connection_limit(&server.service);
        if self.balance.connections(&server.id) >= limit {
            return None;
        }
        let address = server.address.parse().ok()?;
        let token = self.fresh_token();
        let connection =
            Connection::connect(address, self.settings.bind_ip, self.poll.registry(), token)
                .ok()?;
        connection.limit_silence(SILENCE_LIMIT);
        self.balance.connection_opened(&server.id);
        let upstream = Upstream {
            connection,
            server: server.id.clone(),
            connected: false,
            flight: None,
            reader: ResponseReader::default(),
            rested_since: now,
            rest_limit: CONNECT_LIMIT,
        };
        self.upstreams.add(token, upstream);
        self.deadlines
            .add(now + CONNECT_LIMIT, Due::Connect(token.0));
        Some(token)
    }

    /// Connections that this gateway may make to one server: its part of what the server takes.
    fn connection_limit(&self, service: &str) -> u32 {
        let all = self.table.maximum_connections(service).unwrap_or(u32::MAX);
        let part = f64::from(all) * CONNECTION_PART / f64::from(self.budgets.gateways());
        (part as u32).max(LEAST_CONNECTIONS)
    }

    /// Writes the request of a connection that is up.
    fn write_request(&mut self, token: Token) {
        let now = self.now();
        let names = self.names;
        let Some(upstream) = self.upstreams.get_mut(token) else {
            return;
        };
        let Some(flight) = upstream.flight.and_then(|id| self.flights.get(id)) else {
            return;
        };
        let left = flight.expires.saturating_sub(now);
        let out = upstream.connection.outbound();
        write_request(out, &flight.request, &names, left, &upstream.server.0);
        let wanted = upstream.connection.unsent();
        if upstream.connection.flush().is_ok() {
            return;
        }
        match upstream.connection.unsent() == wanted {
            true => self.fail_to_connect(token),
            false => self.break_off(token, "connection broke while the request was sent"),
        }
    }

    /// A connection to a server did not come up in time.
    pub(crate) fn give_up_connecting(&mut self, token: Token) {
        if self.upstreams.get(token).is_some_and(|one| !one.connected) {
            self.fail_to_connect(token);
        }
    }

    /// Nothing was sent on the connection: its request goes elsewhere.
    fn fail_to_connect(&mut self, token: Token) {
        let now = self.now();
        let Some(upstream) = self.drop_upstream(token) else {
            return;
        };
        let server = upstream.server;
        let pause = self.balance.failed(&server, now);
        self.metrics.note_suspected("no connection");
        event!(
            Event::ServerSuspected,
            instance = server.0,
            reason = "no connection",
            pause_ms = pause.as_millis()
        );
        let Some(id) = upstream.flight else {
            return;
        };
        if self.leave_server(id).is_none() {
            return;
        }
        let Some(flight) = self.flights.get_mut(id) else {
            return;
        };
        flight.sendings -= 1;
        flight.unreached += 1;
        flight.place = Place::Here;
        match flight.unreached > UNREACHED_LIMIT {
            true => self.finish(id, OwnAnswer::not_run(RETRY_AFTER), "servers out of reach"),
            false => self.dispatch(id),
        }
    }

    /// Something came from a server, or can be sent to it.
    pub(crate) fn on_upstream(&mut self, token: Token) {
        let Some(upstream) = self.upstreams.get_mut(token) else {
            return;
        };
        if !upstream.connected {
            match upstream.connection.check_connected() {
                Ok(false) => return,
                Err(_) => return self.fail_to_connect(token),
                Ok(true) => {
                    upstream.connected = true;
                    self.write_request(token);
                }
            }
        }
        let Some(upstream) = self.upstreams.get_mut(token) else {
            return;
        };
        let outcome = upstream.connection.fill(ANSWER_BUFFER);
        if upstream.connection.flush().is_err() {
            return self.break_off(token, "connection broke");
        }
        let Some(id) = upstream.flight else {
            // Bytes or an end on a connection at rest: it is of no further use.
            let is_quiet = upstream.connection.inbound.is_empty();
            if !is_quiet || !matches!(outcome, Ok(ReadOutcome::Open)) {
                self.drop_upstream(token);
            }
            return;
        };
        self.read_answer(token, id, outcome);
    }

    /// Takes the answer out of what came from a server.
    fn read_answer(&mut self, token: Token, id: FlightId, outcome: std::io::Result<ReadOutcome>) {
        let names = self.names;
        loop {
            let (Some(upstream), Some(flight)) =
                (self.upstreams.get_mut(token), self.flights.get(id))
            else {
                return;
            };
            let has_body = flight.request.method != "HEAD";
            let inbound = &mut upstream.connection.inbound;
            let mut taken = upstream.reader.take(inbound, has_body, ANSWER_LIMIT);
            if matches!((&taken, &outcome), (Ok(None), Ok(ReadOutcome::Closed))) {
                taken = upstream.reader.end(&upstream.connection.inbound);
            }
            match (taken, &outcome) {
                (Ok(Some(response)), _) if belongs(&response, &flight.request_id, &names) => {
                    return self.on_answer(token, id, response);
                }
                (Ok(Some(_)), _) => {
                    self.metrics.foreign_answers.inc();
                    event!(
                        Event::AnswerForeign,
                        id = flight.request_id,
                        instance = upstream.server.0
                    );
                }
                (Ok(None), Ok(ReadOutcome::Full)) => {
                    // The buffer was drained into the answer: take what else waits.
                    return self.on_upstream(token);
                }
                (Ok(None), Ok(ReadOutcome::Open)) => return,
                (Ok(None), Ok(ReadOutcome::Closed)) => {
                    return self.break_off(token, "server closed without an answer");
                }
                (Ok(None), Err(_)) => return self.break_off(token, "connection broke"),
                (Err(error), _) => return self.break_off(token, &error.to_string()),
            }
        }
    }

    /// A server answered.
    fn on_answer(&mut self, token: Token, id: FlightId, response: Response) {
        let now = self.now();
        let names = self.names;
        let Some((server, since)) = self.leave_server(id) else {
            return;
        };
        let Some(flight) = self.flights.get(id) else {
            return;
        };
        let wanted = flight.route.target_latency;
        let verdict = judge(&response, &names);
        match verdict {
            Verdict::NotRun => self.balance.overloaded(&server, now),
            _ => {
                let took = now.saturating_sub(since);
                if self.balance.answered(&server, now, took, wanted) {
                    event!(Event::ServerTrusted, instance = server.0);
                }
            }
        }
        let reusable = self
            .upstreams
            .get(token)
            .is_some_and(|upstream| response.keeps_alive && upstream.connection.inbound.is_empty());
        match reusable {
            true => self.upstreams.rest(token, now, &response.fields),
            false => _ = self.drop_upstream(token),
        }
        match verdict {
            Verdict::Final => self.pass_on(id, &response),
            _ => self.decide(id, verdict, Some(response), &server),
        }
    }

    /// A connection with a request on it broke: the request may have run.
    fn break_off(&mut self, token: Token, reason: &str) {
        let now = self.now();
        let Some(upstream) = self.drop_upstream(token) else {
            return;
        };
        let Some(id) = upstream.flight else {
            return;
        };
        let pause = self.balance.failed(&upstream.server, now);
        self.metrics.note_suspected("broke off");
        event!(
            Event::ServerSuspected,
            instance = upstream.server.0,
            reason = reason,
            pause_ms = pause.as_millis()
        );
        if self.leave_server(id).is_some() {
            self.decide(id, Verdict::Unknown, None, &upstream.server);
        }
    }

    /// Sends a request again where that is safe and allowed, or answers it.
    fn decide(
        &mut self,
        id: FlightId,
        verdict: Verdict,
        response: Option<Response>,
        server: &InstanceId,
    ) {
        let now = self.now();
        let Some(flight) = self.flights.get(id) else {
            return;
        };
        let allowed = may_repeat(verdict, flight.kind())
            && flight.sendings < flight.route.maximum_attempts
            && now + LEAST_TIME < flight.expires;
        let has_place = verdict != Verdict::NotRun || flight.shard.is_none();
        if allowed && has_place && self.budgets.take(&flight.service, now) {
            self.metrics
                .note_retry(&flight.service, &format!("{verdict:?}"));
            event!(
                Event::RequestRetried,
                id = flight.request_id,
                instance = server.0,
                verdict = format!("{verdict:?}"),
                sendings = flight.sendings
            );
            return match (verdict, flight.shard) {
                (Verdict::NotOwner, Some(shard)) => self.ask_owner_again(id, shard, server),
                _ => self.dispatch(id),
            };
        }
        match (verdict, response) {
            (Verdict::Failed, Some(response)) => self.pass_on(id, &response),
            (Verdict::NotRun | Verdict::NotOwner, _) => {
                self.finish(id, OwnAnswer::not_run(RETRY_AFTER), "server did not run it");
            }
            _ => self.finish(id, OwnAnswer::status(502), "server broke off"),
        }
    }

    /// The server that was believed to own a key does not: another may by now, or it may shortly.
    fn ask_owner_again(&mut self, id: FlightId, shard: usize, server: &InstanceId) {
        let now = self.now();
        let Some(flight) = self.flights.get_mut(id) else {
            return;
        };
        let held = self.table.shard(&flight.service, shard);
        let is_same = held.is_some_and(|shard| shard.owner.as_ref() == Some(server));
        if !is_same {
            return self.dispatch(id);
        }
        let fence = held.map_or(0, |shard| shard.fence);
        flight.place = Place::AwaitingOwner { fence };
        let due = Due::OwnerWait(id, flight.sendings);
        self.deadlines.add(now + SAME_OWNER_PAUSE, due);
    }

    /// The time of a request is up.
    pub(crate) fn expire(&mut self, id: FlightId) {
        let now = self.now();
        let Some(flight) = self.flights.get(id) else {
            return;
        };
        let was_sent = match &flight.place {
            Place::At { connection, .. } => {
                let upstream = self.upstreams.get(*connection);
                upstream.is_some_and(|upstream| upstream.connected)
            }
            _ => false,
        };
        let place = flight.place.clone();
        // An earlier sending of a request that is not repeatable is proved not to have run.
        let answer = match was_sent {
            false => OwnAnswer::not_run(RETRY_AFTER),
            true => OwnAnswer::status(504),
        };
        if let (Place::At { server, since, .. }, true) = (place, was_sent) {
            self.balance.silent(&server, now, now.saturating_sub(since));
        }
        self.recall(id);
        self.finish(id, answer, "time is up");
    }

    /// Takes a request back from the connection it is on, which is closed.
    fn recall(&mut self, id: FlightId) {
        let place = self.flights.get(id).map(|flight| flight.place.clone());
        if let Some(Place::At { connection, .. }) = place {
            self.leave_server(id);
            self.drop_upstream(connection);
        }
    }

    /// Notes that a request is no longer at its server; which that was, and since when.
    fn leave_server(&mut self, id: FlightId) -> Option<(InstanceId, Duration)> {
        let now = self.now();
        let flight = self.flights.get_mut(id)?;
        let place = std::mem::replace(&mut flight.place, Place::Here);
        let Place::At { server, since, .. } = place else {
            return None;
        };
        self.services_with_room.insert(flight.service.clone());
        let took = now.saturating_sub(since);
        self.metrics.note_server(&flight.service, took);
        if flight.shard.is_some() {
            self.load.note_answer(&server, took);
        }
        self.balance.end(&server);
        Some((server, since))
    }

    /// Closes a connection to a server.
    pub(crate) fn drop_upstream(&mut self, token: Token) -> Option<Upstream> {
        let upstream = self.upstreams.remove(token)?;
        self.balance.connection_closed(&upstream.server);
        Some(upstream)
    }

    /// Gives a server's answer to the client.
    fn pass_on(&mut self, id: FlightId, response: &Response) {
        let Some(flight) = self.flights.remove(id) else {
            return;
        };
        event!(
            Event::RequestAnswered,
            id = flight.request_id,
            route = flight.route_name,
            status = response.status,
            sendings = flight.sendings,
            instance = flight.tried.last().map_or("", |one| one.0.as_str()),
            ms = self.now().saturating_sub(flight.began).as_millis()
        );
        let took = self.now().saturating_sub(flight.began);
        self.metrics
            .note_answer(&flight.service, response.status, "", took);
        let stopping = self.stopping.is_some();
        let Some(client) = self.clients.get_mut(&flight.client) else {
            return;
        };
        let closes = !client.keeps_alive || stopping;
        write_response(client.connection.outbound(), response, closes);
        self.after_answer(flight.client, closes);
    }

    /// Gives up a request with an answer of the gateway's own.
    fn finish(&mut self, id: FlightId, answer: OwnAnswer, reason: &str) {
        let Some(flight) = self.flights.remove(id) else {
            return;
        };
        let left = flight.deadline.saturating_sub(self.now());
        let answer = OwnAnswer {
            retry_after: answer.retry_after.map(|_| left.mul_f64(RETRY_AFTER_PART)),
            ..answer
        };
        let what = match answer.status {
            503 => Event::RequestRefused,
            _ => Event::RequestFailed,
        };
        event!(
            what,
            id = flight.request_id,
            route = flight.route_name,
            service = flight.service,
            status = answer.status,
            reason = reason,
            sendings = flight.sendings,
            key = flight.key.map_or(-1, i64::from),
            servers = flight
                .tried
                .iter()
                .map(|one| one.0.as_str())
                .collect::<Vec<_>>()
                .join(","),
            applied = self.table.applied(),
            ms = self.now().saturating_sub(flight.began).as_millis()
        );
        let took = self.now().saturating_sub(flight.began);
        self.metrics
            .note_answer(&flight.service, answer.status, reason, took);
        self.answer_client(flight.client, answer, &flight.request_id);
    }

    fn answer_client(&mut self, token: Token, answer: OwnAnswer, request_id: &str) {
        let names = self.names;
        let stopping = self.stopping.is_some();
        let Some(client) = self.clients.get_mut(&token) else {
            return;
        };
        let closes = answer.closes || !client.keeps_alive || stopping;
        let answer = OwnAnswer { closes, ..answer };
        write_own(client.connection.outbound(), answer, request_id, &names);
        self.after_answer(token, closes);
    }

    fn after_answer(&mut self, token: Token, closes: bool) {
        let now = self.now();
        let Some(client) = self.clients.get_mut(&token) else {
            return;
        };
        client.flight = None;
        client.closing = closes;
        client.rested_since = now;
        let open = client.flush();
        client.connection.trim();
        match open {
            true => self.take_request(token),
            false => _ = self.clients.remove(&token),
        }
    }
}
