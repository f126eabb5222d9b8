//! HTTP connections of operators and servers.

use std::io::Write as _;
use std::time::Duration;

use grebepin_reactor::http::{BadRequest, Request, RequestLimits, RequestReader};
use grebepin_reactor::{Connection, MemoryAccount, PeerMemory, Progress, ReadOutcome};

use crate::call::CallBasis;
use crate::dialect::HttpReply;

/// Size limits of a request.
const LIMITS: RequestLimits = RequestLimits {
    head_bytes: 16 << 10,
    body_bytes: 16 << 20,
};

/// Bytes that are read ahead of calls, which may be pipelined: more than a head may have.
const READ_AHEAD_BYTES: usize = LIMITS.head_bytes + 1;

/// Bytes of a body that are read in one turn of the event loop.
const BODY_READ_BYTES: usize = 256 << 10;

/// Unsent bytes of replies above which no further call of the connection is handled, so that a caller that sends calls
/// and does not read holds a bounded amount of memory.
const UNSENT_LIMIT: usize = 64 << 10;

/// HTTP connection of a client.
#[derive(Debug)]
pub(super) struct HttpConnection {
    pub(super) connection: Connection,
    reader: RequestReader,
    /// Whether a request on it is being processed.
    pub(super) busy: bool,
    keeps_alive: bool,
    closing: bool,
    ended: bool,
    /// Whether the last read left bytes in the socket, for which no event comes.
    has_unread: bool,
    /// Of the call that is being received, or of the reply that is being sent.
    progress: Progress,
    /// Time of the last activity.
    pub(super) last_active: Duration,
    pub(super) accepted_at: Duration,
    /// What this replica knew before the next call on this connection can have been sent: when the connection was opened,
    /// or when the last call was answered. Later knowledge does not count, since a network may hold a call back for long.
    basis: CallBasis,
    /// Time before which no byte of the next request can have arrived; `None` while there is none.
    unread_since: Option<Duration>,
}

/// A complete request of a connection.
pub(super) struct ReceivedRequest {
    pub(super) request: Request,
    /// Time before which its first byte cannot have arrived.
    pub(super) arrived_after: Duration,
    /// What this replica knew before it can have been sent.
    pub(super) basis: CallBasis,
}

/// What a replica knew at a time.
#[derive(Clone, Copy, Debug)]
pub(super) struct KnownBefore {
    pub(super) at: Duration,
    pub(super) basis: CallBasis,
}

impl HttpConnection {
    /// A connection that was accepted at `now` and opened after `opened_after`.
    pub(super) fn new(
        mut connection: Connection,
        now: Duration,
        opened_after: KnownBefore,
        memory: &MemoryAccount,
    ) -> Self {
        connection.charge_to(memory);
        Self {
            connection,
            reader: RequestReader::new(memory.clone()),
            busy: false,
            keeps_alive: true,
            closing: false,
            ended: false,
            has_unread: false,
            progress: Progress::begin(now),
            last_active: now,
            accepted_at: now,
            unread_since: Some(opened_after.at),
            basis: opened_after.basis,
        }
    }

    /// Records that an event was reported which occurred after `occurred_after`, and whether it reports that the caller
    /// closed its side.
    pub(super) fn note_event(&mut self, occurred_after: Duration, is_read_closed: bool) {
        self.unread_since.get_or_insert(occurred_after);
        if is_read_closed {
            self.connection.note_read_closed();
        }
    }

    /// Whether the caller is known to have closed its side.
    pub(super) fn is_closed_by_caller(&self) -> bool {
        self.ended
    }

    /// Reads available bytes, a part of them if there are many. Returns whether the connection can still be used.
    pub(super) fn fill(&mut self, now: Duration) -> bool {
        let limit = match !self.busy && self.reader.is_partial() {
            true => BODY_READ_BYTES,
            false => READ_AHEAD_BYTES,
        };
        let held = self.connection.inbound.len();
        let outcome = self.connection.fill(limit);
        match self.connection.inbound.len() - held {
            0 => {}
            _ if held == 0 && !self.reader.is_partial() => self.progress = Progress::begin(now),
            received => self.progress.note(now, received),
        }
        self.has_unread = matches!(outcome, Ok(ReadOutcome::Full));
        match outcome {
            Ok(ReadOutcome::Closed) => self.ended = true,
            Ok(_) => {}
            Err(_) => return false,
        }
        if self.connection.inbound.is_empty() && !self.reader.is_partial() {
            self.unread_since = None;
        }
        !self.ended || self.busy || !self.connection.inbound.is_empty()
    }

    /// The next complete request, unless one is being processed.
    pub(super) fn next_call(
        &mut self,
        now: Duration,
    ) -> Result<Option<ReceivedRequest>, BadRequest> {
        if self.busy || self.closing || self.is_blocked() {
            return Ok(None);
        }
        let call = self.reader.take(&mut self.connection.inbound, LIMITS)?;
        if self.reader.wants_continue() {
            self.connection.queue(b"HTTP/1.1 100 Continue\r\n\r\n");
        }
        let Some(request) = call else {
            self.connection.trim();
            return Ok(None);
        };
        self.busy = true;
        self.keeps_alive = request.keeps_alive;
        let arrived_after = self.unread_since.unwrap_or(now);
        if self.connection.inbound.is_empty() {
            self.unread_since = None;
        }
        Ok(Some(ReceivedRequest {
            request,
            arrived_after,
            basis: self.basis,
        }))
    }

    /// Whether received bytes may contain a call that can be handled now.
    pub(super) fn has_input(&self) -> bool {
        !self.busy && (self.has_unread || !self.connection.inbound.is_empty())
    }

    /// Whether a call is being read whose next bytes are in the socket, for which no event comes.
    pub(super) fn awaits_reading(&self) -> bool {
        self.has_unread && !self.busy && !self.closing && !self.is_blocked()
    }

    /// Whether the caller must read replies before another of its calls is handled.
    fn is_blocked(&self) -> bool {
        self.connection.unsent() > UNSENT_LIMIT
    }

    /// Whether a call was received in part.
    pub(super) fn is_reading_call(&self) -> bool {
        let has_begun = self.reader.is_partial() || !self.connection.inbound.is_empty();
        has_begun && !self.busy && !self.closing
    }

    /// Memory that the connection takes, with the call that is being read.
    pub(super) fn memory(&self) -> PeerMemory {
        let owes_bytes = self.is_reading_call() || self.connection.unsent() > 0;
        PeerMemory {
            stalled_since: owes_bytes.then_some(self.progress.at()),
            held_bytes: self.reader.charged_bytes() + self.connection.held_bytes(),
        }
    }

    /// When the connection was last used; `None` while a call is being processed.
    pub(super) fn rests_since(&self) -> Option<Duration> {
        (!self.busy).then_some(self.last_active)
    }

    /// Writes a response. `known` is what this replica knows now. Returns whether the connection can still be used.
    pub(super) fn answer(
        &mut self,
        reply: &HttpReply,
        content_type: &str,
        known: CallBasis,
        now: Duration,
    ) -> bool {
        let connection = match self.keeps_alive {
            true => "keep-alive",
            false => "close",
        };
        let out = self.connection.outbound();
        let _ = write!(
            out,
            "HTTP/1.1 {} {}\r\nContent-Type: {content_type}\r\nContent-Length: {}\r\nConnection: {connection}\r\n\r\n",
            reply.status,
            reason_phrase(reply.status),
            reply.body.len()
        );
        out.extend_from_slice(&reply.body);
        self.busy = false;
        self.progress = Progress::begin(now);
        // A pipelined call was sent before this response.
        if self.connection.inbound.is_empty() {
            self.basis = known;
        }
        self.closing = !self.keeps_alive;
        let is_open = self.flush(now);
        self.connection.trim();
        is_open
    }

    /// Writes the response to a call that is not read to its end, and closes the connection.
    pub(super) fn refuse(
        &mut self,
        reply: &HttpReply,
        content_type: &str,
        known: CallBasis,
        now: Duration,
    ) -> bool {
        self.keeps_alive = false;
        self.answer(reply, content_type, known, now)
    }

    /// Sends buffered bytes. Returns whether the connection can still be used.
    pub(super) fn flush(&mut self, now: Duration) -> bool {
        match self.send(now) {
            Ok(true) if self.closing => self.begin_close(now),
            Ok(_) => !(self.ended && !self.busy && self.connection.unsent() == 0),
            Err(_) => false,
        }
    }

    /// Sends buffered bytes; returns whether all were sent.
    pub(super) fn send(&mut self, now: Duration) -> std::io::Result<bool> {
        let unsent = self.connection.unsent();
        let outcome = self.connection.flush();
        let sent = unsent - self.connection.unsent();
        self.progress.note(now, sent);
        outcome
    }

    /// Ends the output; returns whether the connection is kept to drop the rest of a call that was not read.
    fn begin_close(&mut self, now: Duration) -> bool {
        let is_unread =
            self.has_unread || self.reader.is_partial() || !self.connection.inbound.is_empty();
        self.reader.abandon();
        self.connection.begin_close(now);
        is_unread && !self.ended
    }
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        413 => "Content Too Large",
        422 => "Unprocessable Content",
        503 => "Service Unavailable",
        _ => "Status",
    }
}
