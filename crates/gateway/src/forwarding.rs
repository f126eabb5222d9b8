//! First phases of a request: it is read, routed and admitted.

use std::time::Duration;

use grebepin_catalog::{shard_of_key, NamedRoute, Route};
use grebepin_reactor::http::{BadRequest, Request};
use grebepin_reactor::ReadOutcome;
use grebepin_telemetry::{event, Event};
use mio::Token;

use crate::clients::Client;
use crate::crash_history::fingerprint;
use crate::event_loop::{EventLoop, Timer};
use crate::headers::HeaderNames;
use crate::hop::{HopOutcome, HopRequest};
use crate::http_writer::LocalResponse;
use crate::in_flight::{InFlightRequest, InFlightState, RoutingState};
use crate::refusal::Refusal;
use crate::stopping::Stopping;

/// A request that was read and is not yet admitted.
struct IncomingRequest {
    /// Connection of the client.
    token: Token,
    request: Request,
    /// Id that the client gave this attempt; empty if it sent none.
    request_id: String,
    /// How long the client waits from `received_at` on; `None` if it did not say.
    stated_timeout: Option<Duration>,
    /// When the first byte arrived, or the earliest time at which it can have.
    received_at: Duration,
    /// What another gateway decided that forwards the request; `None` for a request of a client.
    hop: Option<HopRequest>,
}

impl IncomingRequest {
    fn new(token: Token, request: Request, received_at: Duration, names: &HeaderNames) -> Self {
        let request_id = request.fields.get(names.request_id);
        let stated_timeout = request.fields.get(names.deadline_ms);
        let stated_timeout = stated_timeout.and_then(|text| text.parse().ok());
        Self {
            token,
            request_id: request_id.unwrap_or_default().to_owned(),
            stated_timeout: stated_timeout.map(Duration::from_millis),
            request,
            received_at,
            hop: None,
        }
    }

    fn host(&self) -> &str {
        self.request.fields.get("host").unwrap_or_default()
    }

    fn path(&self) -> &str {
        let target = self.request.target.split('?').next();
        target.unwrap_or_default()
    }

    /// Key of the request; `None` if it carries none.
    fn key(&self, names: &HeaderNames) -> Option<u16> {
        let text = self.request.fields.get(names.shard_key)?;
        text.parse().ok()
    }

    /// How long the client waits; the route's timeout when the client does not say.
    fn client_timeout(&self, route: &Route) -> Duration {
        self.stated_timeout.unwrap_or(route.timeout)
    }

    /// When the gateway gives the request up.
    fn expires(&self, route: &Route) -> Duration {
        self.received_at + self.client_timeout(route).min(route.timeout)
    }
}

impl EventLoop {
    /// Handles an event on a client connection.
    pub(crate) fn on_client(&mut self, token: Token) {
        let now = self.now();
        let limits = self.request_limits();
        let Some(client) = self.clients.get_mut(&token) else {
            return;
        };
        if client.connection.is_closing() {
            return self.discard_input(now, token);
        }
        if let Some(since) = self.standstill.waiting_since() {
            client.note_waiting(since);
        }
        let open = client.fill(now, limits.head_bytes) && client.flush(now);
        if !open {
            return self.drop_client(token);
        }
        self.handle_next_request(token);
    }

    /// Drops what a client still sends whose connection is being closed.
    fn discard_input(&mut self, now: Duration, token: Token) {
        let client = self.clients.get_mut(&token);
        match client.map(|client| client.connection.discard_input(now)) {
            Some(ReadOutcome::Full) => _ = self.unfinished.insert(token),
            Some(ReadOutcome::Open) => {}
            Some(ReadOutcome::Closed) | None => self.drop_client(token),
        }
    }

    /// Handles a request of which more bytes are to come: it is refused if the requests that are held use too much
    /// memory.
    fn continue_reading(&mut self, token: Token) {
        let Some(client) = self.clients.get(&token) else {
            return;
        };
        if client.is_reading_request()
            && !self.has_memory_for_request(token, client.memory().held_bytes)
        {
            return self.refuse_incomplete(token);
        }
        let client = self.clients.get(&token);
        if client.is_some_and(Client::awaits_reading) {
            self.unfinished.insert(token);
        }
    }

    /// Drops a client whose connection is closed, and cancels its request.
    pub(crate) fn drop_client(&mut self, token: Token) {
        let Some(client) = self.clients.remove(&token) else {
            return;
        };
        if let Some(request) = client.request {
            self.cancel_attempt(request);
            self.in_flight.remove(request);
        }
    }

    /// Handles the next complete request of a client.
    fn handle_next_request(&mut self, token: Token) {
        let now = self.now();
        let limits = self.request_limits();
        let Some(client) = self.clients.get_mut(&token) else {
            return;
        };
        match client.next_request(now, limits) {
            Ok(None) => self.continue_reading(token),
            Ok(Some((request, received_at))) => self.route(token, request, received_at, now),
            Err(error) => {
                client.keeps_alive = false;
                self.reject_unreadable(token, error);
            }
        }
    }

    /// Rejects a request that can't be read. Its size is judged by the limits in force, which may have been raised if
    /// the state is outdated.
    fn reject_unreadable(&mut self, token: Token, error: BadRequest) {
        let response = match error.is_over_limit() && self.is_outdated() {
            true => {
                let refusal = Refusal::StateOutdated;
                event!(
                    Event::RequestRefused,
                    reason = refusal.reason(),
                    limit = error,
                    applied = self.table.applied(),
                    state_age_ms = self.state_age_ms()
                );
                LocalResponse::not_run(refusal.retry_after(None))
            }
            false => LocalResponse::status(error.status()),
        };
        self.respond(token, response.closing(), "");
    }

    /// Selects the route and service of a request, then admits or rejects it.
    fn route(&mut self, token: Token, request: Request, received_at: Duration, now: Duration) {
        let mut incoming = IncomingRequest::new(token, request, received_at, &self.names);
        if self.clients.get(&token).is_some_and(|one| one.is_peer) {
            incoming.hop = HopRequest::take(&mut incoming.request);
            if incoming.hop.is_none() {
                return self.respond(token, LocalResponse::status(400).closing(), "");
            }
        }
        if !self.has_memory_for_request(token, incoming.request.body.charged_bytes()) {
            return self.reject(&incoming, Refusal::NoMemory);
        }
        if !self.table.is_configured() {
            return self.reject(&incoming, Refusal::Unconfigured);
        }
        let (host, path) = (incoming.host(), incoming.path());
        let found = self.table.route(host, path);
        let route = found.map(|found| (found.name.as_str(), &*found.route));
        if self.table.undecided().touches_request(host, path, route) {
            return self.reject(&incoming, Refusal::Undecided);
        }
        if self.lags_behind() {
            return self.reject(&incoming, Refusal::StateOutdated);
        }
        let Some(found) = found.cloned() else {
            return match self.is_outdated() {
                true => self.reject(&incoming, Refusal::StateOutdated),
                false => self.reject_unrouted(&incoming),
            };
        };
        if self.is_quarantined(&incoming.request) {
            return self.reject(&incoming, Refusal::Quarantined);
        }
        let service = self.select_service(&incoming, &found.name, &found.route);
        let is_client_retry = self.is_client_retry(&incoming, &found.name, now);
        match self.admit(&incoming, &found.route, &service, is_client_retry, now) {
            Ok(()) => self.accept(incoming, found, service, is_client_retry),
            Err(refusal) => self.reject(&incoming, refusal),
        }
    }

    /// The service of a request. What another gateway selected holds as long as the route allows it, so that the
    /// services of a route get their shares of the requests at the gateways of the clients.
    fn select_service(&mut self, incoming: &IncomingRequest, name: &str, route: &Route) -> String {
        let selected = incoming.hop.as_ref().map(|hop| &hop.service);
        let targets = route.targets.iter().map(|target| &target.service);
        match selected.filter(|service| targets.clone().any(|target| target == *service)) {
            Some(service) => service.clone(),
            None => {
                let target = self.splitter.next(name, route);
                route.targets[target].service.clone()
            }
        }
    }

    fn is_client_retry(&mut self, incoming: &IncomingRequest, name: &str, now: Duration) -> bool {
        match (&incoming.hop, incoming.stated_timeout) {
            (Some(hop), _) => hop.is_client_retry,
            (None, Some(timeout)) => self.client_retries.is_retry(now, name, timeout),
            (None, None) => false,
        }
    }

    /// Whether the request is quarantined because it crashed the servers that executed it. No request is
    /// hashed while the quarantine is empty.
    fn is_quarantined(&self, request: &Request) -> bool {
        self.table.has_quarantined() && self.table.is_quarantined(fingerprint(request, &self.names))
    }

    fn reject_unrouted(&mut self, incoming: &IncomingRequest) {
        event!(
            Event::RequestRefused,
            id = incoming.request_id,
            reason = "no route",
            host = incoming.host(),
            path = incoming.path(),
            applied = self.table.applied(),
            state_age_ms = self.state_age_ms()
        );
        self.respond(
            incoming.token,
            LocalResponse::status(404),
            &incoming.request_id,
        );
    }

    /// Checks that a request can be finished here: before this gateway stops, and over its network link. For
    /// the link a client's retry ranks one above other requests of its route, so that clients that waited as
    /// told are served first.
    fn admit(
        &mut self,
        incoming: &IncomingRequest,
        route: &Route,
        service: &str,
        is_client_retry: bool,
        now: Duration,
    ) -> Result<(), Refusal> {
        let expires = incoming.expires(route);
        let can_finish = |stopping: Stopping| stopping.can_finish(expires);
        if !self.stopping.is_none_or(can_finish) {
            return Err(Refusal::Stopping);
        }
        let ranks = self.table.priority_above_lowest(route) + u32::from(is_client_retry);
        let bytes = incoming.request.body.len();
        match self.link_queue.admit(now, service, bytes, ranks) {
            true => Ok(()),
            false => {
                self.metrics
                    .note_rejected(service, Refusal::LinkFull.reason());
                Err(Refusal::LinkFull)
            }
        }
    }

    /// Records an admitted request and dispatches it.
    fn accept(
        &mut self,
        incoming: IncomingRequest,
        found: NamedRoute,
        service: String,
        is_client_retry: bool,
    ) {
        let now = self.now();
        let NamedRoute {
            name,
            version,
            route,
        } = found;
        let routed_by = RoutingState {
            version,
            applied: self.table.applied(),
            age_ms: self.state_age_ms(),
        };
        let key = incoming.key(&self.names);
        let is_sharded = self.table.is_sharded(&service);
        let shard = is_sharded.then(|| shard_of_key(key.unwrap_or_default()));
        self.retry_budgets.note_request(&service, now);
        let is_forwarded = incoming.hop.is_some();
        // The gateway that forwarded the request has counted it.
        if let Some(shard) = shard.filter(|_| !is_forwarded) {
            self.load.note_request(&service, shard);
        }
        let expires = incoming.expires(&route);
        let token = incoming.token;
        let id = self.in_flight.add(InFlightRequest {
            client: token,
            deadline: incoming.received_at + incoming.client_timeout(&route),
            message: incoming.request,
            request_id: incoming.request_id,
            route_name: name,
            route,
            routed_by,
            service,
            key,
            shard,
            is_client_retry,
            received_at: incoming.received_at,
            expires,
            attempts: incoming.hop.as_ref().map_or(0, |hop| hop.attempts),
            connect_failures: 0,
            timed_out_since: None,
            is_forwarded,
            only_if_heard: incoming.hop.as_ref().is_some_and(|hop| hop.only_if_heard),
            tried_peers: Vec::new(),
            unreachable_target: String::new(),
            tried_servers: Vec::new(),
            tried_connections: Vec::new(),
            permitted_server: None,
            state: InFlightState::Dispatching,
        });
        if let Some(client) = self.clients.get_mut(&token) {
            client.request = Some(id);
        }
        self.timers.add(expires, Timer::RequestExpiry(id));
        self.dispatch(id);
    }

    /// Refuses a request that was not admitted.
    fn reject(&mut self, incoming: &IncomingRequest, refusal: Refusal) {
        event!(
            Event::RequestRefused,
            id = incoming.request_id,
            reason = refusal.reason(),
            host = incoming.host(),
            path = incoming.path(),
            link_wait_ms = self.link_queue.wait(self.now()).as_millis(),
            applied = self.table.applied(),
            state_age_ms = self.state_age_ms()
        );
        let response = LocalResponse {
            hop_outcome: HopOutcome::of_refusal(refusal, false),
            ..LocalResponse::not_run(refusal.retry_after(incoming.stated_timeout))
        };
        let response = match refusal {
            Refusal::Stopping => response.closing(),
            _ => response,
        };
        self.respond(incoming.token, response, &incoming.request_id);
    }
}
