//! A small HTTP server within an event loop, for readiness and metrics.
//!
//! Invariant: it holds a bounded number of connections, and one that rests is closed after a while.

use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use mio::net::TcpListener;
use mio::{Interest, Registry, Token};

use crate::connection::{Connection, ReadOutcome};
use crate::http::{RequestLimits, RequestReader};

/// Connections at a time; further ones are closed at once.
const CONNECTION_LIMIT: usize = 64;

/// Rest after which a connection is closed.
const IDLE_LIMIT: Duration = Duration::from_secs(15);

/// Bytes of a request that are taken in.
const BUFFER_LIMIT: usize = 16 << 10;

const LIMITS: RequestLimits = RequestLimits {
    head_bytes: 8 << 10,
    body_bytes: 8 << 10,
};

/// An answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TextAnswer {
    /// Status.
    pub status: u16,
    /// Body, as plain text.
    pub body: String,
}

#[derive(Debug)]
struct Client {
    connection: Connection,
    reader: RequestReader,
    active: Duration,
}

/// The server.
#[derive(Debug)]
pub struct TextServer {
    listener: TcpListener,
    token: Token,
    clients: HashMap<Token, Client>,
}

impl TextServer {
    /// Listens at an address; `token` names the listener.
    ///
    /// # Errors
    /// The address is taken or not of this machine.
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
    /// The address is taken or not of this machine.
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

    /// Whether a token is the listener's or a connection's.
    pub fn owns(&self, token: Token) -> bool {
        token == self.token || self.clients.contains_key(&token)
    }

    /// Handles what happened on a token; `answer` is asked for each request. Tokens from `next_token` on
    /// are free.
    pub fn on_event(
        &mut self,
        now: Duration,
        token: Token,
        registry: &Registry,
        next_token: &mut usize,
        answer: impl Fn() -> TextAnswer,
    ) {
        if token == self.token {
            self.accept(now, registry, next_token);
        } else if !self.serve(now, token, answer) {
            self.clients.remove(&token);
        }
    }

    /// Closes connections that rest.
    pub fn close_resting(&mut self, now: Duration) {
        self.clients
            .retain(|_, client| now < client.active + IDLE_LIMIT);
    }

    fn accept(&mut self, now: Duration, registry: &Registry, next_token: &mut usize) {
        while let Ok((stream, _)) = self.listener.accept() {
            if self.clients.len() >= CONNECTION_LIMIT {
                continue;
            }
            let token = Token(*next_token);
            *next_token += 1;
            if let Ok(connection) = Connection::register(stream, registry, token) {
                let client = Client {
                    connection,
                    reader: RequestReader::default(),
                    active: now,
                };
                self.clients.insert(token, client);
            }
        }
    }

    /// Answers the whole requests of a connection; whether it is still of use.
    fn serve(&mut self, now: Duration, token: Token, answer: impl Fn() -> TextAnswer) -> bool {
        let Some(client) = self.clients.get_mut(&token) else {
            return false;
        };
        client.active = now;
        let outcome = client.connection.fill(BUFFER_LIMIT);
        loop {
            match client.reader.take(&mut client.connection.inbound, LIMITS) {
                Ok(None) => break,
                Ok(Some(_)) => {
                    let answer = answer();
                    let head = format!(
                        "HTTP/1.1 {} Status\r\nContent-Type: text/plain; version=0.0.4\r\nContent-Length: {}\r\n\r\n",
                        answer.status,
                        answer.body.len()
                    );
                    client.connection.queue(head.as_bytes());
                    client.connection.queue(answer.body.as_bytes());
                }
                Err(_) => return false,
            }
        }
        let is_open = matches!(outcome, Ok(ReadOutcome::Open | ReadOutcome::Full));
        client.connection.flush().is_ok() && is_open
    }
}
