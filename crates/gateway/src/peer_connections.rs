//! Connections to other gateways that carry forwarded requests, one at a time each.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use grebepin_reactor::http::ResponseReader;
use grebepin_reactor::Connection;
use mio::Token;

use crate::in_flight::InFlightId;

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// A connection to another gateway.
#[derive(Debug)]
pub struct PeerConnection {
    pub connection: Connection,
    pub peer: SocketAddr,
    pub connected: bool,
    /// The request on this connection.
    pub request: Option<InFlightId>,
    pub reader: ResponseReader,
    /// When the connection was opened or last became idle.
    pub idle_since: Duration,
}

/// All connections to other gateways.
#[derive(Debug, Default)]
pub struct PeerConnections {
    connections: HashMap<Token, PeerConnection>,
}

impl PeerConnections {
    /// Whether a token belongs to one of these connections.
    pub fn owns(&self, token: Token) -> bool {
        self.connections.contains_key(&token)
    }

    pub fn get(&self, token: Token) -> Option<&PeerConnection> {
        self.connections.get(&token)
    }

    pub fn get_mut(&mut self, token: Token) -> Option<&mut PeerConnection> {
        self.connections.get_mut(&token)
    }

    pub fn len(&self) -> usize {
        self.connections.len()
    }

    pub fn add(&mut self, token: Token, connection: PeerConnection) {
        self.connections.insert(token, connection);
    }

    pub fn remove(&mut self, token: Token) -> Option<PeerConnection> {
        self.connections.remove(&token)
    }

    /// The most recently used idle connection to a gateway.
    pub fn idle(&self, peer: SocketAddr) -> Option<Token> {
        let connections = self.connections.iter();
        let idle = connections.filter(|(_, one)| one.peer == peer && one.is_idle());
        let newest = idle.max_by_key(|(_, one)| one.idle_since);
        newest.map(|(token, _)| *token)
    }

    /// Closes connections that have been idle for too long.
    pub fn close_idle(&mut self, now: Duration) {
        self.connections
            .retain(|_, one| !one.is_idle() || now < one.idle_since + IDLE_TIMEOUT);
    }
}

impl PeerConnection {
    fn is_idle(&self) -> bool {
        self.connected && self.request.is_none()
    }
}
