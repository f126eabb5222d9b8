//! Connections to one server.
//!
//! Invariants: no more connections are open than the server accepts; a connection goes back to the
//! idle ones only after a whole answer that belonged to its request, and is used again only if
//! nothing has come on it since.

use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use grebepin_schema::SocketAddress;

use crate::http::HttpConnection;

/// Longest time for which an idle connection is kept. Short, so that a back end that closes idle
/// connections seldom does so under a request.
const LONGEST_IDLE: Duration = Duration::from_secs(3);

/// Why there is no connection; nothing was sent.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// The address is no IP number with a port.
    #[error("address does not parse")]
    Address,
    /// As many connections are open as the server accepts.
    #[error("no connection is free")]
    Exhausted,
    /// The server could not be reached in time.
    #[error("cannot connect: {0}")]
    Failed(#[from] std::io::Error),
}

struct Idle {
    connection: HttpConnection,
    since: Instant,
}

/// Connections to one server.
pub struct Link {
    address: SocketAddress,
    target: Option<SocketAddr>,
    most: u32,
    open: AtomicU32,
    idle: Mutex<Vec<Idle>>,
}

/// A connection in use; closed when dropped.
pub struct Leased<'a> {
    link: &'a Link,
    connection: Option<HttpConnection>,
    kept: bool,
}

impl Link {
    /// No connection yet.
    pub fn new(address: SocketAddress, most: u32) -> Self {
        Self {
            target: address.as_str().parse().ok(),
            address,
            most,
            open: AtomicU32::new(0),
            idle: Mutex::new(Vec::new()),
        }
    }

    /// Address of the server.
    pub fn address(&self) -> &SocketAddress {
        &self.address
    }

    /// Connections open now.
    pub fn open(&self) -> u32 {
        self.open.load(Ordering::Relaxed)
    }

    /// An idle connection on which nothing has come since, or a new one.
    ///
    /// # Errors
    /// [`ConnectError`]; nothing was sent.
    pub fn lease(&self, timeout: Duration) -> Result<Leased<'_>, ConnectError> {
        while let Some(idle) = self.take_idle() {
            let leased = Leased {
                link: self,
                connection: Some(idle.connection),
                kept: false,
            };
            if idle.since.elapsed() < LONGEST_IDLE && leased.is_quiet() {
                return Ok(leased);
            }
        }
        self.connect(timeout)
    }

    fn connect(&self, timeout: Duration) -> Result<Leased<'_>, ConnectError> {
        let target = self.target.ok_or(ConnectError::Address)?;
        let taken = self
            .open
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |open| {
                (open < self.most).then_some(open + 1)
            });
        if taken.is_err() {
            return Err(ConnectError::Exhausted);
        }
        let mut leased = Leased {
            link: self,
            connection: None,
            kept: false,
        };
        let least = Duration::from_millis(1);
        let stream = TcpStream::connect_timeout(&target, timeout.max(least))?;
        leased.connection = Some(HttpConnection::new(stream)?);
        Ok(leased)
    }

    fn take_idle(&self) -> Option<Idle> {
        self.lock().pop()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Idle>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Leased<'_> {
    /// The connection, unless it was given back.
    pub fn connection(&mut self) -> Option<&mut HttpConnection> {
        self.connection.as_mut()
    }

    /// Gives a connection back after a whole answer to its own request.
    pub fn give_back(mut self) {
        if let Some(connection) = self.connection.take() {
            let idle = Idle {
                connection,
                since: Instant::now(),
            };
            self.link.lock().push(idle);
            self.kept = true;
        }
    }

    fn is_quiet(&self) -> bool {
        self.connection
            .as_ref()
            .is_some_and(HttpConnection::is_quiet)
    }
}

impl Drop for Leased<'_> {
    fn drop(&mut self) {
        if !self.kept {
            self.link.open.fetch_sub(1, Ordering::AcqRel);
        }
    }
}
