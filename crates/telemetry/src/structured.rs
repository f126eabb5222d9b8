//! Structured log lines on standard output, which never hold up the thread that logs.
//!
//! Invariant: a line waits in a bounded queue for one writer thread; when the queue is full the line
//! is dropped and counted, and the count is logged as soon as there is room.

use std::fmt::Write as _;
use std::io::Write as _;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::sync::Arc;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Log, Metadata, Record};

use crate::Event;

/// Lines that may wait for the writer.
const WAITING_LINES: usize = 2_048;

/// Stack of the writer thread in bytes.
const WRITER_STACK_BYTES: usize = 64 << 10;

/// Logger that hands lines to the writer thread.
struct StructuredLogger {
    level: LevelFilter,
    started: Instant,
    lines: SyncSender<String>,
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
        if let Err(TrySendError::Full(_)) = self.lines.try_send(line) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn flush(&self) {}
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

fn write_lines(waiting: &Receiver<String>, dropped: &AtomicU64) {
    let mut output = std::io::stdout();
    while let Ok(first) = waiting.recv() {
        let mut batch = first;
        for line in waiting.try_iter().take(WAITING_LINES) {
            batch.push_str(&line);
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let event = Event::LinesDropped;
            let _ = writeln!(
                batch,
                "level={} event={} lines={lost} text={:?}",
                event.level(),
                event.number(),
                event.text()
            );
        }
        let _ = output.write_all(batch.as_bytes());
        let _ = output.flush();
    }
}
