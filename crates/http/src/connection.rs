//! Serves the requests of one connection until either side closes it.
//!
//! Invariant: once the stop flag is set no further request is read, and every request that was read gets a
//! response.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::options::ServerOptions;
use crate::request::{HttpRequest, MessageError};
use crate::server::ServerHooks;

/// Interval at which an idle connection checks the stop flag.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Serves the requests on `stream` until either side closes it or `stopping` is set.
///
/// # Errors
/// [`MessageError`] that ended the connection. The peer gets a response first if the error has a status.
pub fn serve<H: ServerHooks>(
    stream: TcpStream,
    options: &ServerOptions,
    hooks: &H,
    stopping: &AtomicBool,
) -> Result<(), MessageError> {
    hooks.connected();
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(DeadlineStream::new(stream.try_clone()?));
    let mut writer = DeadlineStream::new(stream);
    while wait_for_request(&mut reader, options, stopping)? {
        hooks.before_transfer();
        reader.get_mut().set_timeout(options.transfer_timeout);
        writer.set_timeout(options.transfer_timeout);
        let request = match HttpRequest::read(&mut reader, &mut writer, options) {
            Ok(request) => request,
            Err(error) => return reject(&mut writer, options, hooks, error),
        };
        let close = request.wants_close();
        let response = hooks.respond(request);
        if response.may_be_delayed() {
            hooks.before_transfer();
        }
        let close = close || stopping.load(Ordering::SeqCst);
        writer.set_timeout(options.transfer_timeout);
        response.write(&mut writer, close)?;
        if close {
            return Ok(());
        }
    }
    Ok(())
}

/// Waits for the first byte of a request. Returns `false` if the peer closed the connection, the idle
/// timeout expired or the server is stopping.
fn wait_for_request(
    reader: &mut BufReader<DeadlineStream>,
    options: &ServerOptions,
    stopping: &AtomicBool,
) -> Result<bool, MessageError> {
    let started = Instant::now();
    while !stopping.load(Ordering::SeqCst) {
        let remaining = options
            .idle_timeout
            .map(|idle_timeout| idle_timeout.saturating_sub(started.elapsed()));
        if remaining.is_some_and(|remaining| remaining.is_zero()) {
            return Ok(false);
        }
        let wait = remaining.map_or(STOP_CHECK_INTERVAL, |remaining| {
            remaining.min(STOP_CHECK_INTERVAL)
        });
        reader.get_mut().set_timeout(wait);
        match reader.fill_buf() {
            Ok(bytes) => return Ok(!bytes.is_empty()),
            Err(error) if is_timeout(&error) => {}
            Err(error) => return Err(error.into()),
        }
    }
    Ok(false)
}

fn reject<H: ServerHooks>(
    writer: &mut DeadlineStream,
    options: &ServerOptions,
    hooks: &H,
    error: MessageError,
) -> Result<(), MessageError> {
    if let Some(status) = error.status() {
        writer.set_timeout(options.transfer_timeout);
        hooks
            .respond_to_invalid(status, &error)
            .write(writer, true)?;
    }
    Err(error)
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut | io::ErrorKind::Interrupted
    )
}

/// Stream whose reads and writes fail once a deadline has passed, no matter how many calls they are spread
/// over.
struct DeadlineStream {
    stream: TcpStream,
    deadline: Instant,
}

impl DeadlineStream {
    fn new(stream: TcpStream) -> Self {
        let deadline = Instant::now();
        Self { stream, deadline }
    }

    /// Sets the deadline to `time` from now.
    fn set_timeout(&mut self, time: Duration) {
        self.deadline = Instant::now() + time;
    }

    fn remaining(&self) -> io::Result<Option<Duration>> {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        match remaining.is_zero() {
            true => Err(io::ErrorKind::TimedOut.into()),
            false => Ok(Some(remaining)),
        }
    }
}

impl Read for DeadlineStream {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        self.stream.set_read_timeout(self.remaining()?)?;
        self.stream.read(buffer)
    }
}

impl Write for DeadlineStream {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.stream.set_write_timeout(self.remaining()?)?;
        self.stream.write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.stream.flush()
    }
}
