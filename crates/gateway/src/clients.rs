//! Client connections.

use std::collections::HashMap;
use std::time::Duration;

use grebepin_reactor::http::{BadRequest, Request, RequestLimits, RequestReader};
use grebepin_reactor::{Connection, PeerMemory, Progress, ReadOutcome};
use mio::Token;

use crate::held_memory::HeldMemory;
use crate::in_flight::InFlightId;

/// Bytes that are read ahead of requests, which may be pipelined: a head of the usual limit, or more if the configuration
/// allows longer ones.
const READ_AHEAD_BYTES: usize = 16 << 10;

/// Bytes of a body that are read in one turn of the event loop.
const BODY_READ_BYTES: usize = 256 << 10;

/// Unsent bytes of responses above which no further request of the connection is handled, so that a client that
/// does not read its responses holds a bounded amount of memory.
const UNSENT_LIMIT: usize = 64 << 10;

/// Connection of a client, or of another gateway that forwards requests of its clients.
#[derive(Debug)]
pub struct Client {
    pub connection: Connection,
    reader: RequestReader,
    /// The client's request in flight; a connection has at most one.
    pub request: Option<InFlightId>,
    /// Whether the last request asked to keep the connection open.
    pub keeps_alive: bool,
    /// Whether the connection is closed once all output is sent.
    pub closing: bool,
    /// When the first byte of a partly read request arrived, or the earliest time at which it can have.
    pub request_started: Option<Duration>,
    /// Since when unread bytes may have waited, if the process stood still since.
    waiting_since: Option<Duration>,
    /// Whether the last read left bytes in the socket, for which no event comes.
    has_unread: bool,
    /// Whether it is another gateway that forwards requests of its clients.
    pub is_peer: bool,
    /// When the last response was sent, or the connection was accepted.
    pub idle_since: Duration,
    /// Of the request that is being received, or of the response that is being sent.
    progress: Progress,
}

impl Client {
    /// A connection that was accepted at `now`, from another gateway if `is_peer` is true.
    pub fn new(
        mut connection: Connection,
        now: Duration,
        is_peer: bool,
        memory: &HeldMemory,
    ) -> Self {
        connection.charge_to(&memory.requests);
        Self {
            connection,
            reader: RequestReader::new(memory.requests.clone()),
            progress: Progress::begin(now),
            request: None,
            keeps_alive: true,
            closing: false,
            request_started: None,
            waiting_since: None,
            has_unread: false,
            is_peer,
            idle_since: now,
        }
    }

    /// Records that unread bytes may have waited since a time.
    pub fn note_waiting(&mut self, since: Duration) {
        self.waiting_since.get_or_insert(since);
    }

    /// Reads available bytes, a part of them if there are many; returns whether the connection is still open. More than
    /// the largest head is read, so that a head beyond its limit is recognised.
    pub fn fill(&mut self, now: Duration, head_limit: usize) -> bool {
        let limit = match (self.request, self.reader.is_partial()) {
            (Some(_), _) => READ_AHEAD_BYTES,
            (None, true) => BODY_READ_BYTES,
            (None, false) => READ_AHEAD_BYTES.max(head_limit + 1),
        };
        let held = self.connection.inbound.len();
        let outcome = self.connection.fill(limit);
        match self.connection.inbound.len() - held {
            0 => {}
            _ if held == 0 && !self.reader.is_partial() => self.progress = Progress::begin(now),
            received => self.progress.note(now, received),
        }
        self.has_unread = matches!(outcome, Ok(ReadOutcome::Full));
        if self.connection.inbound.is_empty() {
            self.waiting_since = None;
        }
        !matches!(outcome, Ok(ReadOutcome::Closed) | Err(_))
    }

    /// Whether a request is being read whose next bytes are in the socket, for which no event comes.
    pub fn awaits_reading(&self) -> bool {
        let is_blocked = self.connection.unsent() > UNSENT_LIMIT;
        self.has_unread && self.request.is_none() && !self.closing && !is_blocked
    }

    /// Memory that the connection takes, with the response that is being sent, but without a request in flight.
    pub fn memory(&self) -> PeerMemory {
        let unsent = self.connection.unsent();
        let owes_bytes = self.is_reading_request() || unsent > 0;
        PeerMemory {
            stalled_since: owes_bytes.then_some(self.progress.at()),
            held_bytes: self.reader.charged_bytes() + self.connection.held_bytes() + unsent,
        }
    }

    /// When the connection was last used; `None` while a request is in flight.
    pub fn rests_since(&self) -> Option<Duration> {
        let last_used = self.idle_since.max(self.progress.at());
        self.request.is_none().then_some(last_used)
    }

    /// Whether a request was received in part.
    pub fn is_reading_request(&self) -> bool {
        let has_begun = self.reader.is_partial() || !self.connection.inbound.is_empty();
        self.request.is_none() && !self.closing && has_begun
    }

    /// Whether received bytes may contain another request that can be handled now.
    pub fn has_input(&self) -> bool {
        self.request.is_none() && (self.has_unread || !self.connection.inbound.is_empty())
    }

    /// The next complete request; `None` while one is in flight.
    ///
    /// # Errors
    /// The received bytes are not a valid request, or exceed the limits.
    pub fn next_request(
        &mut self,
        now: Duration,
        limits: RequestLimits,
    ) -> Result<Option<(Request, Duration)>, BadRequest> {
        let is_blocked = self.connection.unsent() > UNSENT_LIMIT;
        if self.request.is_some() || self.closing || is_blocked {
            return Ok(None);
        }
        if !self.connection.inbound.is_empty() {
            let arrived_at = self.waiting_since.unwrap_or(now);
            self.request_started.get_or_insert(arrived_at);
        }
        let request = self.reader.take(&mut self.connection.inbound, limits)?;
        if self.reader.wants_continue() {
            self.connection.queue(b"HTTP/1.1 100 Continue\r\n\r\n");
            let _ = self.connection.flush();
        }
        let Some(request) = request else {
            self.connection.trim();
            return Ok(None);
        };
        if self.connection.inbound.is_empty() {
            self.waiting_since = None;
        }
        self.keeps_alive = request.keeps_alive;
        let received_at = self.request_started.take().unwrap_or(now);
        Ok(Some((request, received_at)))
    }

    /// Whether no request is being read or is in flight, and all output is sent.
    pub fn is_idle(&self) -> bool {
        self.request.is_none() && self.request_started.is_none() && self.connection.unsent() == 0
    }

    /// Records that the response to the request in flight was written to the output.
    pub fn begin_response(&mut self, now: Duration) {
        self.request = None;
        self.idle_since = now;
        self.progress = Progress::begin(now);
    }

    /// Ends the output; returns whether the connection is kept to drop the rest of a request that was not read.
    fn begin_close(&mut self, now: Duration) -> bool {
        let is_unread =
            self.has_unread || self.reader.is_partial() || !self.connection.inbound.is_empty();
        self.reader.abandon();
        self.request_started = None;
        self.connection.begin_close(now);
        is_unread && !self.connection.is_read_closed()
    }

    /// Sends buffered output; returns whether the connection is still usable.
    pub fn flush(&mut self, now: Duration) -> bool {
        let unsent = self.connection.unsent();
        let outcome = self.connection.flush();
        let sent = unsent - self.connection.unsent();
        self.progress.note(now, sent);
        match outcome {
            Ok(true) if self.closing => self.begin_close(now),
            Ok(_) => true,
            Err(_) => false,
        }
    }
}

/// Connections of clients and other gateways by their tokens.
pub type Clients = HashMap<Token, Client>;
