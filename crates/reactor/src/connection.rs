//! A non-blocking TCP connection with its buffers, registered for edge-triggered events.

use std::io::{self, ErrorKind, Read};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use socket2::{Domain, Protocol, SockRef, Socket, Type};

use crate::http::Body;
use crate::memory::{MemoryAccount, MemoryCharge};
use crate::outbound::Outbound;

/// Bytes that are requested in one read.
const READ_BYTES: usize = 16 << 10;

/// Capacity above which an empty buffer is freed. The heads of a request or a response fit into it. A gateway
/// has some hundred connections and a replica more than a thousand, most of them idle.
const KEPT_CAPACITY: usize = 1 << 10;

/// Longest time for which the input of a connection is dropped that is being closed: enough for a peer that writes a
/// whole request before it reads, and no more, since a peer may send without end.
const CLOSE_TIME: Duration = Duration::from_secs(2);

/// Bytes of input that are dropped at once.
const DISCARDED_BYTES: usize = 256 << 10;

/// Result of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// All available bytes were read.
    Open,
    /// The peer closed its side.
    Closed,
    /// More bytes are available, but the buffer has reached its limit.
    Full,
}

/// A non-blocking TCP connection.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    /// Received bytes that were not consumed yet.
    pub inbound: Vec<u8>,
    outbound: Outbound,
    /// Capacity of the buffers.
    charge: MemoryCharge,
    /// When the connection is closed whatever the peer still sends.
    closes_at: Option<Duration>,
    /// Whether an event has reported that the peer closed its side.
    read_closed: bool,
}

impl Connection {
    /// Registers a stream, accepted or still connecting, under `token`.
    ///
    /// # Errors
    /// The stream can't be registered.
    pub fn register(mut stream: TcpStream, registry: &Registry, token: Token) -> io::Result<Self> {
        registry.register(&mut stream, token, Interest::READABLE | Interest::WRITABLE)?;
        let _ = stream.set_nodelay(true);
        Ok(Self {
            stream,
            inbound: Vec::new(),
            outbound: Outbound::default(),
            charge: MemoryCharge::default(),
            closes_at: None,
            read_closed: false,
        })
    }

    /// Charges the connection's buffers to an account.
    pub fn charge_to(&mut self, account: &MemoryAccount) {
        self.charge = MemoryCharge::new(account.clone());
        self.update_charge();
    }

    fn update_charge(&mut self) {
        self.charge.set(self.held_bytes());
    }

    /// Starts to connect, from the address `source` if it is given, and registers the connection under
    /// `token`.
    ///
    /// # Errors
    /// The connection fails immediately, for example because no file descriptors are left.
    pub fn connect(
        address: SocketAddr,
        source: Option<IpAddr>,
        registry: &Registry,
        token: Token,
    ) -> io::Result<Self> {
        let stream = match source {
            None => TcpStream::connect(address)?,
            Some(source) => connect_from(source, address)?,
        };
        Self::register(stream, registry, token)
    }

    /// Whether the connection is established; `Ok(false)` while it is still connecting.
    ///
    /// # Errors
    /// The connection was refused or reset.
    pub fn check_connected(&self) -> io::Result<bool> {
        if let Some(error) = self.stream.take_error()? {
            return Err(error);
        }
        match self.stream.peer_addr() {
            Ok(_) => Ok(true),
            Err(error) if error.kind() == ErrorKind::NotConnected => Ok(false),
            Err(error) => Err(error),
        }
    }

    /// Sets `TCP_USER_TIMEOUT`: the connection fails once sent bytes stay unacknowledged for `limit`.
    pub fn set_unacked_timeout(&self, limit: Duration) {
        let _ = SockRef::from(&self.stream).set_tcp_user_timeout(Some(limit));
    }

    /// Records that an event has reported the end of the peer's side. No event follows for an end that came
    /// together with the last bytes, so the next read goes on to it.
    pub fn note_read_closed(&mut self) {
        self.read_closed = true;
    }

    /// Whether the peer is known to have closed its side; bytes may still be unread.
    pub fn is_read_closed(&self) -> bool {
        self.read_closed
    }

    /// Reads available bytes until the buffer holds at least `limit`.
    ///
    /// # Errors
    /// The connection was reset or timed out.
    pub fn fill(&mut self, limit: usize) -> io::Result<ReadOutcome> {
        let outcome = self.read(limit);
        self.update_charge();
        outcome
    }

    /// Ends the output, of which everything was sent. What the peer still sends is dropped for some time by
    /// [`Connection::discard_input`], since closing a connection with unread bytes resets it, and a reset destroys a
    /// response that the peer has not read.
    pub fn begin_close(&mut self, now: Duration) {
        self.shut_down_write();
        self.inbound = Vec::new();
        self.closes_at.get_or_insert(now + CLOSE_TIME);
        self.trim();
    }

    /// Whether [`Connection::begin_close`] was called.
    pub fn is_closing(&self) -> bool {
        self.closes_at.is_some()
    }

    /// Whether the time for which input is dropped is over.
    pub fn is_close_due(&self, now: Duration) -> bool {
        self.closes_at.is_some_and(|at| now >= at)
    }

    /// Drops input of a connection that is being closed, a part of it if there is much. The connection can be dropped
    /// once it is closed or has failed.
    pub fn discard_input(&mut self, now: Duration) -> ReadOutcome {
        if self.is_close_due(now) {
            return ReadOutcome::Closed;
        }
        let outcome = self.read(DISCARDED_BYTES);
        self.inbound = Vec::new();
        outcome.unwrap_or(ReadOutcome::Closed)
    }

    fn read(&mut self, limit: usize) -> io::Result<ReadOutcome> {
        // Reads into a buffer on the stack, so that the connection's own buffer grows only by what was
        // received.
        let mut bytes = [0; READ_BYTES];
        loop {
            if self.inbound.len() >= limit {
                return Ok(ReadOutcome::Full);
            }
            match self.stream.read(&mut bytes) {
                Ok(0) => {
                    self.read_closed = true;
                    return Ok(ReadOutcome::Closed);
                }
                Ok(count) => {
                    self.inbound.extend_from_slice(&bytes[..count]);
                    // A short read emptied the socket; later bytes cause a new event.
                    if count < READ_BYTES && !self.read_closed {
                        return Ok(ReadOutcome::Open);
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    return Ok(ReadOutcome::Open)
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
    }

    /// Frees empty buffers that have grown.
    pub fn trim(&mut self) {
        if self.inbound.is_empty() && self.inbound.capacity() > KEPT_CAPACITY {
            self.inbound = Vec::new();
        }
        self.outbound.trim(KEPT_CAPACITY);
        self.update_charge();
    }

    /// Capacity of both buffers in bytes, without large bodies that are being sent.
    pub fn held_bytes(&self) -> usize {
        self.inbound.capacity() + self.outbound.capacity()
    }

    /// Appends bytes to the output; [`Connection::flush`] sends them.
    pub fn queue(&mut self, bytes: &[u8]) {
        self.outbound.buffer().extend_from_slice(bytes);
    }

    /// Appends a body to the output. A large one is not copied.
    pub fn queue_body(&mut self, body: &Body) {
        self.outbound.push_body(body);
    }

    /// The output buffer, for writing in place.
    pub fn outbound(&mut self) -> &mut Vec<u8> {
        self.outbound.buffer()
    }

    /// Bytes of output that were not yet written to the socket.
    pub fn unsent(&self) -> usize {
        self.outbound.unsent()
    }

    /// Writes as much output as the socket accepts; returns whether all of it was written.
    ///
    /// # Errors
    /// The connection was reset or timed out.
    pub fn flush(&mut self) -> io::Result<bool> {
        let outcome = self.outbound.write_to(&mut self.stream);
        self.update_charge();
        outcome
    }

    /// Shuts the sending side down, so that the peer sees an orderly end after the bytes that were sent.
    pub fn shut_down_write(&self) {
        let _ = self.stream.shutdown(std::net::Shutdown::Write);
    }

    /// Address of the peer; `None` if it is not known.
    pub fn peer(&self) -> Option<SocketAddr> {
        self.stream.peer_addr().ok()
    }
}

fn connect_from(source: IpAddr, address: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.bind(&SocketAddr::new(source, 0).into())?;
    socket.set_nonblocking(true)?;
    match socket.connect(&address.into()) {
        Ok(()) => {}
        Err(error) if error.raw_os_error() == Some(CONNECTION_IN_PROGRESS) => {}
        Err(error) if error.kind() == ErrorKind::WouldBlock => {}
        Err(error) => return Err(error),
    }
    Ok(TcpStream::from_std(socket.into()))
}

/// Error number of a connection that is still being established (`EINPROGRESS` on Linux).
const CONNECTION_IN_PROGRESS: i32 = 115;
