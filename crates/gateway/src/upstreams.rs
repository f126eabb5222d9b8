//! Connections to servers: at most one request at a time on each, the last used first.
//!
//! Invariant: a connection serves a second request only after the answer to the first was whole and
//! nothing came after it.

use std::collections::HashMap;
use std::time::Duration;

use grebepin_catalog::{Fingerprint, InstanceId};
use grebepin_reactor::http::{Fields, ResponseReader};
use grebepin_reactor::Connection;
use mio::Token;

use crate::flight::FlightId;

/// Rest after which a connection is not used again when the server states no time.
const DEFAULT_REST: Duration = Duration::from_secs(4);

/// Allowance for the way to the server.
const REST_MARGIN: Duration = Duration::from_millis(700);

/// A connection to a server.
#[derive(Debug)]
pub struct Upstream {
    /// The connection.
    pub connection: Connection,
    /// The server.
    pub server: InstanceId,
    /// Whether it is up.
    pub connected: bool,
    /// Whether it carried a request before the present one.
    pub reused: bool,
    /// Request on it.
    pub flight: Option<FlightId>,
    /// The request that broke off another connection, for one that only shows whether its server is still there.
    pub shows_crash_by: Option<Fingerprint>,
    /// Reads its answers.
    pub reader: ResponseReader,
    /// When it came to rest.
    pub rested_since: Duration,
    /// Longest rest after which it is used again.
    pub rest_limit: Duration,
}

/// All connections to servers.
#[derive(Debug, Default)]
pub struct Upstreams {
    connections: HashMap<Token, Upstream>,
    resting: HashMap<InstanceId, Vec<Token>>,
}

impl Upstreams {
    /// Whether a token names one of these connections.
    pub fn owns(&self, token: Token) -> bool {
        self.connections.contains_key(&token)
    }

    /// A connection, to be changed.
    pub fn get_mut(&mut self, token: Token) -> Option<&mut Upstream> {
        self.connections.get_mut(&token)
    }

    /// A connection.
    pub fn get(&self, token: Token) -> Option<&Upstream> {
        self.connections.get(&token)
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Takes in a connection that was begun.
    pub fn add(&mut self, token: Token, upstream: Upstream) {
        self.connections.insert(token, upstream);
    }

    /// Takes the connection to a server that rested the shortest.
    pub fn take_resting(&mut self, server: &InstanceId, now: Duration) -> Option<Token> {
        let resting = self.resting.get_mut(server)?;
        let token = resting.pop()?;
        let upstream = self.connections.get(&token)?;
        if now < upstream.rested_since + upstream.rest_limit {
            return Some(token);
        }
        resting.push(token);
        None
    }

    /// Lays a connection to rest after a whole answer.
    pub fn rest(&mut self, token: Token, now: Duration, fields: &Fields) {
        if let Some(upstream) = self.connections.get_mut(&token) {
            upstream.flight = None;
            upstream.reused = true;
            upstream.rested_since = now;
            upstream.rest_limit = rest_limit(fields);
            upstream.connection.trim();
            let resting = self.resting.entry(upstream.server.clone()).or_default();
            resting.push(token);
        }
    }

    /// Lays a connection to rest that came up and carried nothing yet.
    pub fn rest_unused(&mut self, token: Token, now: Duration) {
        if let Some(upstream) = self.connections.get_mut(&token) {
            upstream.rested_since = now;
            upstream.rest_limit = DEFAULT_REST;
            let resting = self.resting.entry(upstream.server.clone()).or_default();
            resting.push(token);
        }
    }

    /// Connections to a server that are not up yet, and the requests that wait for them.
    pub fn connecting_to(&self, server: &InstanceId) -> Vec<(Token, FlightId)> {
        let connecting = self.connections.iter();
        connecting
            .filter(|(_, one)| !one.connected && one.server == *server)
            .filter_map(|(token, one)| Some((*token, one.flight?)))
            .collect()
    }

    /// Connections to a server that rest. After one fell silent without an end, others that were open then may have as
    /// well, and each would cost a request its whole time to find out.
    pub fn resting_at(&self, server: &InstanceId) -> Vec<Token> {
        self.resting.get(server).cloned().unwrap_or_default()
    }

    /// Closes a connection.
    pub fn remove(&mut self, token: Token) -> Option<Upstream> {
        let upstream = self.connections.remove(&token)?;
        if let Some(resting) = self.resting.get_mut(&upstream.server) {
            resting.retain(|one| *one != token);
            if resting.is_empty() {
                self.resting.remove(&upstream.server);
            }
        }
        Some(upstream)
    }

    /// Connections that rested too long, or whose server is used no more.
    pub fn expired(&self, now: Duration, is_used: impl Fn(&InstanceId) -> bool) -> Vec<Token> {
        let resting = self
            .connections
            .iter()
            .filter(|(_, one)| one.flight.is_none());
        resting
            .filter(|(_, one)| now >= one.rested_since + one.rest_limit || !is_used(&one.server))
            .map(|(token, _)| *token)
            .collect()
    }
}

/// How long a connection may rest, from what the server stated.
fn rest_limit(fields: &Fields) -> Duration {
    let stated = fields.get("keep-alive").and_then(|value| {
        let parts = value.split(',');
        let mut timeouts = parts.filter_map(|part| part.trim().strip_prefix("timeout="));
        timeouts.next()?.trim().parse::<u64>().ok()
    });
    match stated {
        Some(seconds) => Duration::from_secs(seconds).saturating_sub(REST_MARGIN),
        None => DEFAULT_REST,
    }
}

#[cfg(test)]
mod tests;
