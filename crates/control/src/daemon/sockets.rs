//! Listening sockets and the connections accepted on them.
//!
//! Invariant: no listener holds more connections than its limit, and stopping closes them all.

use std::collections::BTreeMap;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use socket2::{SockRef, TcpKeepalive};

use super::message::StopFlag;

/// Silence on a connection after which the system asks whether the other side is still there.
const KEEPALIVE: Duration = Duration::from_secs(5);

/// Wait after a failed accept, such as for want of file descriptors.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// Wait of the stopping thread for its own connection, which wakes the listener.
const WAKE_TIMEOUT: Duration = Duration::from_millis(200);

/// Stack of a thread that moves bytes; there may be a few thousand.
pub(super) const STACK_BYTES: usize = 512 << 10;

/// Longest wait at a stop for connections that still answer, and the steps of that wait.
const DRAIN_LIMIT: Duration = Duration::from_secs(1);
const DRAIN_POLL: Duration = Duration::from_millis(5);

/// Connections accepted and still open.
#[derive(Clone)]
pub(super) struct Connections {
    open: Arc<Mutex<BTreeMap<u64, TcpStream>>>,
    limit: usize,
}

/// Forgets its connection when dropped.
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

    /// Ends the reading side at once, so that idle connections end, and the others once they have
    /// answered or their time is up.
    fn close_all(&self) {
        self.shut_down(Shutdown::Read);
        let started = Instant::now();
        while !self.lock().is_empty() && started.elapsed() < DRAIN_LIMIT {
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

/// A thread that accepts connections and gives each a thread of its own.
pub(super) struct Acceptor {
    address: SocketAddr,
    connections: Connections,
    thread: JoinHandle<()>,
}

impl Acceptor {
    /// Starts accepting; `serve` runs on a thread of its own for each connection.
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

    /// Ends the listener and its connections; the stop flag must be set before.
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
            thread::sleep(ACCEPT_RETRY);
            continue;
        };
        if prepare(&stream).is_err() {
            continue;
        }
        let Some(open) = connections.admit(number, &stream) else {
            continue;
        };
        let serve = serve.clone();
        // A connection without a thread is dropped, and the other side tries again.
        let _ = thread::Builder::new()
            .name(format!("{name}-{number}"))
            .stack_size(STACK_BYTES)
            .spawn(move || {
                let _open = open;
                serve(number, stream);
            });
    }
}

/// Small frames leave at once, and a vanished peer is noticed.
pub(super) fn prepare(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE)
        .with_interval(KEEPALIVE);
    SockRef::from(stream).set_tcp_keepalive(&keepalive)
}

/// Gives up a connection once bytes stay unacknowledged for `limit`, so that a peer that was cut off
/// silently is reached again as soon as the network heals.
pub(super) fn limit_silence(stream: &TcpStream, limit: Duration) -> io::Result<()> {
    stream.set_write_timeout(Some(limit))?;
    SockRef::from(stream).set_tcp_user_timeout(Some(limit))
}
