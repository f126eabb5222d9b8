//! Outbound connections to other replicas.

use std::collections::{BTreeSet, HashMap};
use std::net::IpAddr;
use std::time::Duration;

use grebepin_reactor::{encode_frame, take_frame, Connection, ReadOutcome};
use mio::{Registry, Token};

use crate::link::{FromReplica, ToReplica};

/// Time within which a connection must be established.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum time for which sent bytes may remain unacknowledged.
const ACK_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Delay before a failed connection is retried.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Maximum number of unsent bytes per replica. Further frames are dropped, which consensus tolerates.
const UNSENT_LIMIT: usize = 8 << 20;

/// Maximum number of bytes buffered before a frame must be complete.
const BUFFER_LIMIT: usize = 65 << 20;

#[derive(Debug)]
struct PeerConnection {
    address: String,
    connection: Connection,
    started_at: Duration,
    connected: bool,
}

/// Outbound connections to the other replicas.
#[derive(Debug, Default)]
pub(super) struct Peers {
    by_token: HashMap<Token, PeerConnection>,
    by_address: HashMap<String, Token>,
    /// Connections with frames that are not yet written to the socket.
    unsent: BTreeSet<Token>,
    retry_at: HashMap<String, Duration>,
    source: Option<IpAddr>,
}

impl Peers {
    /// Starts without connections. Connections use `source` as their local address if it is set.
    pub(super) fn new(source: Option<IpAddr>) -> Self {
        Self {
            source,
            ..Self::default()
        }
    }

    /// Whether a token belongs to one of these connections.
    pub(super) fn owns(&self, token: Token) -> bool {
        self.by_token.contains_key(&token)
    }

    /// Buffers a frame for the next [`Peers::flush`], or drops it. If no connection to `address` exists, one
    /// is opened with `token`. Returns whether that was the case.
    pub(super) fn queue(
        &mut self,
        now: Duration,
        registry: &Registry,
        token: Token,
        address: &str,
        frame: &ToReplica,
    ) -> bool {
        let opened =
            !self.by_address.contains_key(address) && self.open(now, registry, token, address);
        let Some(token) = self.by_address.get(address).copied() else {
            return opened;
        };
        let Some(peer) = self.by_token.get_mut(&token) else {
            return opened;
        };
        if peer.connection.unsent() > UNSENT_LIMIT {
            return opened;
        }
        if encode_frame(frame, peer.connection.outbound()).is_ok() {
            self.unsent.insert(token);
        }
        opened
    }

    /// Sends buffered frames; all frames for one replica go into one write.
    pub(super) fn flush(&mut self, now: Duration) {
        for token in std::mem::take(&mut self.unsent) {
            let peer = self.by_token.get_mut(&token);
            let failed =
                peer.is_some_and(|peer| peer.connected && peer.connection.flush().is_err());
            if failed {
                self.drop_connection(now, token);
            }
        }
    }

    fn open(&mut self, now: Duration, registry: &Registry, token: Token, address: &str) -> bool {
        if self.retry_at.get(address).is_some_and(|at| now < *at) {
            return false;
        }
        let Ok(parsed) = address.parse() else {
            return false;
        };
        let Ok(connection) = Connection::connect(parsed, self.source, registry, token) else {
            self.retry_at.insert(address.to_owned(), now + RETRY_DELAY);
            return false;
        };
        connection.set_unacked_timeout(ACK_TIMEOUT);
        let peer = PeerConnection {
            address: address.to_owned(),
            connection,
            started_at: now,
            connected: false,
        };
        self.by_token.insert(token, peer);
        self.by_address.insert(address.to_owned(), token);
        true
    }

    /// Handles an event of a connection. Returns the frames received.
    pub(super) fn on_event(&mut self, now: Duration, token: Token) -> Vec<FromReplica> {
        let mut frames = Vec::new();
        if !self.advance(token, &mut frames) {
            self.drop_connection(now, token);
        }
        frames
    }

    fn advance(&mut self, token: Token, frames: &mut Vec<FromReplica>) -> bool {
        let Some(peer) = self.by_token.get_mut(&token) else {
            return true;
        };
        if !peer.connected {
            match peer.connection.check_connected() {
                Ok(true) => peer.connected = true,
                Ok(false) => return true,
                Err(_) => return false,
            }
        }
        let outcome = peer.connection.fill(BUFFER_LIMIT);
        loop {
            match take_frame(&mut peer.connection.inbound) {
                Ok(Some(frame)) => frames.push(frame),
                Ok(None) => break,
                Err(_) => return false,
            }
        }
        let is_open = matches!(outcome, Ok(ReadOutcome::Open | ReadOutcome::Full));
        is_open && peer.connection.flush().is_ok()
    }

    /// Drops connections that were not established in time.
    pub(super) fn tick(&mut self, now: Duration) {
        let late: Vec<Token> = self
            .by_token
            .iter()
            .filter(|(_, peer)| !peer.connected && now > peer.started_at + CONNECT_TIMEOUT)
            .map(|(token, _)| *token)
            .collect();
        for token in late {
            self.drop_connection(now, token);
        }
    }

    fn drop_connection(&mut self, now: Duration, token: Token) {
        if let Some(peer) = self.by_token.remove(&token) {
            self.by_address.remove(&peer.address);
            self.retry_at.insert(peer.address, now + RETRY_DELAY);
        }
    }
}
