//! Listening sockets and their accepted connections.
//!
//! Invariant: a listener never has more open connections than its limit, and stopping it closes them all.

use std::collections::BTreeMap;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use socket2::{SockRef, TcpKeepalive};

use super::message::StopFlag;

/// TCP keepalive: idle time before the first probe, and interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);

/// Delay after a failed accept, for example when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Timeout of the connection that the stopping thread opens to unblock `accept`.
const WAKE_TIMEOUT: Duration = Duration::from_millis(200);

/// Stack size of an I/O thread; kept small, since there may be a few thousand of them.
pub(super) const STACK_BYTES: usize = 512 << 10;

/// Maximum time that a stop waits for connections to finish their responses.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval at which a stop checks for open connections.
const DRAIN_POLL: Duration = Duration::from_millis(5);

/// Open connections of a listener.
#[derive(Clone)]
pub(super) struct Connections {
    open: Arc<Mutex<BTreeMap<u64, TcpStream>>>,
    limit: usize,
}

/// Removes its connection from [`Connections`] when dropped.
pub(super) struct OpenConnection {
    connections: Connections,
    number: u64,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.connections.lock().remove(&self.number);
    }
}

impl Connections {
    fn new(limit: usize) -> Self {
        Self {
            open: Arc::default(),
            limit,
        }
    }

    fn admit(&self, number: u64, stream: &TcpStream) -> Option<OpenConnection> {
        let mut open = self.lock();
        if open.len() >= self.limit {
            return None;
        }
        open.insert(number, stream.try_clone().ok()?);
        Some(OpenConnection {
            connections: self.clone(),
            number,
        })
    }

    /// Shuts down the read sides, which ends idle connections, and waits up to [`DRAIN_TIMEOUT`] for
    /// responses in progress before the remaining connections are closed.
    fn close_all(&self) {
        self.shut_down(Shutdown::Read);
        let started = Instant::now();
        while !self.lock().is_empty() && started.elapsed() < DRAIN_TIMEOUT {
            thread::sleep(DRAIN_POLL);
        }
        self.shut_down(Shutdown::Both);
    }

    fn shut_down(&self, how: Shutdown) {
        for stream in self.lock().values() {
            let _ = stream.shutdown(how);
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<u64, TcpStream>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A thread that accepts connections and starts a thread for each.
pub(super) struct Acceptor {
    address: SocketAddr,
    connections: Connections,
    thread: JoinHandle<()>,
}

impl Acceptor {
    /// Starts to accept connections; `serve` runs on a separate thread for each.
    pub(super) fn start<F>(
        name: &'static str,
        listener: TcpListener,
        limit: usize,
        stop: StopFlag,
        serve: F,
    ) -> io::Result<Self>
    where
        F: Fn(u64, TcpStream) + Clone + Send + 'static,
    {
        let address = listener.local_addr()?;
        let connections = Connections::new(limit);
        let accepted = connections.clone();
        let thread = thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || accept_all(name, &listener, &accepted, &stop, &serve))?;
        Ok(Self {
            address,
            connections,
            thread,
        })
    }

    /// Closes the listener and its connections. The stop flag must already be set.
    pub(super) fn stop(self) {
        let _ = TcpStream::connect_timeout(&self.address, WAKE_TIMEOUT);
        let _ = self.thread.join();
        self.connections.close_all();
    }
}

fn accept_all<F>(
    name: &'static str,
    listener: &TcpListener,
    connections: &Connections,
    stop: &StopFlag,
    serve: &F,
) where
    F: Fn(u64, TcpStream) + Clone + Send + 'static,
{
    for number in 0.. {
        let accepted = listener.accept();
        if stop.is_set() {
            return;
        }
        let Ok((stream, _)) = accepted else {
            thread::sleep(ACCEPT_RETRY_DELAY);
            continue;
        };
        if set_options(&stream).is_err() {
            continue;
        }
        let Some(open) = connections.admit(number, &stream) else {
            continue;
        };
        let serve = serve.clone();
        // If no thread can be started, the connection is closed and the client retries.
        let _ = thread::Builder::new()
            .name(format!("{name}-{number}"))
            .stack_size(STACK_BYTES)
            .spawn(move || {
                let _open = open;
                serve(number, stream);
            });
    }
}

/// Disables Nagle's algorithm, so that small frames are sent at once, and enables TCP keepalive, so that a
/// lost peer is detected.
pub(super) fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL);
    SockRef::from(stream).set_tcp_keepalive(&keepalive)
}

/// Fails a connection once sent bytes stay unacknowledged for `timeout`, so that after a silent network
/// partition a new connection is opened as soon as the network works again.
pub(super) fn set_ack_timeout(stream: &TcpStream, timeout: Duration) -> io::Result<()> {
    stream.set_write_timeout(Some(timeout))?;
    SockRef::from(stream).set_tcp_user_timeout(Some(timeout))
}
