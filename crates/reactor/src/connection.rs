//! One non-blocking TCP connection with its buffers, registered edge-triggered.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use socket2::{Domain, Protocol, SockRef, Socket, Type};

/// Bytes asked for in one read.
const READ_BYTES: usize = 16 << 10;

/// Capacity above which an empty buffer is given back: the heads of a request or an answer fit into it. A gateway has some
/// hundred connections and a replica over a thousand, most of them at rest.
const KEPT_CAPACITY: usize = 1 << 10;

/// How a read ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// Everything that had arrived was taken.
    Open,
    /// The peer ended its side in order.
    Closed,
    /// More waits, but the buffer holds as much as was allowed.
    Full,
}

/// A connection.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    /// Bytes that arrived and were not used yet.
    pub inbound: Vec<u8>,
    outbound: Vec<u8>,
    sent: usize,
}

impl Connection {
    /// Takes over an accepted stream, or one that is connecting, and registers it under `token`.
    ///
    /// # Errors
    /// The system refuses to register it.
    pub fn register(mut stream: TcpStream, registry: &Registry, token: Token) -> io::Result<Self> {
        registry.register(&mut stream, token, Interest::READABLE | Interest::WRITABLE)?;
        let _ = stream.set_nodelay(true);
        Ok(Self {
            stream,
            inbound: Vec::new(),
            outbound: Vec::new(),
            sent: 0,
        })
    }

    /// Begins to connect, from the address `source` where one is given, and registers the connection
    /// under `token`.
    ///
    /// # Errors
    /// The system refuses at once, such as for want of descriptors.
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

    /// Whether a connection that was begun is up: `Ok(false)` while it still connects.
    ///
    /// # Errors
    /// It was refused or reset.
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

    /// Gives the connection up once bytes stay unacknowledged for `limit`.
    pub fn limit_silence(&self, limit: Duration) {
        let _ = SockRef::from(&self.stream).set_tcp_user_timeout(Some(limit));
    }

    /// Reads what has arrived, up to `limit` bytes in the buffer.
    ///
    /// # Errors
    /// The connection was reset or timed out.
    pub fn fill(&mut self, limit: usize) -> io::Result<ReadOutcome> {
        // Read past the connection's own buffer, which so holds no more than what came.
        let mut bytes = [0; READ_BYTES];
        loop {
            if self.inbound.len() >= limit {
                return Ok(ReadOutcome::Full);
            }
            match self.stream.read(&mut bytes) {
                Ok(0) => return Ok(ReadOutcome::Closed),
                Ok(count) => {
                    self.inbound.extend_from_slice(&bytes[..count]);
                    // A read that leaves room emptied the socket; what comes later is a new event.
                    if count < READ_BYTES {
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

    /// Gives memory back when the buffers are empty.
    pub fn trim(&mut self) {
        if self.inbound.is_empty() && self.inbound.capacity() > KEPT_CAPACITY {
            self.inbound = Vec::new();
        }
        if self.outbound.is_empty() && self.outbound.capacity() > KEPT_CAPACITY {
            self.outbound = Vec::new();
        }
    }

    /// Bytes of memory that the buffers take, used or not.
    pub fn held_bytes(&self) -> usize {
        self.inbound.capacity() + self.outbound.capacity()
    }

    /// Adds bytes to what is to be sent; [`Connection::flush`] sends them.
    pub fn queue(&mut self, bytes: &[u8]) {
        self.outbound.extend_from_slice(bytes);
    }

    /// Buffer of what is to be sent, to be written in place.
    pub fn outbound(&mut self) -> &mut Vec<u8> {
        &mut self.outbound
    }

    /// Bytes that were queued and not taken by the system yet.
    pub fn unsent(&self) -> usize {
        self.outbound.len() - self.sent
    }

    /// Sends as much as the system takes; whether everything was taken.
    ///
    /// # Errors
    /// The connection was reset or timed out.
    pub fn flush(&mut self) -> io::Result<bool> {
        while self.sent < self.outbound.len() {
            match self.stream.write(&self.outbound[self.sent..]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => self.sent += count,
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(false),
                Err(error) if error.kind() == ErrorKind::NotConnected => return Ok(false),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        self.outbound.clear();
        self.sent = 0;
        Ok(true)
    }

    /// Ends the sending side, so that the peer sees an orderly end after what was sent.
    pub fn shut_down_write(&self) {
        let _ = self.stream.shutdown(std::net::Shutdown::Write);
    }

    /// Address of the peer, where it is known.
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

/// Error number of a connection that is not up yet (`EINPROGRESS` on Linux).
const CONNECTION_IN_PROGRESS: i32 = 115;
