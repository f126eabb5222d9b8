//! Caller connections: accepting, limits, request handling and graceful stop.
//!
//! Invariants: the number of connections never exceeds the limit; connections of slow or silent callers
//! are closed; a completely read request is answered even while the router stops; an idle connection
//! never delays a stop for longer than the drain time.

use std::collections::BTreeMap;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use grebepin_schema::RejectKind;
use grebepin_telemetry::{event, Event};
use grebepin_traffic::reply;

use crate::answer::Answer;
use crate::handle::{handle, refuse};
use crate::http::{BodyLength, HttpConnection, HttpError, RequestHead, TimeLimit};
use crate::request::CallerRequest;
use crate::shared::Shared;

/// Maximum idle time between two requests on one connection.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(30);

/// Receiving a complete request and writing an answer may each take this many times the caller's idle
/// limit.
const REQUEST_TIMEOUT_FACTOR: u32 = 4;

/// Stack size of a connection thread in bytes.
const STACK_BYTES: usize = 256 << 10;

/// Delay after a failed accept, which keeps the loop from spinning.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

const BAD_REQUEST: u16 = 400;
const REQUEST_TIMEOUT: u16 = 408;
const HEAD_TOO_LARGE: u16 = 431;

/// Retry delay for a connection above the limit.
const RETRY_AFTER_CONNECTION_LIMIT: Duration = Duration::from_secs(1);

const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

struct ConnectionEntry {
    stream: Arc<TcpStream>,
    busy: Arc<AtomicBool>,
}

/// Open connections of callers.
#[derive(Default)]
pub struct Callers {
    open: Mutex<BTreeMap<u64, ConnectionEntry>>,
    closed: Condvar,
}

impl Callers {
    /// Accepts connections until the router is closed, one thread per connection.
    pub fn accept(self: &Arc<Self>, listener: &TcpListener, shared: &Arc<Shared>) {
        let mut number = 0;
        while !shared.is_closed() {
            match listener.accept() {
                Ok((stream, _)) if !shared.is_closed() => {
                    number += 1;
                    self.open_connection(number, stream, shared);
                }
                Ok(_) => {}
                Err(_) => thread::sleep(ACCEPT_RETRY_DELAY),
            }
        }
    }

    /// Connects to `address` to unblock [`Callers::accept`], which then notices that the router is closed.
    pub fn wake(address: SocketAddr) {
        TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok();
    }

    /// Waits until no connection is open, for at most `timeout`.
    pub fn wait_until_empty(&self, timeout: Duration) {
        let open = self.lock();
        let waited = self
            .closed
            .wait_timeout_while(open, timeout, |open| !open.is_empty());
        drop(waited);
    }

    /// Closes the connections: idle ones at once, busy ones after their answer, and the rest after
    /// `drain`. Returns the number of connections that were still open after `drain`.
    pub fn drain(&self, drain: Duration) -> usize {
        let end = Instant::now() + drain;
        let open = self.lock();
        for entry in open
            .values()
            .filter(|entry| !entry.busy.load(Ordering::Acquire))
        {
            entry.stream.shutdown(Shutdown::Read).ok();
        }
        drop(open);
        self.wait_until_empty(end.saturating_duration_since(Instant::now()));
        let open = self.lock();
        for entry in open.values() {
            entry.stream.shutdown(Shutdown::Both).ok();
        }
        if !open.is_empty() {
            event!(Event::CallersCutOff, connections = open.len());
        }
        open.len()
    }

    fn open_connection(self: &Arc<Self>, number: u64, stream: TcpStream, shared: &Arc<Shared>) {
        let limit = shared.limits().caller_connections as usize;
        if self.lock().len() >= limit {
            shared.metrics.refused_connections.inc();
            reject_connection(stream);
            return;
        }
        let Ok(connection) = HttpConnection::new(stream) else {
            return;
        };
        let busy = Arc::new(AtomicBool::new(false));
        let entry = ConnectionEntry {
            stream: Arc::clone(connection.stream()),
            busy: Arc::clone(&busy),
        };
        self.lock().insert(number, entry);
        shared.metrics.caller_connections.inc();
        let callers = Arc::clone(self);
        let threads_shared = Arc::clone(shared);
        let spawned = thread::Builder::new()
            .name("caller".into())
            .stack_size(STACK_BYTES)
            .spawn(move || {
                let _guard = ConnectionGuard {
                    callers,
                    shared: Arc::clone(&threads_shared),
                    number,
                };
                CallerConnection {
                    connection,
                    shared: &threads_shared,
                    busy,
                }
                .serve();
            });
        if spawned.is_err() {
            self.close(number, shared);
        }
    }

    fn close(&self, number: u64, shared: &Shared) {
        self.lock().remove(&number);
        shared.metrics.caller_connections.dec();
        self.closed.notify_all();
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<u64, ConnectionEntry>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Removes the connection from the list when its thread ends, also by a panic.
struct ConnectionGuard {
    callers: Arc<Callers>,
    shared: Arc<Shared>,
    number: u64,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.callers.close(self.number, &self.shared);
    }
}

/// Answers a connection above the limit with a retry delay, without blocking on it.
fn reject_connection(stream: TcpStream) {
    let last = reply::rejected_before_send(
        RejectKind::QueueFull,
        u32::MAX,
        Some(RETRY_AFTER_CONNECTION_LIMIT),
    );
    let bytes = Answer::rejected(&last, None).encode(false);
    if stream.set_nonblocking(true).is_ok() {
        io::Write::write(&mut &stream, &bytes).ok();
        stream.shutdown(Shutdown::Write).ok();
    }
}

struct CallerConnection<'a> {
    connection: HttpConnection,
    shared: &'a Shared,
    busy: Arc<AtomicBool>,
}

impl CallerConnection<'_> {
    fn serve(&mut self) {
        let mut timeout = self.shared.limits().caller_idle;
        while self.wait(timeout).is_ok() {
            self.busy.store(true, Ordering::Release);
            let open = self.serve_request();
            self.busy.store(false, Ordering::Release);
            if !open || self.shared.is_closed() {
                return;
            }
            timeout = KEEP_ALIVE_TIMEOUT;
        }
    }

    fn wait(&mut self, timeout: Duration) -> Result<(), HttpError> {
        let limit = TimeLimit {
            until: Instant::now() + timeout,
            idle: timeout,
        };
        self.connection.wait_for_message(limit)
    }

    /// Serves one request; false if the connection is to be closed.
    fn serve_request(&mut self) -> bool {
        let arrived = Instant::now();
        let idle = self.shared.limits().caller_idle;
        let limit = TimeLimit {
            until: arrived + idle * REQUEST_TIMEOUT_FACTOR,
            idle,
        };
        let head = match self.connection.read_request_head(limit) {
            Ok(head) => head,
            Err(error) => {
                self.refuse_unreadable(&error);
                return false;
            }
        };
        let mut request = CallerRequest {
            head,
            body: Vec::new(),
            arrived,
        };
        let shared = self.shared;
        let body_permit =
            shared.reserve_body(body_limit(request.head.body, shared.limits().body_bytes));
        let (answer, body_read) = match self.read_body(&request.head, body_permit.is_some(), limit)
        {
            Ok(body) => {
                request.body = body;
                (handle(shared, &request), true)
            }
            Err(Some(kind)) => (refuse(shared, &request, kind), false),
            Err(None) => return false,
        };
        let keep_alive = body_read && request.head.keep_alive && !shared.is_draining();
        self.write(&answer, keep_alive) && keep_alive
    }

    /// Reads the body; `Err(None)` if the caller closed the connection.
    fn read_body(
        &mut self,
        head: &RequestHead,
        has_permit: bool,
        limit: TimeLimit,
    ) -> Result<Vec<u8>, Option<RejectKind>> {
        let maximum = self.shared.limits().body_bytes;
        if matches!(head.body, BodyLength::Known(bytes) if bytes > maximum) {
            return Err(Some(RejectKind::BodyTooLarge));
        }
        if !has_permit {
            return Err(Some(RejectKind::QueueFull));
        }
        if head.expects_continue && self.connection.write(CONTINUE, limit).is_err() {
            return Err(None);
        }
        let body = self.connection.read_body(head.body, maximum, limit);
        body.map_err(|error| match error {
            HttpError::TooLarge => Some(RejectKind::BodyTooLarge),
            HttpError::Malformed | HttpError::TimedOut => Some(RejectKind::BadHeader),
            HttpError::Closed | HttpError::Truncated | HttpError::Io(_) => None,
        })
    }

    /// Answers a request whose head could not be read. Its attempt number is unknown: it counts as a resend.
    fn refuse_unreadable(&mut self, error: &HttpError) {
        let status = match error {
            HttpError::TimedOut => REQUEST_TIMEOUT,
            HttpError::TooLarge => HEAD_TOO_LARGE,
            HttpError::Malformed => BAD_REQUEST,
            HttpError::Closed | HttpError::Truncated | HttpError::Io(_) => return,
        };
        let last = reply::rejected_before_send(RejectKind::BadHeader, u32::MAX, None);
        let mut answer = Answer::rejected(&last, None);
        answer.status = status;
        self.write(&answer, false);
    }

    fn write(&mut self, answer: &Answer, keep_alive: bool) -> bool {
        let idle = self.shared.limits().caller_idle;
        let limit = TimeLimit {
            until: Instant::now() + idle * REQUEST_TIMEOUT_FACTOR,
            idle,
        };
        let written = self.connection.write(&answer.encode(keep_alive), limit);
        if !keep_alive {
            self.connection.stream().shutdown(Shutdown::Write).ok();
        }
        written.is_ok()
    }
}

/// Maximum size in bytes that a body of this length may reach.
fn body_limit(length: BodyLength, maximum: u64) -> u64 {
    match length {
        BodyLength::Known(bytes) => bytes.min(maximum),
        BodyLength::Chunked | BodyLength::UntilClose => maximum,
    }
}
