//! A request at a server: connected, written, answered or broken off.

use std::time::Duration;

use grebepin_catalog::{Instance, InstanceId};
use grebepin_reactor::http::{Response, ResponseReader};
use grebepin_reactor::{Connection, ReadOutcome};
use grebepin_telemetry::{event, Event};
use mio::Token;

use crate::answers::write_request;
use crate::crash_history::fingerprint;
use crate::flight::{FlightId, Place};
use crate::refusal::Refusal;
use crate::server::{Due, Server};
use crate::upstreams::Upstream;
use crate::verdict::{belongs_to_request, classify, Verdict};

/// Time a connection to a server may take to come up.
const CONNECT_LIMIT: Duration = Duration::from_millis(250);

/// Time for which bytes to a server may stay unacknowledged.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_500);

/// Connections that may fail to come up for one request.
const UNREACHED_LIMIT: u32 = 3;

/// Largest answer that is held, in bytes.
const ANSWER_LIMIT: u64 = 64 << 20;

/// Bytes of an answer taken in at once.
const ANSWER_BUFFER: usize = 1 << 20;

/// When the request of a surplus answer was sent: it is not known, so the answer ends nothing that was stated since.
const SENT_LONG_AGO: Duration = Duration::ZERO;

/// Part of the connections of a server that all gateways together may use.
const CONNECTION_PART: f64 = 0.8;

/// Fewest connections that one gateway may make to a server.
const LEAST_CONNECTIONS: u32 = 2;

impl Server {
    /// Puts a request on a connection to a server.
    pub(crate) fn send(&mut self, id: FlightId, server: &Instance) {
        let now = self.now();
        let resting = self.upstreams.take_resting(&server.id, now);
        let token = match resting {
            Some(token) => token,
            None => match self.connect(server, now) {
                Some(token) => token,
                None => return self.refuse(id, Refusal::NoConnection),
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
        if server.is_cold {
            self.use_turn(server, now);
        }
        let gateways = self.budgets.gateways();
        if self.stated_rates.note_sent(&server.id, now, gateways) {
            self.metrics.sent_at_stated_rates.inc();
        }
        if self.cooldowns.remaining(&server.id, now).is_some() {
            self.metrics.sent_in_cooldowns.inc();
        }
        let Some(upstream) = self.upstreams.get_mut(token) else {
            return;
        };
        upstream.flight = Some(id);
        if upstream.connected {
            self.write_request(token);
        }
    }

    /// Uses up this gateway's present turn at a server that warms up.
    fn use_turn(&mut self, server: &Instance, now: Duration) {
        if let Some(rate) = self.table.warmup_rate(&server.service) {
            let gateways = self.budgets.gateways();
            self.warmup.note_sent(&server.id, now, rate, gateways);
        }
    }

    pub(crate) fn connect(&mut self, server: &Instance, now: Duration) -> Option<Token> {
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
        self.balance.connection_opened(server);
        let upstream = Upstream {
            connection,
            server: server.id.clone(),
            connected: false,
            reused: false,
            flight: None,
            shows_crash_by: None,
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
    pub(crate) fn connection_limit(&self, service: &str) -> u32 {
        let all = self.table.maximum_connections(service).unwrap_or(u32::MAX);
        let part = f64::from(all) * CONNECTION_PART / f64::from(self.budgets.gateways());
        (part as u32).max(LEAST_CONNECTIONS)
    }

    /// Writes the request of a connection that is up.
    pub(crate) fn write_request(&mut self, token: Token) {
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
        write_request(out, &flight.request, &names, left, upstream.server.name());
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
    pub(crate) fn fail_to_connect(&mut self, token: Token) {
        let now = self.now();
        let Some(upstream) = self.drop_upstream(token) else {
            return;
        };
        let server = upstream.server;
        let pause = self.balance.connection_failed(&server, now);
        self.metrics.note_suspected("no connection");
        event!(
            Event::ServerSuspected,
            instance = server,
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
            true => self.refuse(id, Refusal::Unreachable),
            false => self.dispatch(id),
        }
    }

    /// Something came from a server, or can be sent to it.
    pub(crate) fn on_upstream(&mut self, token: Token) {
        let now = self.now();
        let Some(upstream) = self.upstreams.get_mut(token) else {
            return;
        };
        if !upstream.connected {
            match upstream.connection.check_connected() {
                Ok(false) => return,
                Err(_) => {
                    self.note_refused_connection(token);
                    return self.fail_to_connect(token);
                }
                Ok(true) => {
                    upstream.connected = true;
                    match upstream.shows_crash_by.take() {
                        Some(_) => self.upstreams.rest_unused(token, now),
                        None => self.write_request(token),
                    }
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
    pub(crate) fn read_answer(
        &mut self,
        token: Token,
        id: FlightId,
        outcome: std::io::Result<ReadOutcome>,
    ) {
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
                (Ok(Some(response)), _)
                    if belongs_to_request(&response, &flight.request_id, &names) =>
                {
                    return self.on_answer(token, id, response);
                }
                (Ok(Some(response)), _) => {
                    self.metrics.foreign_answers.inc();
                    event!(
                        Event::AnswerForeign,
                        id = flight.request_id,
                        instance = upstream.server
                    );
                    let server = upstream.server.clone();
                    self.note_statement(&server, SENT_LONG_AGO, &response);
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
    pub(crate) fn on_answer(&mut self, token: Token, id: FlightId, response: Response) {
        let now = self.now();
        let names = self.names;
        let Some((server, since)) = self.leave_server(id) else {
            return;
        };
        self.note_statement(&server, since, &response);
        let Some(flight) = self.flights.get(id) else {
            return;
        };
        self.link_queue
            .note_answer(&flight.service, response.body.len());
        if !self.crashes.is_empty() && response.fields.get(names.signature).is_some() {
            self.crashes.clear(fingerprint(&flight.request, &names));
        }
        let verdict = classify(&response, &names);
        self.learn_from_answer(id, verdict, &server, since);
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

    /// Takes in how a server deals with requests, from an answer to one that was sent at `since`.
    fn learn_from_answer(
        &mut self,
        id: FlightId,
        verdict: Verdict,
        server: &InstanceId,
        since: Duration,
    ) {
        let now = self.now();
        let Some(flight) = self.flights.get(id) else {
            return;
        };
        match verdict {
            // What it asked for says more than what this gateway would learn from being turned away.
            Verdict::NotRun if self.cooldowns.remaining(server, now).is_some() => {}
            Verdict::NotRun => self.balance.overloaded(server, now),
            Verdict::Failed => self
                .balance
                .answered_with_failure(server, now.saturating_sub(since)),
            _ => {
                let took = now.saturating_sub(since);
                let wanted = flight.route.target_latency;
                self.balance.note_service_time(&flight.service, took);
                if self.balance.answered(server, now, took, wanted) {
                    event!(Event::ServerTrusted, instance = server);
                }
            }
        }
        if !matches!(verdict, Verdict::NotRun | Verdict::NotOwner) {
            self.report_work(id, server, now.saturating_sub(since));
        }
    }

    /// A connection with a request on it broke: the request may have run.
    pub(crate) fn break_off(&mut self, token: Token, reason: &str) {
        let now = self.now();
        let Some(upstream) = self.drop_upstream(token) else {
            return;
        };
        let Some(id) = upstream.flight else {
            return;
        };
        if upstream.reused {
            self.drop_resting(&upstream.server);
        }
        let began_answer = upstream.reader.is_within() || !upstream.connection.inbound.is_empty();
        if !began_answer {
            self.look_for_crash(id, &upstream.server);
        }
        let pause = self.balance.connection_failed(&upstream.server, now);
        self.metrics.note_suspected("broke off");
        event!(
            Event::ServerSuspected,
            instance = upstream.server,
            reason = reason,
            pause_ms = pause.as_millis()
        );
        if self.leave_server(id).is_some() {
            self.decide(id, Verdict::Unknown, None, &upstream.server);
        }
    }

    /// Closes the connections to a server that rest, since one of its connections failed a request.
    pub(crate) fn drop_resting(&mut self, server: &InstanceId) {
        for token in self.upstreams.resting_at(server) {
            self.drop_upstream(token);
        }
    }

    /// Closes a connection to a server.
    pub(crate) fn drop_upstream(&mut self, token: Token) -> Option<Upstream> {
        let upstream = self.upstreams.remove(token)?;
        self.balance.connection_closed(&upstream.server);
        Some(upstream)
    }
}
