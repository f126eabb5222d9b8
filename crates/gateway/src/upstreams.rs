//! Pool of connections to servers. Each connection carries at most one request at a time, and the most
//! recently used idle one is reused first.
//!
//! Invariant: a connection is reused only after the previous response was complete and no bytes followed it.

use std::collections::HashMap;
use std::time::Duration;

use grebepin_catalog::{Fingerprint, InstanceId};
use grebepin_reactor::http::ResponseReader;
use grebepin_reactor::Connection;
use mio::Token;

use crate::in_flight::InFlightId;

/// Idle timeout for servers that state none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Subtracted from the idle timeout that a server states, to allow for the network delay to the server.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(700);

/// A connection to a server.
#[derive(Debug)]
pub struct Upstream {
    pub connection: Connection,
    pub server: InstanceId,
    /// Whether the connection is established.
    pub connected: bool,
    /// Whether it carried a request before the current one.
    pub reused: bool,
    /// The request on this connection.
    pub request: Option<InFlightId>,
    /// Set on a connection that only probes for a crash: fingerprint of the request on whose connection the
    /// server failed.
    pub crash_probe: Option<Fingerprint>,
    pub reader: ResponseReader,
    /// Number of responses to other requests that were received in place of the current request's.
    pub foreign_responses: u32,
    /// When the connection was opened or last became idle.
    pub idle_since: Duration,
    /// Longest idle time after which the connection is used again.
    pub idle_timeout: Duration,
}

impl Upstream {
    /// Whether the connection has been idle for too long to be used again. Computes the age and not the end
    /// of the time, since sums with a time that a server states could overflow.
    fn is_expired(&self, now: Duration) -> bool {
        now.saturating_sub(self.idle_since) >= self.idle_timeout
    }
}

/// All connections to servers.
#[derive(Debug, Default)]
pub struct Upstreams {
    connections: HashMap<Token, Upstream>,
    idle: HashMap<InstanceId, Vec<Token>>,
}

impl Upstreams {
    /// Whether a token belongs to one of these connections.
    pub fn owns(&self, token: Token) -> bool {
        self.connections.contains_key(&token)
    }

    pub fn get_mut(&mut self, token: Token) -> Option<&mut Upstream> {
        self.connections.get_mut(&token)
    }

    pub fn get(&self, token: Token) -> Option<&Upstream> {
        self.connections.get(&token)
    }

    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Adds a connection that is being established.
    pub fn add(&mut self, token: Token, upstream: Upstream) {
        self.connections.insert(token, upstream);
    }

    /// Takes the most recently used idle connection to a server that is not in `excluded`, unless it has been
    /// idle for too long.
    pub fn take_idle(
        &mut self,
        server: &InstanceId,
        now: Duration,
        excluded: &[Token],
    ) -> Option<Token> {
        let idle = self.idle.get_mut(server)?;
        let position = idle.iter().rposition(|token| !excluded.contains(token))?;
        let upstream = self.connections.get(&idle[position])?;
        match upstream.is_expired(now) {
            true => None,
            false => Some(idle.remove(position)),
        }
    }

    /// Whether a connection is an idle one to a server.
    pub fn is_idle_at(&self, token: Token, server: &InstanceId) -> bool {
        let idle = self.idle.get(server);
        idle.is_some_and(|idle| idle.contains(&token))
    }

    /// Returns a connection to the pool after a complete response. `stated` is the idle timeout that the
    /// response states.
    pub fn release(&mut self, token: Token, now: Duration, stated: Option<Duration>) {
        if let Some(upstream) = self.connections.get_mut(&token) {
            upstream.request = None;
            upstream.reused = true;
            upstream.foreign_responses = 0;
            upstream.idle_since = now;
            upstream.idle_timeout = stated.map_or(DEFAULT_IDLE_TIMEOUT, |stated| {
                stated.saturating_sub(IDLE_TIMEOUT_MARGIN)
            });
            upstream.connection.trim();
            let idle = self.idle.entry(upstream.server.clone()).or_default();
            idle.push(token);
        }
    }

    /// Adds a connection to the pool that was established and carried no request.
    pub fn release_unused(&mut self, token: Token, now: Duration) {
        if let Some(upstream) = self.connections.get_mut(&token) {
            upstream.idle_since = now;
            upstream.idle_timeout = DEFAULT_IDLE_TIMEOUT;
            let idle = self.idle.entry(upstream.server.clone()).or_default();
            idle.push(token);
        }
    }

    /// Connections to a server that are not established yet and have a request assigned.
    pub fn connecting_to(&self, server: &InstanceId) -> Vec<(Token, InFlightId)> {
        let connecting = self.connections.iter();
        connecting
            .filter(|(_, one)| !one.connected && one.server == *server)
            .filter_map(|(token, one)| Some((*token, one.request?)))
            .collect()
    }

    /// Whether a connection to a server is being established.
    pub fn is_connecting_to(&self, server: &InstanceId) -> bool {
        let mut connections = self.connections.values();
        connections.any(|one| !one.connected && one.server == *server)
    }

    /// All connections with their tokens.
    pub fn iter(&self) -> impl Iterator<Item = (Token, &Upstream)> {
        self.connections.iter().map(|(token, one)| (*token, one))
    }

    /// Whether there is an idle connection to a server.
    pub fn has_idle(&self, server: &InstanceId) -> bool {
        self.idle.contains_key(server)
    }

    /// Idle connections to a server. After one connection was lost without a close, others that were open at
    /// the time may be dead as well, and each would cost a request its whole time to find out.
    pub fn idle_connections(&self, server: &InstanceId) -> Vec<Token> {
        self.idle.get(server).cloned().unwrap_or_default()
    }

    /// Removes a connection, which closes it when the result is dropped.
    pub fn remove(&mut self, token: Token) -> Option<Upstream> {
        let upstream = self.connections.remove(&token)?;
        if let Some(idle) = self.idle.get_mut(&upstream.server) {
            idle.retain(|one| *one != token);
            if idle.is_empty() {
                self.idle.remove(&upstream.server);
            }
        }
        Some(upstream)
    }

    /// Connections without a request that have been idle for too long, or whose server is no longer used.
    pub fn expired(&self, now: Duration, is_used: impl Fn(&InstanceId) -> bool) -> Vec<Token> {
        let idle = self
            .connections
            .iter()
            .filter(|(_, one)| one.request.is_none());
        idle.filter(|(_, one)| one.is_expired(now) || !is_used(&one.server))
            .map(|(token, _)| *token)
            .collect()
    }
}

#[cfg(test)]
mod tests;
