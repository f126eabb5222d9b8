//! The callers' side: connections, their bounds, and the graceful stop.
//!
//! Invariants: no more connections than the bound; a slow or silent caller is cut off; a request that
//! was read whole gets its answer even when the router stops; an idle connection never delays a stop
//! for longer than the drain time.

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

/// Longest silence between two requests on one connection.
const KEEP_ALIVE: Duration = Duration::from_secs(30);

/// A request must be whole within this many times the longest silence of a caller.
const WHOLE_REQUEST_FACTOR: u32 = 4;

/// Stack of a caller's thread in bytes.
const STACK_BYTES: usize = 256 << 10;

/// Pause after the system refused a connection, so that the loop does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

const BAD_REQUEST: u16 = 400;
const REQUEST_TIMEOUT: u16 = 408;
const HEAD_TOO_LARGE: u16 = 431;

/// When a caller over the bound may come back.
const RETRY_AFTER_TURNED_AWAY: Duration = Duration::from_secs(1);

const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

struct Entry {
    stream: Arc<TcpStream>,
    busy: Arc<AtomicBool>,
}

/// Connections of callers.
#[derive(Default)]
pub struct Callers {
    open: Mutex<BTreeMap<u64, Entry>>,
    closed: Condvar,
}

impl Callers {
    /// Takes connections until the router is closed.
    pub fn accept(self: &Arc<Self>, listener: &TcpListener, shared: &Arc<Shared>) {
        let mut number = 0;
        while !shared.is_closed() {
            match listener.accept() {
                Ok((stream, _)) if !shared.is_closed() => {
                    number += 1;
                    self.take(number, stream, shared);
                }
                Ok(_) => {}
                Err(_) => thread::sleep(ACCEPT_PAUSE),
            }
        }
    }

    /// Wakes [`Callers::accept`] up, so that it sees that the router stops.
    pub fn wake(address: SocketAddr) {
        TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok();
    }

    /// Waits until no connection is open, at most for `longest`.
    pub fn wait_until_empty(&self, longest: Duration) {
        let open = self.lock();
        let waited = self
            .closed
            .wait_timeout_while(open, longest, |open| !open.is_empty());
        drop(waited);
    }

    /// Ends the connections: idle ones at once, those with a request after its answer, and the rest
    /// after `drain`. Returns how many were cut off.
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

    fn take(self: &Arc<Self>, number: u64, stream: TcpStream, shared: &Arc<Shared>) {
        let most = shared.limits().caller_connections as usize;
        if self.lock().len() >= most {
            shared.metrics.refused_connections.inc();
            turn_away(stream);
            return;
        }
        let Ok(connection) = HttpConnection::new(stream) else {
            return;
        };
        let busy = Arc::new(AtomicBool::new(false));
        let entry = Entry {
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
                let _open = OpenConnection {
                    callers,
                    shared: Arc::clone(&threads_shared),
                    number,
                };
                Caller {
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

    fn lock(&self) -> MutexGuard<'_, BTreeMap<u64, Entry>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Takes the connection off the list, whatever ends its thread.
struct OpenConnection {
    callers: Arc<Callers>,
    shared: Arc<Shared>,
    number: u64,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.callers.close(self.number, &self.shared);
    }
}

/// Tells a caller over the bound to come back, without waiting for it.
fn turn_away(stream: TcpStream) {
    let last = reply::rejected_before_send(
        RejectKind::QueueFull,
        u32::MAX,
        Some(RETRY_AFTER_TURNED_AWAY),
    );
    let bytes = Answer::rejected(&last, None).encode(false);
    if stream.set_nonblocking(true).is_ok() {
        io::Write::write(&mut &stream, &bytes).ok();
        stream.shutdown(Shutdown::Write).ok();
    }
}

struct Caller<'a> {
    connection: HttpConnection,
    shared: &'a Shared,
    busy: Arc<AtomicBool>,
}

impl Caller<'_> {
    fn serve(&mut self) {
        let mut patience = self.shared.limits().caller_idle;
        while self.wait(patience).is_ok() {
            self.busy.store(true, Ordering::Release);
            let open = self.serve_one();
            self.busy.store(false, Ordering::Release);
            if !open || self.shared.is_closed() {
                return;
            }
            patience = KEEP_ALIVE;
        }
    }

    fn wait(&mut self, patience: Duration) -> Result<(), HttpError> {
        let limit = TimeLimit {
            until: Instant::now() + patience,
            idle: patience,
        };
        self.connection.wait_for_message(limit)
    }

    /// Serves one request; false when the connection ends with it.
    fn serve_one(&mut self) -> bool {
        let arrived = Instant::now();
        let idle = self.shared.limits().caller_idle;
        let limit = TimeLimit {
            until: arrived + idle * WHOLE_REQUEST_FACTOR,
            idle,
        };
        let head = match self.connection.read_request_head(limit) {
            Ok(head) => head,
            Err(error) => {
                self.refuse_unread(&error);
                return false;
            }
        };
        let mut request = CallerRequest {
            head,
            body: Vec::new(),
            arrived,
        };
        let shared = self.shared;
        let room = shared.body_room(most_bytes(request.head.body, shared.limits().body_bytes));
        let (answer, whole) = match self.read_body(&request.head, room.is_some(), limit) {
            Ok(body) => {
                request.body = body;
                (handle(shared, &request), true)
            }
            Err(Some(kind)) => (refuse(shared, &request, kind), false),
            Err(None) => return false,
        };
        let keep_alive = whole && request.head.keep_alive && !shared.is_leaving();
        self.write(&answer, keep_alive) && keep_alive
    }

    /// Reads the body; `Err(None)` when the caller is gone.
    fn read_body(
        &mut self,
        head: &RequestHead,
        has_room: bool,
        limit: TimeLimit,
    ) -> Result<Vec<u8>, Option<RejectKind>> {
        let maximum = self.shared.limits().body_bytes;
        if matches!(head.body, BodyLength::Known(bytes) if bytes > maximum) {
            return Err(Some(RejectKind::BodyTooLarge));
        }
        if !has_room {
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

    /// Answers a request whose head could not be read; nothing is known of its attempt.
    fn refuse_unread(&mut self, error: &HttpError) {
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
            until: Instant::now() + idle * WHOLE_REQUEST_FACTOR,
            idle,
        };
        let written = self.connection.write(&answer.encode(keep_alive), limit);
        if !keep_alive {
            self.connection.stream().shutdown(Shutdown::Write).ok();
        }
        written.is_ok()
    }
}

/// Most bytes that a body may take.
fn most_bytes(length: BodyLength, maximum: u64) -> u64 {
    match length {
        BodyLength::Known(bytes) => bytes.min(maximum),
        BodyLength::Chunked | BodyLength::UntilClose => maximum,
    }
}
