//! Structured log lines on standard output, which never hold up the thread that logs.
//!
//! Invariant: a line waits in a bounded queue for one writer thread; when the queue is full the line
//! is dropped and counted, and the count is logged as soon as there is room.

use std::fmt::Write as _;
use std::io::Write as _;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Log, Metadata, Record};

use crate::Event;

/// Lines that may wait for the writer.
const WAITING_LINES: usize = 2_048;

/// Stack of the writer thread in bytes.
const WRITER_STACK_BYTES: usize = 64 << 10;

/// Longest wait for lines to be written at the end of the process.
const FLUSH_LIMIT: Duration = Duration::from_millis(300);

/// What waits for the writer.
enum Waiting {
    /// A line to write.
    Line(String),
    /// Somebody who waits until everything before is written.
    Flush(SyncSender<()>),
}

/// Logger that hands lines to the writer thread.
struct StructuredLogger {
    level: LevelFilter,
    started: Instant,
    lines: SyncSender<Waiting>,
    dropped: Arc<AtomicU64>,
}

impl Log for StructuredLogger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= self.level
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let line = self.line(record);
        if let Err(TrySendError::Full(_)) = self.lines.try_send(Waiting::Line(line)) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits a bounded time until the lines so far are written, as before the process ends.
    fn flush(&self) {
        let (done, written) = sync_channel(1);
        if self.lines.try_send(Waiting::Flush(done)).is_ok() {
            let _ = written.recv_timeout(FLUSH_LIMIT);
        }
    }
}

impl StructuredLogger {
    fn line(&self, record: &Record<'_>) -> String {
        let seconds = self.started.elapsed().as_secs_f64();
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let at = now.unwrap_or_default().as_secs_f64();
        let mut line = format!("at={at:.3} t={seconds:.3} level={}", record.level());
        let _ = record.key_values().visit(&mut Pairs(&mut line));
        let _ = write!(line, " text={:?}", record.args().to_string());
        line.push('\n');
        line
    }
}

/// Writes key and value pairs; a value with blanks or quotes is quoted.
struct Pairs<'a>(&'a mut String);

impl<'kvs> VisitSource<'kvs> for Pairs<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let text = value.to_string();
        let is_plain = !text.is_empty() && !text.contains([' ', '"', '=', '\n', '\t', '\\']);
        let _ = match is_plain {
            true => write!(self.0, " {key}={text}"),
            false => write!(self.0, " {key}={text:?}"),
        };
        Ok(())
    }
}

/// Starts logging structured lines to standard output. A second call changes nothing.
pub fn start_structured_logging(level: LevelFilter) {
    let (lines, waiting) = sync_channel(WAITING_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let logger = StructuredLogger {
        level,
        started: Instant::now(),
        lines,
        dropped: Arc::clone(&dropped),
    };
    if log::set_boxed_logger(Box::new(logger)).is_err() {
        return;
    }
    log::set_max_level(level);
    let _ = std::thread::Builder::new()
        .name("log-writer".to_owned())
        .stack_size(WRITER_STACK_BYTES)
        .spawn(move || write_lines(&waiting, &dropped));
}

fn write_lines(waiting: &Receiver<Waiting>, dropped: &AtomicU64) {
    let mut output = std::io::stdout();
    while let Ok(first) = waiting.recv() {
        let mut batch = String::new();
        let mut flushes = Vec::new();
        let rest = waiting.try_iter().take(WAITING_LINES);
        for one in std::iter::once(first).chain(rest) {
            match one {
                Waiting::Line(line) => batch.push_str(&line),
                Waiting::Flush(done) => flushes.push(done),
            }
        }
        note_dropped(&mut batch, dropped);
        let _ = output.write_all(batch.as_bytes());
        let _ = output.flush();
        for done in flushes {
            let _ = done.try_send(());
        }
    }
}

fn note_dropped(batch: &mut String, dropped: &AtomicU64) {
    let lost = dropped.swap(0, Ordering::Relaxed);
    if lost == 0 {
        return;
    }
    let event = Event::LinesDropped;
    let _ = writeln!(
        batch,
        "level={} event={} lines={lost} text={:?}",
        event.level(),
        event.number(),
        event.text()
    );
}
