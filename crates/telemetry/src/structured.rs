//! Structured log lines on standard output, written without blocking the logging thread.
//!
//! Invariant: lines pass through a bounded queue to one writer thread. A line that finds the queue full is
//! dropped and counted, and the count is logged with the next batch that is written.

use std::fmt::Write as _;
use std::io::Write as _;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Log, Metadata, Record};

use crate::Event;

/// Capacity of the queue to the writer thread, and maximum number of further items written in one batch.
const QUEUE_CAPACITY: usize = 2_048;

/// Stack of the writer thread in bytes.
const WRITER_STACK_BYTES: usize = 64 << 10;

/// Maximum time that a flush, such as the one before the process ends, waits for queued lines.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// An item in the queue to the writer thread.
enum QueueItem {
    Line(String),
    /// Signalled once all earlier lines are written.
    Flush(SyncSender<()>),
}

/// Logger that queues lines for the writer thread.
struct StructuredLogger {
    level: LevelFilter,
    started: Instant,
    lines: SyncSender<QueueItem>,
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
        let line = self.format_line(record);
        if let Err(TrySendError::Full(_)) = self.lines.try_send(QueueItem::Line(line)) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits for the lines queued so far to be written, at most for [`FLUSH_TIMEOUT`]. If the queue is full,
    /// it returns at once.
    fn flush(&self) {
        let (done, written) = sync_channel(1);
        if self.lines.try_send(QueueItem::Flush(done)).is_ok() {
            let _ = written.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

impl StructuredLogger {
    fn format_line(&self, record: &Record<'_>) -> String {
        let seconds = self.started.elapsed().as_secs_f64();
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let at = now.unwrap_or_default().as_secs_f64();
        let mut line = format!("at={at:.3} t={seconds:.3} level={}", record.level());
        let _ = record.key_values().visit(&mut KeyValueWriter(&mut line));
        let _ = write!(line, " text={:?}", record.args().to_string());
        line.push('\n');
        line
    }
}

/// Appends ` key=value` for each pair. A value that is empty or contains a space, tab, line feed,
/// double quote, `=` or backslash is quoted.
struct KeyValueWriter<'a>(&'a mut String);

impl<'kvs> VisitSource<'kvs> for KeyValueWriter<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let text = value.to_string();
        let needs_no_quotes = !text.is_empty() && !text.contains([' ', '"', '=', '\n', '\t', '\\']);
        let _ = match needs_no_quotes {
            true => write!(self.0, " {key}={text}"),
            false => write!(self.0, " {key}={text:?}"),
        };
        Ok(())
    }
}

/// Starts logging structured lines to standard output. If a logger is already installed, the call has no
/// effect.
pub fn start_structured_logging(level: LevelFilter) {
    let (lines, queue) = sync_channel(QUEUE_CAPACITY);
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
        .spawn(move || write_lines(&queue, &dropped));
}

fn write_lines(queue: &Receiver<QueueItem>, dropped: &AtomicU64) {
    let mut output = std::io::stdout();
    while let Ok(first) = queue.recv() {
        let mut batch = String::new();
        let mut flushes = Vec::new();
        let rest = queue.try_iter().take(QUEUE_CAPACITY);
        for item in std::iter::once(first).chain(rest) {
            match item {
                QueueItem::Line(line) => batch.push_str(&line),
                QueueItem::Flush(done) => flushes.push(done),
            }
        }
        append_dropped_count(&mut batch, dropped);
        let _ = output.write_all(batch.as_bytes());
        let _ = output.flush();
        for done in flushes {
            let _ = done.try_send(());
        }
    }
}

fn append_dropped_count(batch: &mut String, dropped: &AtomicU64) {
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
