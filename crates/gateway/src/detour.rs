//! Requests that this gateway can't send to their servers and forwards through another gateway.
//!
//! Invariants: a request that another gateway forwarded is not forwarded again. One that was handed over and is
//! without an answer may have run.

use std::net::SocketAddr;
use std::time::Duration;

use grebepin_reactor::http::{Response, ResponseReader};
use grebepin_reactor::{Connection, ReadOutcome};
use grebepin_telemetry::{event, Event};
use mio::Token;
use rand::Rng;

use crate::dispatch::MIN_TIME_LEFT;
use crate::event_loop::{EventLoop, Timer};
use crate::hop::{HopAnswer, HopOutcome, HopRequest};
use crate::http_writer::queue_forwarded_request;
use crate::in_flight::{InFlightId, InFlightState};
use crate::peer_connections::PeerConnection;
use crate::refusal::Refusal;
use crate::sending::{READ_LIMIT, UNACKED_TIMEOUT};

/// Timeout for establishing a connection to another gateway: a few round trips between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Gateways that are tried for one request while the paths to its service are lost.
const MAX_PEERS: usize = 3;

/// The same for a single server that can't be reached, which has most likely failed.
const MAX_PEERS_FOR_SERVER: usize = 1;

/// Subtracted from the time that the other gateway has for a request, so that its answer arrives before this gateway
/// gives the request up.
const ANSWER_MARGIN: Duration = Duration::from_millis(10);

/// Connections to other gateways at a time.
const MAX_CONNECTIONS: usize = 256;

impl EventLoop {
    /// Sends a request to another gateway that may reach its server; returns false if there is none to try.
    /// `target` is the server that can't be reached, or the service if none of its servers can.
    pub(crate) fn forward_to_peer(&mut self, id: InFlightId, target: &str) -> bool {
        let now = self.now();
        if self.peers.is_empty() {
            self.update_peers();
        }
        let Some(request) = self.in_flight.get(id) else {
            return false;
        };
        let paths_lost = self.reachability.is_lost(&request.service);
        let limit = match paths_lost {
            true => MAX_PEERS,
            false => MAX_PEERS_FOR_SERVER,
        };
        let is_allowed = !request.is_forwarded
            && request.tried_peers.len() < limit
            && request.attempts < request.route.maximum_attempts
            && now + ANSWER_MARGIN + MIN_TIME_LEFT < request.expires
            && self.peers.may_reach(target, now);
        if !is_allowed {
            return false;
        }
        let (service, tried) = (&request.service, &request.tried_peers);
        let random = &mut self.random;
        let mut random = || random.random::<f64>();
        let peer = self.peers.choose(now, service, tried, &mut random);
        let Some(peer) = peer else {
            return false;
        };
        let Some(token) = self.peer_connection(peer, now) else {
            return false;
        };
        self.assign_to_peer(id, token, peer, target);
        true
    }

    /// Takes over the addresses of the other gateways from the directory's client.
    pub(crate) fn update_peers(&mut self) {
        if let Some(port) = self.settings.peer_port() {
            let gateways = self.directory.gateways();
            let addresses = gateways.filter_map(|one| one.parse::<SocketAddr>().ok());
            let addresses = addresses.map(|one| SocketAddr::new(one.ip(), port));
            self.peers.update(addresses);
        }
    }

    /// An idle or new connection to another gateway.
    fn peer_connection(&mut self, peer: SocketAddr, now: Duration) -> Option<Token> {
        if let Some(token) = self.peer_connections.idle(peer) {
            return Some(token);
        }
        if self.peer_connections.len() >= MAX_CONNECTIONS {
            return None;
        }
        let token = self.allocate_token();
        let source = self.settings.bind_ip;
        let connection = Connection::connect(peer, source, self.poll.registry(), token);
        let Ok(mut connection) = connection else {
            self.peers.failed(now, peer);
            return None;
        };
        connection.charge_to(&self.held_memory.responses);
        connection.set_unacked_timeout(UNACKED_TIMEOUT);
        let connection = PeerConnection {
            connection,
            peer,
            connected: false,
            request: None,
            reader: ResponseReader::new(self.held_memory.responses.clone()),
            idle_since: now,
        };
        self.peer_connections.add(token, connection);
        let due = Timer::PeerConnectTimeout(token.0);
        self.timers.add(now + CONNECT_TIMEOUT, due);
        Some(token)
    }

    fn assign_to_peer(&mut self, id: InFlightId, token: Token, peer: SocketAddr, target: &str) {
        let Some(request) = self.in_flight.get_mut(id) else {
            return;
        };
        event!(
            Event::RequestForwarded,
            id = request.request_id,
            gateway = peer,
            unreachable = target,
            tried = request.tried_peers.len()
        );
        if request.tried_peers.is_empty() {
            // The other gateways count the request from now on.
            self.retry_budgets.forget_request(&request.service);
        }
        request.tried_peers.push(peer);
        request.unreachable_target = target.to_owned();
        request.state = InFlightState::Forwarded { connection: token };
        self.peers.begin(peer);
        self.metrics.forwarded_requests.inc();
        let Some(connection) = self.peer_connections.get_mut(token) else {
            return;
        };
        connection.request = Some(id);
        if connection.connected {
            self.write_to_peer(token);
        }
    }

    fn write_to_peer(&mut self, token: Token) {
        let now = self.now();
        let names = self.names;
        let Some(connection) = self.peer_connections.get_mut(token) else {
            return;
        };
        let Some(request) = connection.request.and_then(|id| self.in_flight.get(id)) else {
            return;
        };
        let hop = HopRequest {
            service: request.service.clone(),
            is_client_retry: request.is_client_retry,
            attempts: request.attempts,
            only_if_heard: !self.reachability.is_lost(&request.service),
        };
        let left = request.expires.saturating_sub(now + ANSWER_MARGIN);
        let out = &mut connection.connection;
        queue_forwarded_request(out, &request.message, &names, left, &hop);
        let unsent = connection.connection.unsent();
        if connection.connection.flush().is_ok() {
            return;
        }
        match connection.connection.unsent() == unsent {
            true => self.on_peer_unavailable(token),
            false => self.on_peer_failure(token),
        }
    }

    /// Handles the timeout of an attempt to connect to another gateway.
    pub(crate) fn on_peer_connect_timeout(&mut self, token: Token) {
        let connection = self.peer_connections.get(token);
        if connection.is_some_and(|one| !one.connected) {
            self.on_peer_unavailable(token);
        }
    }

    /// Handles an event on a connection to another gateway.
    pub(crate) fn on_peer(&mut self, token: Token) {
        let Some(connection) = self.peer_connections.get_mut(token) else {
            return;
        };
        if !connection.connected {
            match connection.connection.check_connected() {
                Ok(false) => return,
                Err(_) => return self.on_peer_unavailable(token),
                Ok(true) => {
                    connection.connected = true;
                    self.write_to_peer(token);
                }
            }
        }
        self.read_from_peer(token);
    }

    fn read_from_peer(&mut self, token: Token) {
        let limit = self.settings.memory_bounds().message as u64;
        loop {
            let Some(connection) = self.peer_connections.get_mut(token) else {
                return;
            };
            let outcome = connection.connection.fill(READ_LIMIT);
            let is_flushed = connection.connection.flush().is_ok();
            let Some(id) = connection.request else {
                // Bytes or a close on an idle connection make it unusable.
                let is_quiet = connection.connection.inbound.is_empty();
                if !is_quiet || !is_flushed || !matches!(outcome, Ok(ReadOutcome::Open)) {
                    self.peer_connections.remove(token);
                }
                return;
            };
            let has_body = self
                .in_flight
                .get(id)
                .is_none_or(|request| request.message.method != "HEAD");
            let inbound = &mut connection.connection.inbound;
            let taken = connection.reader.take(inbound, has_body, limit);
            match (taken, outcome) {
                (Ok(Some(response)), _) => return self.on_peer_response(token, id, &response),
                (Ok(None), Ok(ReadOutcome::Full)) => {}
                (Ok(None), Ok(ReadOutcome::Open)) if is_flushed => return,
                _ => return self.on_peer_failure(token),
            }
        }
    }

    fn on_peer_response(&mut self, token: Token, id: InFlightId, response: &Response) {
        let now = self.now();
        let Some(peer) = self.release_peer_connection(token, response.keeps_alive) else {
            return;
        };
        let Some(request) = self.in_flight.get(id) else {
            return;
        };
        let target = request.unreachable_target.clone();
        let service = request.service.clone();
        self.link_queue
            .note_answer(&request.service, response.body.len());
        let HopAnswer {
            outcome,
            attempts,
            zone,
        } = HopAnswer::read(response);
        if let (Some(request), Some(attempts)) = (self.in_flight.get_mut(id), attempts) {
            request.attempts = request.attempts.max(attempts);
        }
        match outcome {
            Some(HopOutcome::Unavailable) => self.peers.failed(now, peer),
            Some(HopOutcome::Overloaded) => self.peers.overloaded(now, peer),
            _ => self.peers.answered(peer, zone),
        }
        match outcome {
            None => {
                self.peers.reached(&target);
                self.peers.served(peer, &service);
                self.forward_response(id, response);
            }
            Some(HopOutcome::Refused) => {
                self.peers.reached(&target);
                self.refuse_as_peer(id, response);
            }
            // Another try would put the request's bytes on this gateway's link once more.
            Some(HopOutcome::Overloaded) => self.refuse_as_peer(id, response),
            Some(HopOutcome::Unknown) => {
                self.fail(id, response.status, "failed at another gateway")
            }
            Some(HopOutcome::Unreachable) => {
                self.peers.unreachable(&target, now);
                self.dispatch_again(id);
            }
            Some(HopOutcome::PathsLost) => {
                self.peers.lost_paths(now, peer, &service);
                self.dispatch_again(id);
            }
            Some(HopOutcome::Unavailable) => self.dispatch_again(id),
        }
    }

    /// Refuses a request for the time that another gateway said.
    fn refuse_as_peer(&mut self, id: InFlightId, response: &Response) {
        let retry_after = response.fields.get("retry-after");
        let retry_after = retry_after.and_then(|text| text.parse().ok());
        let retry_after = retry_after.and_then(|one| Duration::try_from_secs_f64(one).ok());
        self.refuse(id, Refusal::AtPeer { retry_after });
    }

    /// Ends the use of a connection by its request; returns the gateway.
    fn release_peer_connection(&mut self, token: Token, keeps_alive: bool) -> Option<SocketAddr> {
        let now = self.now();
        let connection = self.peer_connections.get_mut(token)?;
        let peer = connection.peer;
        connection.request = None;
        connection.idle_since = now;
        connection.connection.trim();
        let is_reusable = keeps_alive
            && !connection.connection.is_read_closed()
            && connection.connection.inbound.is_empty();
        self.peers.end(peer);
        if !is_reusable {
            self.peer_connections.remove(token);
        }
        Some(peer)
    }

    /// Drops a connection on which nothing was sent, and dispatches its request again.
    fn on_peer_unavailable(&mut self, token: Token) {
        let now = self.now();
        let Some(connection) = self.peer_connections.remove(token) else {
            return;
        };
        self.peers.failed(now, connection.peer);
        if let Some(id) = connection.request {
            self.peers.end(connection.peer);
            self.dispatch_again(id);
        }
    }

    /// Drops a connection that failed after a request was sent on it, so that the request may have run.
    fn on_peer_failure(&mut self, token: Token) {
        let now = self.now();
        let Some(connection) = self.peer_connections.remove(token) else {
            return;
        };
        self.peers.failed(now, connection.peer);
        let Some(id) = connection.request else {
            return;
        };
        self.peers.end(connection.peer);
        self.fail(id, 502, "another gateway broke off");
    }

    /// Dispatches a request that another gateway did not send to any server.
    fn dispatch_again(&mut self, id: InFlightId) {
        if let Some(request) = self.in_flight.get_mut(id) {
            request.state = InFlightState::Dispatching;
        }
        self.dispatch(id);
    }

    /// Closes the connection of a forwarded request that was given up.
    pub(crate) fn cancel_forwarded(&mut self, token: Token) {
        if let Some(connection) = self.peer_connections.remove(token) {
            self.peers.end(connection.peer);
        }
    }
}
