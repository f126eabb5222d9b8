//! Connections to servers: connecting, sending a request, and reading the response or handling a failure.

use std::time::Duration;

use grebepin_catalog::{Instance, InstanceId};
use grebepin_reactor::http::{Response, ResponseReader, MAX_RESPONSE_HEAD_BYTES};
use grebepin_reactor::{Connection, ReadOutcome};
use grebepin_telemetry::{event, Event};
use mio::Token;

use crate::crash_history::fingerprint;
use crate::event_loop::{EventLoop, Timer};
use crate::http_writer::queue_request;
use crate::in_flight::{InFlightId, InFlightState};
use crate::reachability::ConnectFailure;
use crate::refusal::Refusal;
use crate::upstreams::Upstream;
use crate::verdict::{belongs_to_request, classify, is_attributed, Verdict};

/// Timeout for establishing a connection to a server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Timeout after which a connection with unacknowledged bytes fails.
pub(crate) const UNACKED_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Connections that may fail for one request before it is refused.
const MAX_CONNECT_FAILURES: u32 = 3;

/// Size in bytes from which an incomplete response is given up if there is no memory for it. Smaller ones are bounded by
/// the number of connections to servers.
const LARGE_RESPONSE_BYTES: usize = 256 << 10;

/// Bytes of a response that are read at once, more than a head may have. Other connections are served before the next ones
/// are read.
pub(crate) const READ_LIMIT: usize = 2 * MAX_RESPONSE_HEAD_BYTES;

/// Largest number of responses to other requests in place of the awaited one. A connection carries one request at a time,
/// so a server owes few of them.
const MAX_FOREIGN_RESPONSES: u32 = 8;

/// Send time assumed for a response that belongs to no request here. The real time is unknown, so the
/// response overrides nothing that the server stated since.
const UNKNOWN_SEND_TIME: Duration = Duration::ZERO;

/// Fraction of a server's connections that all gateways together may use.
const CONNECTION_SHARE: f64 = 0.8;

/// Fewest connections that one gateway may open to a server.
const MIN_CONNECTIONS: u32 = 2;

impl EventLoop {
    /// Assigns a request to an idle or new connection to a server.
    pub(crate) fn send(&mut self, id: InFlightId, server: &Instance) {
        let now = self.now();
        let Some(token) = self.connection_for(id, server, now) else {
            return self.refuse(id, Refusal::NoConnection);
        };
        let Some(request) = self.in_flight.get_mut(id) else {
            return;
        };
        request.attempts += 1;
        request.tried_servers.push(server.id.clone());
        request.tried_connections.push(token);
        request.state = InFlightState::Assigned {
            connection: token,
            server: server.id.clone(),
            since: now,
        };
        self.note_sending_state(id, &server.id);
        self.load_balancer.begin(&server.id);
        if server.is_cold {
            self.use_warmup_turn(server, now);
        }
        let gateways = self.retry_budgets.gateways();
        if self.stated_rates.note_sent(&server.id, now, gateways) {
            self.metrics.sent_at_stated_rates.inc();
        }
        if self.cooldowns.remaining(&server.id, now).is_some() {
            self.metrics.sent_in_cooldowns.inc();
        }
        let Some(upstream) = self.upstreams.get_mut(token) else {
            return;
        };
        upstream.request = Some(id);
        if upstream.connected {
            self.write_request(token);
        }
    }

    /// An idle or new connection to a server that has not carried the request before: a second copy of an
    /// earlier response may still arrive on one that has, with the id of the request.
    fn connection_for(
        &mut self,
        id: InFlightId,
        server: &Instance,
        now: Duration,
    ) -> Option<Token> {
        let tried = self.in_flight.get(id)?.tried_connections.clone();
        let is_open = self.reachability.is_open(&server.id, &server.service);
        let idle = match is_open {
            true => self.upstreams.take_idle(&server.id, now, &tried),
            false => None,
        };
        if let Some(token) = idle.or_else(|| self.connect(server, now)) {
            return Some(token);
        }
        // The connections that can't be used may have exhausted the limit.
        let mut tried = tried.into_iter();
        let idle = tried.find(|token| self.upstreams.is_idle_at(*token, &server.id))?;
        self.drop_upstream(idle);
        self.connect(server, now)
    }

    /// Uses up this gateway's current turn at a server that warms up.
    fn use_warmup_turn(&mut self, server: &Instance, now: Duration) {
        if let Some(rate) = self.table.warmup_rate(&server.service) {
            let gateways = self.retry_budgets.gateways();
            self.warmup.note_sent(&server.id, now, rate, gateways);
        }
    }

    pub(crate) fn connect(&mut self, server: &Instance, now: Duration) -> Option<Token> {
        let limit = self.connection_limit(&server.service);
        if self.load_balancer.connections(&server.id) >= limit {
            return None;
        }
        let address = server.address.parse().ok()?;
        let token = self.allocate_token();
        let source = self.settings.bind_ip;
        let registry = self.poll.registry();
        let mut connection = Connection::connect(address, source, registry, token).ok()?;
        connection.charge_to(&self.held_memory.responses);
        connection.set_unacked_timeout(UNACKED_TIMEOUT);
        self.load_balancer.connection_opened(server);
        let upstream = Upstream {
            connection,
            server: server.id.clone(),
            connected: false,
            reused: false,
            request: None,
            crash_probe: None,
            reader: ResponseReader::new(self.held_memory.responses.clone()),
            foreign_responses: 0,
            idle_since: now,
            idle_timeout: CONNECT_TIMEOUT,
        };
        self.upstreams.add(token, upstream);
        self.timers
            .add(now + CONNECT_TIMEOUT, Timer::ConnectTimeout(token.0));
        Some(token)
    }

    /// Connections that this gateway may open to one server of a service: its share of the server's limit,
    /// and at least [`MIN_CONNECTIONS`].
    pub(crate) fn connection_limit(&self, service: &str) -> u32 {
        let all = self.table.maximum_connections(service).unwrap_or(u32::MAX);
        let share = f64::from(all) * CONNECTION_SHARE / f64::from(self.retry_budgets.gateways());
        (share as u32).max(MIN_CONNECTIONS)
    }

    /// Writes the request that is assigned to an established connection.
    pub(crate) fn write_request(&mut self, token: Token) {
        let now = self.now();
        let names = self.names;
        let Some(upstream) = self.upstreams.get_mut(token) else {
            return;
        };
        let Some(request) = upstream.request.and_then(|id| self.in_flight.get(id)) else {
            return;
        };
        let left = request.expires.saturating_sub(now);
        let instance = upstream.server.name();
        let out = &mut upstream.connection;
        queue_request(out, &request.message, &names, left, instance);
        let unsent = upstream.connection.unsent();
        if upstream.connection.flush().is_ok() {
            return;
        }
        match upstream.connection.unsent() == unsent {
            true => self.on_connect_failure(token, ConnectFailure::Refused),
            false => self.fail_connection(token, "connection broke while the request was sent"),
        }
    }

    /// Handles the timeout of a connection attempt.
    pub(crate) fn on_connect_timeout(&mut self, token: Token) {
        if self.upstreams.get(token).is_some_and(|one| !one.connected) {
            self.on_connect_failure(token, ConnectFailure::TimedOut);
        }
    }

    /// Drops a connection on which nothing was sent, and dispatches its request again.
    pub(crate) fn on_connect_failure(&mut self, token: Token, failure: ConnectFailure) {
        let now = self.now();
        let Some(upstream) = self.drop_upstream(token) else {
            return;
        };
        let server = upstream.server;
        self.note_connect_failure(&server, failure, upstream.idle_since);
        let pause = self.load_balancer.connection_failed(&server, now);
        self.metrics.note_suspected("no connection");
        event!(
            Event::ServerSuspected,
            instance = server,
            reason = "no connection",
            pause_ms = pause.as_millis()
        );
        let Some(id) = upstream.request else {
            return;
        };
        if self.end_attempt(id).is_none() {
            return;
        }
        let Some(request) = self.in_flight.get_mut(id) else {
            return;
        };
        request.attempts -= 1;
        request.connect_failures += 1;
        if failure == ConnectFailure::TimedOut {
            request.timed_out_since = Some(upstream.idle_since);
        }
        request.state = InFlightState::Dispatching;
        match request.connect_failures > MAX_CONNECT_FAILURES {
            true => self.refuse(id, Refusal::Unreachable),
            false => self.dispatch(id),
        }
    }

    /// Handles an event on a connection to a server.
    pub(crate) fn on_upstream(&mut self, token: Token) {
        let now = self.now();
        let Some(upstream) = self.upstreams.get_mut(token) else {
            return;
        };
        if !upstream.connected {
            match upstream.connection.check_connected() {
                Ok(false) => return,
                Err(_) => {
                    self.record_probed_crash(token);
                    return self.on_connect_failure(token, ConnectFailure::Refused);
                }
                Ok(true) => {
                    upstream.connected = true;
                    upstream.crash_probe = None;
                    let has_request = upstream.request.is_some();
                    self.note_connected(token, now);
                    match has_request {
                        true => self.write_request(token),
                        false => self.upstreams.release_unused(token, now),
                    }
                }
            }
        }
        let Some(upstream) = self.upstreams.get_mut(token) else {
            return;
        };
        let outcome = upstream.connection.fill(READ_LIMIT);
        if !upstream.connection.inbound.is_empty() {
            self.note_received(token, now);
        }
        let Some(upstream) = self.upstreams.get_mut(token) else {
            return;
        };
        if upstream.connection.flush().is_err() {
            return self.fail_connection(token, "connection broke");
        }
        let Some(id) = upstream.request else {
            // Bytes or a close on an idle connection make it unusable.
            let is_quiet = upstream.connection.inbound.is_empty();
            if !is_quiet {
                self.metrics.surplus_answers.inc();
            }
            if !is_quiet || !matches!(outcome, Ok(ReadOutcome::Open)) {
                self.drop_upstream(token);
            }
            return;
        };
        self.read_response(token, id, outcome);
    }

    /// Parses the response out of the bytes that were received.
    pub(crate) fn read_response(
        &mut self,
        token: Token,
        id: InFlightId,
        outcome: std::io::Result<ReadOutcome>,
    ) {
        let names = self.names;
        loop {
            let (Some(upstream), Some(request)) =
                (self.upstreams.get_mut(token), self.in_flight.get(id))
            else {
                return;
            };
            let has_body = request.message.method != "HEAD";
            let limit = self.settings.memory_bounds().message as u64;
            let inbound = &mut upstream.connection.inbound;
            let mut taken = upstream.reader.take(inbound, has_body, limit);
            if matches!((&taken, &outcome), (Ok(None), Ok(ReadOutcome::Closed))) {
                taken = upstream.reader.end(&upstream.connection.inbound);
            }
            match (taken, &outcome) {
                (Ok(Some(response)), _)
                    if belongs_to_request(&response, &request.request_id, &names) =>
                {
                    return self.on_response(token, id, response);
                }
                (Ok(Some(response)), _) => {
                    self.metrics.foreign_answers.inc();
                    event!(
                        Event::AnswerForeign,
                        id = request.request_id,
                        instance = upstream.server
                    );
                    upstream.foreign_responses += 1;
                    let is_endless = upstream.foreign_responses > MAX_FOREIGN_RESPONSES;
                    let server = upstream.server.clone();
                    self.apply_statement(&server, UNKNOWN_SEND_TIME, &response);
                    if is_endless {
                        return self.fail_connection(token, "too many responses to other requests");
                    }
                }
                (Ok(None), Ok(_)) if self.is_over_memory(token) => {
                    return self.fail_connection(token, "responses use too much memory");
                }
                (Ok(None), Ok(ReadOutcome::Full)) => {
                    // The buffer was drained into the response, so more bytes may be waiting.
                    self.unfinished.insert(token);
                    return;
                }
                (Ok(None), Ok(ReadOutcome::Open)) => return,
                (Ok(None), Ok(ReadOutcome::Closed)) => {
                    return self.fail_connection(token, "server closed without an answer");
                }
                (Ok(None), Err(_)) => return self.fail_connection(token, "connection broke"),
                (Err(error), _) => return self.fail_connection(token, &error.to_string()),
            }
        }
    }

    /// Whether a response has grown large while there is no memory for it.
    fn is_over_memory(&mut self, token: Token) -> bool {
        let held = |one: &Upstream| one.reader.charged_bytes();
        let grown = self.upstreams.get(token).map_or(0, held);
        grown >= LARGE_RESPONSE_BYTES && !self.has_memory_for_responses()
    }

    /// Handles a complete response.
    pub(crate) fn on_response(&mut self, token: Token, id: InFlightId, response: Response) {
        let now = self.now();
        let names = self.names;
        let Some((server, since)) = self.end_attempt(id) else {
            return;
        };
        let idle_timeout = self.apply_statement(&server, since, &response);
        let Some(request) = self.in_flight.get(id) else {
            return;
        };
        self.link_queue
            .note_answer(&request.service, response.body.len());
        if !self.crashes.is_empty() && response.fields.get(names.signature).is_some() {
            self.crashes.clear(fingerprint(&request.message, &names));
        }
        let upstream = self.upstreams.get(token);
        let is_attributed =
            upstream.is_some_and(|one| is_attributed(&response, &names, one.reused));
        let verdict = classify(&response, &names, is_attributed);
        let reusable = upstream.is_some_and(|one| {
            let connection = &one.connection;
            let is_open = response.keeps_alive && !connection.is_read_closed();
            is_attributed && is_open && connection.inbound.is_empty()
        });
        self.record_outcome(id, verdict, &server, since);
        match reusable {
            true => self.upstreams.release(token, now, idle_timeout),
            false => _ = self.drop_upstream(token),
        }
        match verdict {
            Verdict::Final => self.forward_response(id, &response),
            _ => self.retry_or_answer(id, verdict, Some(response), &server),
        }
    }

    /// Updates what is known of a server from the response to a request that was sent at `since`.
    fn record_outcome(
        &mut self,
        id: InFlightId,
        verdict: Verdict,
        server: &InstanceId,
        since: Duration,
    ) {
        let now = self.now();
        let Some(request) = self.in_flight.get(id) else {
            return;
        };
        match verdict {
            // The cooldown that the server asked for says more than the rejection does.
            Verdict::NotRun if self.cooldowns.remaining(server, now).is_some() => {}
            Verdict::NotRun => self.load_balancer.overloaded(server, now),
            Verdict::Failed => self
                .load_balancer
                .answered_with_failure(server, now.saturating_sub(since)),
            _ => {
                let took = now.saturating_sub(since);
                let target = request.route.target_latency;
                self.load_balancer.note_service_time(&request.service, took);
                if self.load_balancer.answered(server, now, took, target) {
                    event!(Event::ServerTrusted, instance = server);
                }
            }
        }
        if !matches!(verdict, Verdict::NotRun | Verdict::NotOwner) {
            self.record_owner_time(id, server, now.saturating_sub(since));
        }
    }

    /// Drops a connection that failed after its request was sent, so that the request may have been executed.
    pub(crate) fn fail_connection(&mut self, token: Token, reason: &str) {
        let now = self.now();
        let Some(upstream) = self.drop_upstream(token) else {
            return;
        };
        let Some(id) = upstream.request else {
            return;
        };
        if upstream.reused {
            self.drop_idle(&upstream.server);
        }
        let response_began =
            upstream.reader.is_partial() || !upstream.connection.inbound.is_empty();
        if !response_began {
            self.probe_for_crash(id, &upstream.server);
        }
        let pause = self.load_balancer.connection_failed(&upstream.server, now);
        self.metrics.note_suspected("broke off");
        event!(
            Event::ServerSuspected,
            instance = upstream.server,
            reason = reason,
            pause_ms = pause.as_millis()
        );
        if self.end_attempt(id).is_some() {
            self.retry_or_answer(id, Verdict::Unknown, None, &upstream.server);
        }
    }

    /// Closes the idle connections to a server, since one of its connections failed a request.
    pub(crate) fn drop_idle(&mut self, server: &InstanceId) {
        for token in self.upstreams.idle_connections(server) {
            self.drop_upstream(token);
        }
    }

    pub(crate) fn drop_upstream(&mut self, token: Token) -> Option<Upstream> {
        let upstream = self.upstreams.remove(token)?;
        self.load_balancer.connection_closed(&upstream.server);
        Some(upstream)
    }
}
