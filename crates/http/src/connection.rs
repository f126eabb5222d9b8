//! Answers the questions of one connection until either side closes it.
//!
//! Invariant: once the stop flag is set no further question is read, and every question read is answered.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::options::ServerOptions;
use crate::question::{MessageError, Question};
use crate::server::ServerHooks;

/// How often an idle connection looks whether the server stops.
const IDLE_CHECK: Duration = Duration::from_millis(100);

/// Answers the questions on `stream` until either side closes it or `stopping` is set.
///
/// # Errors
/// [`MessageError`] that ended the connection; the peer was told where it can be.
pub fn serve<H: ServerHooks>(
    stream: TcpStream,
    options: &ServerOptions,
    hooks: &H,
    stopping: &AtomicBool,
) -> Result<(), MessageError> {
    hooks.connected();
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(TimedStream::new(stream.try_clone()?));
    let mut writer = TimedStream::new(stream);
    while wait_for_question(&mut reader, options, stopping)? {
        hooks.before_transfer();
        reader.get_mut().allow(options.transfer);
        writer.allow(options.transfer);
        let question = match Question::read(&mut reader, &mut writer, options) {
            Ok(question) => question,
            Err(error) => return refuse(&mut writer, options, hooks, error),
        };
        let close = question.wants_close();
        let answer = hooks.answer(question);
        if answer.waits() {
            hooks.before_transfer();
        }
        let close = close || stopping.load(Ordering::SeqCst);
        writer.allow(options.transfer);
        answer.write(&mut writer, close)?;
        if close {
            return Ok(());
        }
    }
    Ok(())
}

/// Waits for the first byte; `false` when the peer closed, was silent for too long, or the server stops.
fn wait_for_question(
    reader: &mut BufReader<TimedStream>,
    options: &ServerOptions,
    stopping: &AtomicBool,
) -> Result<bool, MessageError> {
    let started = Instant::now();
    while !stopping.load(Ordering::SeqCst) {
        let left = options
            .idle
            .map(|idle| idle.saturating_sub(started.elapsed()));
        if left.is_some_and(|left| left.is_zero()) {
            return Ok(false);
        }
        let wait = left.map_or(IDLE_CHECK, |left| left.min(IDLE_CHECK));
        reader.get_mut().allow(wait);
        match reader.fill_buf() {
            Ok(bytes) => return Ok(!bytes.is_empty()),
            Err(error) if is_timeout(&error) => {}
            Err(error) => return Err(error.into()),
        }
    }
    Ok(false)
}

fn refuse<H: ServerHooks>(
    writer: &mut TimedStream,
    options: &ServerOptions,
    hooks: &H,
    error: MessageError,
) -> Result<(), MessageError> {
    if let Some(status) = error.status() {
        writer.allow(options.transfer);
        hooks.refuse(status, &error).write(writer, true)?;
    }
    Err(error)
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut | io::ErrorKind::Interrupted
    )
}

/// A stream whose reads and writes end at a set time, however many they are.
struct TimedStream {
    stream: TcpStream,
    until: Instant,
}

impl TimedStream {
    fn new(stream: TcpStream) -> Self {
        let until = Instant::now();
        Self { stream, until }
    }

    /// Reads and writes from now on end after `time`.
    fn allow(&mut self, time: Duration) {
        self.until = Instant::now() + time;
    }

    fn left(&self) -> io::Result<Option<Duration>> {
        let left = self.until.saturating_duration_since(Instant::now());
        match left.is_zero() {
            true => Err(io::ErrorKind::TimedOut.into()),
            false => Ok(Some(left)),
        }
    }
}

impl Read for TimedStream {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        self.stream.set_read_timeout(self.left()?)?;
        self.stream.read(buffer)
    }
}

impl Write for TimedStream {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.stream.set_write_timeout(self.left()?)?;
        self.stream.write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.stream.flush()
    }
}
