//! Connection pool of one server.
//!
//! Invariants: no more connections are open than the server accepts; a connection returns to the pool only
//! after a complete answer to its own request, and is reused only if nothing was received on it since.

use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use grebepin_schema::SocketAddress;

use crate::http::HttpConnection;

/// Maximum idle time of a pooled connection. It is short, so that a back end that closes idle connections
/// seldom does so while a request is being sent.
const MAX_IDLE: Duration = Duration::from_secs(3);

/// Why no connection is available. Nothing was sent.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// The address is not an IP address with a port.
    #[error("invalid server address")]
    Address,
    /// The maximum number of connections is open and in use.
    #[error("all connections are in use")]
    Exhausted,
    /// The connection could not be established in time.
    #[error("cannot connect: {0}")]
    Failed(#[from] std::io::Error),
}

struct IdleConnection {
    connection: HttpConnection,
    since: Instant,
}

/// IdleConnection and open connections to one server.
pub struct ConnectionPool {
    address: SocketAddress,
    target: Option<SocketAddr>,
    max_open: u32,
    open: AtomicU32,
    idle: Mutex<Vec<IdleConnection>>,
}

/// A connection in use; closed when dropped without [`PooledConnection::release`].
pub struct PooledConnection<'a> {
    pool: &'a ConnectionPool,
    connection: Option<HttpConnection>,
    released: bool,
}

impl ConnectionPool {
    /// Creates a pool of at most `max_open` connections; none is opened yet.
    pub fn new(address: SocketAddress, max_open: u32) -> Self {
        Self {
            target: address.as_str().parse().ok(),
            address,
            max_open,
            open: AtomicU32::new(0),
            idle: Mutex::new(Vec::new()),
        }
    }

    /// Server address as stated in the bundle.
    pub fn address(&self) -> &SocketAddress {
        &self.address
    }

    /// Number of open connections, idle or in use.
    pub fn open_connections(&self) -> u32 {
        self.open.load(Ordering::Relaxed)
    }

    /// Returns an idle connection on which nothing was received since its last answer, or a new one.
    ///
    /// # Errors
    /// [`ConnectError`] if neither is available; nothing was sent.
    pub fn acquire(&self, timeout: Duration) -> Result<PooledConnection<'_>, ConnectError> {
        while let Some(idle) = self.take_idle() {
            let pooled = PooledConnection {
                pool: self,
                connection: Some(idle.connection),
                released: false,
            };
            if idle.since.elapsed() < MAX_IDLE && pooled.has_no_unread_input() {
                return Ok(pooled);
            }
        }
        self.connect(timeout)
    }

    /// Returns a new connection. An idle one is closed if it takes the last place.
    ///
    /// # Errors
    /// [`ConnectError`] if none can be opened; nothing was sent.
    pub fn open(&self, timeout: Duration) -> Result<PooledConnection<'_>, ConnectError> {
        match self.connect(timeout) {
            Err(ConnectError::Exhausted) => {}
            result => return result,
        }
        let idle = self.take_idle().ok_or(ConnectError::Exhausted)?;
        drop(PooledConnection {
            pool: self,
            connection: Some(idle.connection),
            released: false,
        });
        self.connect(timeout)
    }

    fn connect(&self, timeout: Duration) -> Result<PooledConnection<'_>, ConnectError> {
        let target = self.target.ok_or(ConnectError::Address)?;
        let reserved = self
            .open
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |open| {
                (open < self.max_open).then_some(open + 1)
            });
        if reserved.is_err() {
            return Err(ConnectError::Exhausted);
        }
        let mut pooled = PooledConnection {
            pool: self,
            connection: None,
            released: false,
        };
        let minimum = Duration::from_millis(1);
        let stream = TcpStream::connect_timeout(&target, timeout.max(minimum))?;
        pooled.connection = Some(HttpConnection::new(stream)?);
        Ok(pooled)
    }

    fn take_idle(&self) -> Option<IdleConnection> {
        self.lock().pop()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<IdleConnection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PooledConnection<'_> {
    /// The connection; `None` after its release.
    pub fn connection(&mut self) -> Option<&mut HttpConnection> {
        self.connection.as_mut()
    }

    /// Returns the connection to the pool after a complete answer to its own request.
    pub fn release(mut self) {
        if let Some(connection) = self.connection.take() {
            let idle = IdleConnection {
                connection,
                since: Instant::now(),
            };
            self.pool.lock().push(idle);
            self.released = true;
        }
    }

    fn has_no_unread_input(&self) -> bool {
        self.connection
            .as_ref()
            .is_some_and(HttpConnection::has_no_unread_input)
    }
}

impl Drop for PooledConnection<'_> {
    fn drop(&mut self) {
        if !self.released {
            self.pool.open.fetch_sub(1, Ordering::AcqRel);
        }
    }
}
