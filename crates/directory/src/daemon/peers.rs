//! Connections that this replica opens to others.

use std::collections::{BTreeSet, HashMap};
use std::net::IpAddr;
use std::time::Duration;

use grebepin_reactor::{encode_frame, take_frame, Connection, ReadOutcome};
use mio::{Registry, Token};

use crate::link::{FromReplica, ToReplica};

/// Time a connection may take to come up.
const CONNECT_LIMIT: Duration = Duration::from_millis(400);

/// Time for which sent bytes may stay unacknowledged.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_000);

/// Pause before a connection is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Bytes that may wait for one replica; frames beyond are dropped, which consensus bears.
const UNSENT_LIMIT: usize = 8 << 20;

/// Bytes taken in before a frame must be whole.
const BUFFER_LIMIT: usize = 65 << 20;

/// One connection.
#[derive(Debug)]
struct PeerConnection {
    address: String,
    connection: Connection,
    began: Duration,
    connected: bool,
}

/// Connections to the other replicas.
#[derive(Debug, Default)]
pub(super) struct Peers {
    by_token: HashMap<Token, PeerConnection>,
    by_address: HashMap<String, Token>,
    /// Connections with frames that were not handed to the system yet.
    unsent: BTreeSet<Token>,
    retry_at: HashMap<String, Duration>,
    source: Option<IpAddr>,
}

impl Peers {
    /// No connections yet; they come from `source` where it is given.
    pub(super) fn new(source: Option<IpAddr>) -> Self {
        Self {
            source,
            ..Self::default()
        }
    }

    /// Whether a token names one of these connections.
    pub(super) fn owns(&self, token: Token) -> bool {
        self.by_token.contains_key(&token)
    }

    /// Takes a frame to be sent by [`Peers::flush`], or drops it. `token` names the connection if a new one
    /// is begun; whether one was.
    pub(super) fn queue(
        &mut self,
        now: Duration,
        registry: &Registry,
        token: Token,
        address: &str,
        frame: &ToReplica,
    ) -> bool {
        let began =
            !self.by_address.contains_key(address) && self.begin(now, registry, token, address);
        let Some(token) = self.by_address.get(address).copied() else {
            return began;
        };
        let Some(peer) = self.by_token.get_mut(&token) else {
            return began;
        };
        if peer.connection.unsent() > UNSENT_LIMIT {
            return began;
        }
        if encode_frame(frame, peer.connection.outbound()).is_ok() {
            self.unsent.insert(token);
        }
        began
    }

    /// Sends what was queued since: many frames to one replica are one write.
    pub(super) fn flush(&mut self, now: Duration) {
        for token in std::mem::take(&mut self.unsent) {
            let peer = self.by_token.get_mut(&token);
            let broke = peer.is_some_and(|peer| peer.connected && peer.connection.flush().is_err());
            if broke {
                self.drop_connection(now, token);
            }
        }
    }

    fn begin(&mut self, now: Duration, registry: &Registry, token: Token, address: &str) -> bool {
        if self.retry_at.get(address).is_some_and(|at| now < *at) {
            return false;
        }
        let Ok(parsed) = address.parse() else {
            return false;
        };
        let Ok(connection) = Connection::connect(parsed, self.source, registry, token) else {
            self.retry_at.insert(address.to_owned(), now + RETRY_PAUSE);
            return false;
        };
        connection.set_unacked_timeout(SILENCE_LIMIT);
        let peer = PeerConnection {
            address: address.to_owned(),
            connection,
            began: now,
            connected: false,
        };
        self.by_token.insert(token, peer);
        self.by_address.insert(address.to_owned(), token);
        true
    }

    /// Handles what happened on a connection; the frames that came.
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

    /// Gives up connections that don't come up.
    pub(super) fn tick(&mut self, now: Duration) {
        let late: Vec<Token> = self
            .by_token
            .iter()
            .filter(|(_, peer)| !peer.connected && now > peer.began + CONNECT_LIMIT)
            .map(|(token, _)| *token)
            .collect();
        for token in late {
            self.drop_connection(now, token);
        }
    }

    fn drop_connection(&mut self, now: Duration, token: Token) {
        if let Some(peer) = self.by_token.remove(&token) {
            self.by_address.remove(&peer.address);
            self.retry_at.insert(peer.address, now + RETRY_PAUSE);
        }
    }
}
