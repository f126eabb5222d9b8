//! A small HTTP server that runs within an event loop and serves readiness checks and metrics.
//!
//! Invariant: the number of connections is bounded, and idle ones are closed.

use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use mio::net::TcpListener;
use mio::{Interest, Registry, Token};

use crate::connection::{Connection, ReadOutcome};
use crate::http::{RequestLimits, RequestReader};

/// Largest number of connections; a further one takes the place of the one that was used longest ago, so that
/// connections that send nothing do not keep others out.
const MAX_CONNECTIONS: usize = 64;

/// Unsent bytes of responses above which no further request of a connection is handled.
const UNSENT_LIMIT: usize = 64 << 10;

/// Idle time after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Bytes of requests that are buffered for one connection.
const BUFFER_LIMIT: usize = 16 << 10;

const LIMITS: RequestLimits = RequestLimits {
    head_bytes: 8 << 10,
    body_bytes: 8 << 10,
};

/// A plain-text response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TextResponse {
    /// HTTP status code.
    pub status: u16,
    /// Body of the response.
    pub body: String,
}

#[derive(Debug)]
struct Client {
    connection: Connection,
    reader: RequestReader,
    last_active: Duration,
}

/// A listener with its client connections.
#[derive(Debug)]
pub struct TextServer {
    listener: TcpListener,
    token: Token,
    clients: HashMap<Token, Client>,
}

impl TextServer {
    /// Listens at an address; `token` identifies the listener.
    ///
    /// # Errors
    /// The address can't be bound.
    pub fn listen(address: SocketAddr, registry: &Registry, token: Token) -> io::Result<Self> {
        let mut listener = TcpListener::bind(address)?;
        registry.register(&mut listener, token, Interest::READABLE)?;
        Ok(Self {
            listener,
            token,
            clients: HashMap::new(),
        })
    }

    /// Listens at a port of an address; `None` for port 0.
    ///
    /// # Errors
    /// The address can't be bound.
    pub fn listen_at(
        ip: IpAddr,
        port: u16,
        registry: &Registry,
        token: Token,
    ) -> io::Result<Option<Self>> {
        match port {
            0 => Ok(None),
            port => Self::listen(SocketAddr::new(ip, port), registry, token).map(Some),
        }
    }

    /// Whether a token belongs to the listener or to one of its connections.
    pub fn owns(&self, token: Token) -> bool {
        token == self.token || self.clients.contains_key(&token)
    }

    /// Handles an event; `respond` is called for each request. Tokens from `next_token` on are free.
    pub fn on_event(
        &mut self,
        now: Duration,
        token: Token,
        registry: &Registry,
        next_token: &mut usize,
        respond: impl Fn() -> TextResponse,
    ) {
        if token == self.token {
            self.accept(now, registry, next_token);
        } else if !self.serve(now, token, respond) {
            self.clients.remove(&token);
        }
    }

    /// Closes connections that have been idle for too long.
    pub fn close_idle(&mut self, now: Duration) {
        self.clients
            .retain(|_, client| now < client.last_active + IDLE_TIMEOUT);
    }

    fn accept(&mut self, now: Duration, registry: &Registry, next_token: &mut usize) {
        while let Ok((stream, _)) = self.listener.accept() {
            if self.clients.len() >= MAX_CONNECTIONS {
                self.close_least_recently_used();
            }
            let token = Token(*next_token);
            *next_token += 1;
            if let Ok(connection) = Connection::register(stream, registry, token) {
                let client = Client {
                    connection,
                    reader: RequestReader::default(),
                    last_active: now,
                };
                self.clients.insert(token, client);
            }
        }
    }

    fn close_least_recently_used(&mut self) {
        let clients = self.clients.iter();
        let oldest = clients.min_by_key(|(_, client)| client.last_active);
        if let Some(token) = oldest.map(|(token, _)| *token) {
            self.clients.remove(&token);
        }
    }

    /// Answers the complete requests of a connection; returns whether it is still usable.
    fn serve(&mut self, now: Duration, token: Token, respond: impl Fn() -> TextResponse) -> bool {
        let Some(client) = self.clients.get_mut(&token) else {
            return false;
        };
        client.last_active = now;
        let outcome = client.connection.fill(BUFFER_LIMIT);
        loop {
            if client.connection.unsent() > UNSENT_LIMIT {
                match client.connection.flush() {
                    Ok(true) => {}
                    // The next event tells that the client has read.
                    Ok(false) => break,
                    Err(_) => return false,
                }
            }
            match client.reader.take(&mut client.connection.inbound, LIMITS) {
                Ok(None) => break,
                Ok(Some(_)) => {
                    let response = respond();
                    let head = format!(
                        "HTTP/1.1 {} Status\r\nContent-Type: text/plain; version=0.0.4\r\nContent-Length: {}\r\n\r\n",
                        response.status,
                        response.body.len()
                    );
                    client.connection.queue(head.as_bytes());
                    client.connection.queue(response.body.as_bytes());
                }
                Err(_) => return false,
            }
        }
        let is_open = matches!(outcome, Ok(ReadOutcome::Open | ReadOutcome::Full));
        client.connection.flush().is_ok() && is_open
    }
}
