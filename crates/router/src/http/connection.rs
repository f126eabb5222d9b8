//! One buffered connection.
//!
//! Invariant: bytes are given out in the order they came and none is lost between two messages.

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::head::{BodyLength, RequestHead, ResponseHead};

/// Part of a wait that the system is told as its time-out.
const TIMEOUT_PART: f64 = 0.9;

/// Shortest time-out that the system is told.
const SHORTEST_TIMEOUT: Duration = Duration::from_micros(100);

/// Largest head of a request or an answer in bytes.
const MAXIMUM_HEAD_BYTES: usize = 32 << 10;

/// Room for one read.
const READ_BYTES: usize = 16 << 10;

/// Least room for one read.
const LEAST_READ_BYTES: usize = 4 << 10;

/// Longest line that states a chunk's size.
const MAXIMUM_CHUNK_LINE_BYTES: usize = 256;

/// Why a message could not be read or written.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    /// The peer closed the connection before the first byte of a message.
    #[error("connection closed between messages")]
    Closed,
    /// The peer closed the connection within a message.
    #[error("connection closed within a message")]
    Truncated,
    /// The time for it ended.
    #[error("time ended")]
    TimedOut,
    /// The connection failed.
    #[error("connection failed: {0}")]
    Io(io::Error),
    /// The message breaks the protocol.
    #[error("malformed message")]
    Malformed,
    /// A head or body is over its bound.
    #[error("message over the bound")]
    TooLarge,
}

impl From<io::Error> for HttpError {
    fn from(error: io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => HttpError::TimedOut,
            _ => HttpError::Io(error),
        }
    }
}

/// How long reads and writes may take.
#[derive(Clone, Copy, Debug)]
pub struct TimeLimit {
    /// End of all of them together.
    pub until: Instant,
    /// Longest silence of the peer in each.
    pub idle: Duration,
}

impl TimeLimit {
    /// The limit of one read or write that begins at `began`.
    fn from(&self, began: Instant) -> Self {
        Self {
            until: self.until.min(began + self.idle),
            idle: self.idle,
        }
    }

    /// Time left for a read or write.
    fn next(&self) -> Result<Duration, HttpError> {
        match self.until.saturating_duration_since(Instant::now()) {
            Duration::ZERO => Err(HttpError::TimedOut),
            left => Ok(left),
        }
    }

    fn is_over(&self, began: Instant) -> bool {
        self.from(began).next().is_err()
    }
}

/// A connection with what was read from it ahead of its use.
#[derive(Debug)]
pub struct HttpConnection {
    stream: Arc<TcpStream>,
    /// Room for reads; what was read and not used yet is `buffer[used..filled]`.
    buffer: Vec<u8>,
    used: usize,
    filled: usize,
    read_timeout: Timeout,
    write_timeout: Timeout,
}

/// The time-out that the system was last told for one direction. Telling it costs a system call, so a
/// somewhat shorter one is kept, and a wait that it ends early goes on.
#[derive(Clone, Copy, Debug, Default)]
struct Timeout(Duration);

impl Timeout {
    /// The time-out to tell the system for a wait of `wanted`; `None` when the present one will do.
    fn renew(&mut self, wanted: Duration) -> Option<Duration> {
        if self.0 <= wanted && self.0 >= wanted / 2 {
            return None;
        }
        self.0 = wanted.mul_f64(TIMEOUT_PART).max(SHORTEST_TIMEOUT);
        Some(self.0)
    }
}

impl HttpConnection {
    /// Takes over a stream; small messages are sent at once.
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Self {
            stream: Arc::new(stream),
            buffer: Vec::new(),
            used: 0,
            filled: 0,
            read_timeout: Timeout::default(),
            write_timeout: Timeout::default(),
        })
    }

    /// The stream below.
    pub fn stream(&self) -> &Arc<TcpStream> {
        &self.stream
    }

    /// Waits for the first byte of a message.
    pub fn wait_for_message(&mut self, limit: TimeLimit) -> Result<(), HttpError> {
        if !self.unused().is_empty() {
            return Ok(());
        }
        match self.fill(limit)? {
            0 => Err(HttpError::Closed),
            _ => Ok(()),
        }
    }

    /// Reads the head of a request.
    pub fn read_request_head(&mut self, limit: TimeLimit) -> Result<RequestHead, HttpError> {
        self.read_parsed(limit, RequestHead::parse)
    }

    /// Reads the head of the final answer to a request with `method`.
    pub fn read_response_head(
        &mut self,
        limit: TimeLimit,
        method: &str,
    ) -> Result<ResponseHead, HttpError> {
        loop {
            let head = self.read_parsed(limit, |bytes| ResponseHead::parse(bytes, method))?;
            if head.status >= 200 {
                return Ok(head);
            }
        }
    }

    /// Reads a whole body of at most `maximum` bytes.
    pub fn read_body(
        &mut self,
        length: BodyLength,
        maximum: u64,
        limit: TimeLimit,
    ) -> Result<Vec<u8>, HttpError> {
        let mut body = Vec::new();
        match length {
            BodyLength::Known(bytes) if bytes > maximum => return Err(HttpError::TooLarge),
            BodyLength::Known(bytes) => self.take_into(&mut body, bytes as usize, limit)?,
            BodyLength::Chunked => self.read_chunks(&mut body, maximum, limit)?,
            BodyLength::UntilClose => self.read_until_close(&mut body, maximum, limit)?,
        }
        Ok(body)
    }

    /// Writes all bytes. The error comes with whether any byte was handed to the system.
    pub fn write(&mut self, bytes: &[u8], limit: TimeLimit) -> Result<(), (HttpError, bool)> {
        let mut written = 0;
        let mut began = Instant::now();
        while written < bytes.len() {
            match self.write_some(&bytes[written..], limit.from(began)) {
                Ok(0) => return Err((HttpError::Truncated, written > 0)),
                Ok(count) => {
                    written += count;
                    began = Instant::now();
                }
                Err(HttpError::Io(error)) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(HttpError::TimedOut) if !limit.is_over(began) => {}
                Err(error) => return Err((error, written > 0)),
            }
        }
        Ok(())
    }

    /// Whether nothing has come since the last message, and the peer has not closed. A byte that did
    /// come belongs to no request: the connection must not be used again.
    pub fn is_quiet(&self) -> bool {
        if !self.unused().is_empty() || self.stream.set_nonblocking(true).is_err() {
            return false;
        }
        let mut byte = [0];
        let peeked = self.stream.peek(&mut byte);
        let blocking = self.stream.set_nonblocking(false).is_ok();
        let silent = matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock);
        blocking && silent
    }

    fn write_some(&mut self, bytes: &[u8], limit: TimeLimit) -> Result<usize, HttpError> {
        if let Some(timeout) = self.write_timeout.renew(limit.next()?) {
            self.stream.set_write_timeout(Some(timeout))?;
        }
        Ok((&*self.stream).write(bytes)?)
    }

    /// Reads until `parse` finds a value; it gives the value and the bytes that it takes.
    fn read_parsed<T>(
        &mut self,
        limit: TimeLimit,
        parse: impl Fn(&[u8]) -> Result<Option<(T, usize)>, HttpError>,
    ) -> Result<T, HttpError> {
        loop {
            if let Some((head, length)) = parse(self.unused())? {
                self.used += length;
                return Ok(head);
            }
            if self.unused().len() >= MAXIMUM_HEAD_BYTES {
                return Err(HttpError::TooLarge);
            }
            self.fill_more(limit)?;
        }
    }

    fn read_chunks(
        &mut self,
        body: &mut Vec<u8>,
        maximum: u64,
        limit: TimeLimit,
    ) -> Result<(), HttpError> {
        loop {
            let size = self.read_chunk_size(limit)?;
            if size > maximum.saturating_sub(body.len() as u64) {
                return Err(HttpError::TooLarge);
            }
            if size == 0 {
                return self.skip_trailers(limit);
            }
            self.take_into(body, size as usize, limit)?;
            let mut end = Vec::new();
            self.take_into(&mut end, 2, limit)?;
            if end != b"\r\n" {
                return Err(HttpError::Malformed);
            }
        }
    }

    fn read_chunk_size(&mut self, limit: TimeLimit) -> Result<u64, HttpError> {
        loop {
            match httparse::parse_chunk_size(self.unused()) {
                Ok(httparse::Status::Complete((length, size))) => {
                    self.used += length;
                    return Ok(size);
                }
                Ok(httparse::Status::Partial) => {}
                Err(_) => return Err(HttpError::Malformed),
            }
            if self.unused().len() > MAXIMUM_CHUNK_LINE_BYTES {
                return Err(HttpError::TooLarge);
            }
            self.fill_more(limit)?;
        }
    }

    /// Trailers are read and left out.
    fn skip_trailers(&mut self, limit: TimeLimit) -> Result<(), HttpError> {
        let mut skipped = 0;
        loop {
            let line = self.read_line(limit)?;
            skipped += line;
            if line == 2 {
                return Ok(());
            }
            if skipped > MAXIMUM_HEAD_BYTES {
                return Err(HttpError::TooLarge);
            }
        }
    }

    /// Skips one line; returns its length with its end.
    fn read_line(&mut self, limit: TimeLimit) -> Result<usize, HttpError> {
        self.read_parsed(limit, |bytes| {
            let end = bytes.windows(2).position(|pair| pair == b"\r\n");
            Ok(end.map(|end| (end + 2, end + 2)))
        })
    }

    fn read_until_close(
        &mut self,
        body: &mut Vec<u8>,
        maximum: u64,
        limit: TimeLimit,
    ) -> Result<(), HttpError> {
        loop {
            body.extend_from_slice(self.unused());
            self.used = self.filled;
            if body.len() as u64 > maximum {
                return Err(HttpError::TooLarge);
            }
            if self.fill(limit)? == 0 {
                return Ok(());
            }
        }
    }

    fn take_into(
        &mut self,
        target: &mut Vec<u8>,
        count: usize,
        limit: TimeLimit,
    ) -> Result<(), HttpError> {
        let mut left = count;
        loop {
            let ready = self.unused().len().min(left);
            target.extend_from_slice(&self.buffer[self.used..self.used + ready]);
            self.used += ready;
            left -= ready;
            if left == 0 {
                return Ok(());
            }
            self.fill_more(limit)?;
        }
    }

    fn unused(&self) -> &[u8] {
        &self.buffer[self.used..self.filled]
    }

    fn fill_more(&mut self, limit: TimeLimit) -> Result<(), HttpError> {
        match self.fill(limit)? {
            0 => Err(HttpError::Truncated),
            _ => Ok(()),
        }
    }

    /// Reads once; 0 when the peer closed. The room is kept between messages, so that it is cleared
    /// once and not for each read.
    fn fill(&mut self, limit: TimeLimit) -> Result<usize, HttpError> {
        self.buffer.copy_within(self.used..self.filled, 0);
        self.filled -= self.used;
        self.used = 0;
        if self.buffer.len() < self.filled + LEAST_READ_BYTES {
            self.buffer.resize(self.filled + READ_BYTES, 0);
        }
        let count = self.read_into(self.filled, limit)?;
        self.filled += count;
        Ok(count)
    }

    fn read_into(&mut self, from: usize, limit: TimeLimit) -> Result<usize, HttpError> {
        let limit = limit.from(Instant::now());
        loop {
            if let Some(timeout) = self.read_timeout.renew(limit.next()?) {
                self.stream.set_read_timeout(Some(timeout))?;
            }
            match (&*self.stream).read(&mut self.buffer[from..]) {
                Ok(count) => return Ok(count),
                Err(error) => match HttpError::from(error) {
                    HttpError::Io(error) if error.kind() == io::ErrorKind::Interrupted => {}
                    HttpError::TimedOut => {}
                    other => return Err(other),
                },
            }
        }
    }
}
