//! Buffered HTTP connection.
//!
//! Invariant: bytes are consumed in the order of arrival and none is lost between two messages.

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::head::{BodyLength, RequestHead, ResponseHead};

/// Fraction of a wait that is set as the socket timeout.
const SOCKET_TIMEOUT_FRACTION: f64 = 0.9;

/// Minimum socket timeout.
const MIN_SOCKET_TIMEOUT: Duration = Duration::from_micros(100);

/// Maximum size of a request or answer head in bytes.
const MAX_HEAD_BYTES: usize = 32 << 10;

/// Buffer space for one read in bytes.
const READ_BYTES: usize = 16 << 10;

/// Minimum buffer space for one read in bytes.
const MIN_READ_BYTES: usize = 4 << 10;

/// Maximum length of a chunk size line in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 256;

/// Why a message could not be read or written.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    /// The peer closed the connection before the first byte of a message.
    #[error("connection closed between messages")]
    Closed,
    /// The peer closed the connection within a message.
    #[error("connection closed within a message")]
    Truncated,
    /// The time limit was reached.
    #[error("timed out")]
    TimedOut,
    /// The connection failed.
    #[error("connection failed: {0}")]
    Io(io::Error),
    /// The message violates the protocol.
    #[error("malformed message")]
    Malformed,
    /// A head, chunk line or body exceeds its size limit.
    #[error("message exceeds its size limit")]
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

/// Time limit of a sequence of reads and writes.
#[derive(Clone, Copy, Debug)]
pub struct TimeLimit {
    /// Time at which the whole sequence must be complete.
    pub until: Instant,
    /// Maximum time without progress in each read or write.
    pub idle: Duration,
}

impl TimeLimit {
    /// Limit of one read or write that starts at `began`.
    fn for_step(&self, began: Instant) -> Self {
        Self {
            until: self.until.min(began + self.idle),
            idle: self.idle,
        }
    }

    /// Time left for a read or write; an error if there is none.
    fn time_left(&self) -> Result<Duration, HttpError> {
        match self.until.saturating_duration_since(Instant::now()) {
            Duration::ZERO => Err(HttpError::TimedOut),
            left => Ok(left),
        }
    }

    fn is_exceeded(&self, began: Instant) -> bool {
        self.for_step(began).time_left().is_err()
    }
}

/// A connection with a buffer of bytes read ahead.
#[derive(Debug)]
pub struct HttpConnection {
    stream: Arc<TcpStream>,
    /// Read buffer; `buffer[used..filled]` was read and not consumed yet.
    buffer: Vec<u8>,
    used: usize,
    filled: usize,
    read_timeout: SocketTimeout,
    write_timeout: SocketTimeout,
}

/// Socket timeout last set for one direction. Setting it costs a system call, so a somewhat shorter one is
/// kept, and a wait that it ends early is resumed.
#[derive(Clone, Copy, Debug, Default)]
struct SocketTimeout(Duration);

impl SocketTimeout {
    /// Socket timeout to set for a wait of `wanted`; `None` if the current one is close enough.
    fn update_for(&mut self, wanted: Duration) -> Option<Duration> {
        if self.0 <= wanted && self.0 >= wanted / 2 {
            return None;
        }
        self.0 = wanted
            .mul_f64(SOCKET_TIMEOUT_FRACTION)
            .max(MIN_SOCKET_TIMEOUT);
        Some(self.0)
    }
}

impl HttpConnection {
    /// Wraps a stream and disables Nagle's algorithm on it.
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Self {
            stream: Arc::new(stream),
            buffer: Vec::new(),
            used: 0,
            filled: 0,
            read_timeout: SocketTimeout::default(),
            write_timeout: SocketTimeout::default(),
        })
    }

    /// Underlying TCP stream.
    pub fn stream(&self) -> &Arc<TcpStream> {
        &self.stream
    }

    /// Waits for the first byte of a message; does not consume it.
    pub fn wait_for_message(&mut self, limit: TimeLimit) -> Result<(), HttpError> {
        if !self.buffered().is_empty() {
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

    /// Reads the head of the final answer to a request with `method`, skipping answers of status 1xx.
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

    /// Reads a complete body of at most `maximum` bytes.
    pub fn read_body(
        &mut self,
        length: BodyLength,
        maximum: u64,
        limit: TimeLimit,
    ) -> Result<Vec<u8>, HttpError> {
        let mut body = Vec::new();
        match length {
            BodyLength::Known(bytes) if bytes > maximum => return Err(HttpError::TooLarge),
            BodyLength::Known(bytes) => self.read_exact_into(&mut body, bytes as usize, limit)?,
            BodyLength::Chunked => self.read_chunks(&mut body, maximum, limit)?,
            BodyLength::UntilClose => self.read_until_close(&mut body, maximum, limit)?,
        }
        Ok(body)
    }

    /// Writes all bytes. The error states whether any byte was handed to the operating system.
    pub fn write(&mut self, bytes: &[u8], limit: TimeLimit) -> Result<(), (HttpError, bool)> {
        let mut written = 0;
        let mut began = Instant::now();
        while written < bytes.len() {
            match self.write_some(&bytes[written..], limit.for_step(began)) {
                Ok(0) => return Err((HttpError::Truncated, written > 0)),
                Ok(count) => {
                    written += count;
                    began = Instant::now();
                }
                Err(HttpError::Io(error)) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(HttpError::TimedOut) if !limit.is_exceeded(began) => {}
                Err(error) => return Err((error, written > 0)),
            }
        }
        Ok(())
    }

    /// Whether nothing was received since the last message and the peer has not closed. A byte received
    /// between messages belongs to no request, so the connection must not be reused.
    pub fn has_no_unread_input(&self) -> bool {
        if !self.buffered().is_empty() || self.stream.set_nonblocking(true).is_err() {
            return false;
        }
        let mut byte = [0];
        let peeked = self.stream.peek(&mut byte);
        let blocking = self.stream.set_nonblocking(false).is_ok();
        let silent = matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock);
        blocking && silent
    }

    fn write_some(&mut self, bytes: &[u8], limit: TimeLimit) -> Result<usize, HttpError> {
        if let Some(timeout) = self.write_timeout.update_for(limit.time_left()?) {
            self.stream.set_write_timeout(Some(timeout))?;
        }
        Ok((&*self.stream).write(bytes)?)
    }

    /// Reads until `parse` returns a value with the number of bytes that it consumes.
    fn read_parsed<T>(
        &mut self,
        limit: TimeLimit,
        parse: impl Fn(&[u8]) -> Result<Option<(T, usize)>, HttpError>,
    ) -> Result<T, HttpError> {
        loop {
            if let Some((head, length)) = parse(self.buffered())? {
                self.used += length;
                return Ok(head);
            }
            if self.buffered().len() >= MAX_HEAD_BYTES {
                return Err(HttpError::TooLarge);
            }
            self.fill_some(limit)?;
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
            self.read_exact_into(body, size as usize, limit)?;
            let mut end = Vec::new();
            self.read_exact_into(&mut end, 2, limit)?;
            if end != b"\r\n" {
                return Err(HttpError::Malformed);
            }
        }
    }

    fn read_chunk_size(&mut self, limit: TimeLimit) -> Result<u64, HttpError> {
        loop {
            match httparse::parse_chunk_size(self.buffered()) {
                Ok(httparse::Status::Complete((length, size))) => {
                    self.used += length;
                    return Ok(size);
                }
                Ok(httparse::Status::Partial) => {}
                Err(_) => return Err(HttpError::Malformed),
            }
            if self.buffered().len() > MAX_CHUNK_LINE_BYTES {
                return Err(HttpError::TooLarge);
            }
            self.fill_some(limit)?;
        }
    }

    /// Reads and discards trailers.
    fn skip_trailers(&mut self, limit: TimeLimit) -> Result<(), HttpError> {
        let mut skipped = 0;
        loop {
            let line = self.read_line(limit)?;
            skipped += line;
            if line == 2 {
                return Ok(());
            }
            if skipped > MAX_HEAD_BYTES {
                return Err(HttpError::TooLarge);
            }
        }
    }

    /// Skips one line; returns its length including the line ending.
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
            body.extend_from_slice(self.buffered());
            self.used = self.filled;
            if body.len() as u64 > maximum {
                return Err(HttpError::TooLarge);
            }
            if self.fill(limit)? == 0 {
                return Ok(());
            }
        }
    }

    fn read_exact_into(
        &mut self,
        target: &mut Vec<u8>,
        count: usize,
        limit: TimeLimit,
    ) -> Result<(), HttpError> {
        let mut left = count;
        loop {
            let ready = self.buffered().len().min(left);
            target.extend_from_slice(&self.buffer[self.used..self.used + ready]);
            self.used += ready;
            left -= ready;
            if left == 0 {
                return Ok(());
            }
            self.fill_some(limit)?;
        }
    }

    fn buffered(&self) -> &[u8] {
        &self.buffer[self.used..self.filled]
    }

    fn fill_some(&mut self, limit: TimeLimit) -> Result<(), HttpError> {
        match self.fill(limit)? {
            0 => Err(HttpError::Truncated),
            _ => Ok(()),
        }
    }

    /// Reads once; 0 if the peer closed the connection. The buffer is kept between messages, so that it is
    /// zeroed once and not for each read.
    fn fill(&mut self, limit: TimeLimit) -> Result<usize, HttpError> {
        self.buffer.copy_within(self.used..self.filled, 0);
        self.filled -= self.used;
        self.used = 0;
        if self.buffer.len() < self.filled + MIN_READ_BYTES {
            self.buffer.resize(self.filled + READ_BYTES, 0);
        }
        let count = self.read_into(self.filled, limit)?;
        self.filled += count;
        Ok(count)
    }

    fn read_into(&mut self, from: usize, limit: TimeLimit) -> Result<usize, HttpError> {
        let limit = limit.for_step(Instant::now());
        loop {
            if let Some(timeout) = self.read_timeout.update_for(limit.time_left()?) {
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
