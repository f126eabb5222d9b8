//! Admission of calls to the memory that they share, and reclaiming memory and connections from callers that stand still.

use std::time::Duration;

use grebepin_telemetry::{event, Event};
use mio::Token;

use super::calls::Origin;
use super::event_loop::{EventLoop, CONNECTION_LIMIT};
use crate::call::{ItemDocument, Reply, UnavailableReason};

/// Connections that are closed at once to make room for new ones, so that not each new one causes a search of all.
const CLOSED_AT_ONCE: usize = 16;

/// Unsent bytes of a link to another replica from which on no items are written to it. Relayed reads are then answered as
/// unavailable, and may be repeated. Items larger than this are written while the link has less.
const RELAYED_ITEMS_LIMIT: usize = 8 << 20;

impl EventLoop<'_> {
    /// Handles a call of which more bytes are to come: it is refused if there is no memory for it.
    pub(super) fn continue_reading(&mut self, token: Token) {
        let Some(http) = self.http_connections.get(&token) else {
            return;
        };
        let is_reading = http.is_reading_call();
        let bytes = http.memory().held_bytes;
        if http.awaits_reading() {
            self.ready_callers.push_back(token);
        }
        if is_reading && !self.has_memory_for_call(token, bytes) {
            self.refuse_without_memory(token, bytes, Duration::ZERO);
        }
    }

    /// Whether the call of a caller that takes `bytes`, which are counted already, fits into the memory, after memory was
    /// reclaimed from other callers if necessary.
    pub(super) fn has_memory_for_call(&mut self, token: Token, bytes: usize) -> bool {
        self.has_memory(token, bytes, 0)
    }

    /// Whether the items fit into the memory for a caller, or into what a link may hold for another replica. Other replies
    /// are small. Many reads may be answered at the same moment, before any of the replies is sent.
    pub(super) fn has_memory_for_reply(&mut self, origin: Origin, reply: &Reply) -> bool {
        let Reply::Items(items) = reply else {
            return true;
        };
        match origin {
            Origin::Http(token) => {
                let bytes = items.iter().map(ItemDocument::bytes).sum();
                self.has_memory(token, bytes, bytes)
            }
            Origin::Replica(token, _) => {
                let link = self.inbound_links.get(&token);
                link.is_none_or(|link| link.connection.unsent() < RELAYED_ITEMS_LIMIT)
            }
        }
    }

    /// Whether a message of `bytes`, of which `uncounted` are not held yet, fits into the memory, after memory was
    /// reclaimed from other callers than that of `token` if necessary.
    fn has_memory(&mut self, token: Token, bytes: usize, uncounted: usize) -> bool {
        let bounds = self.settings.call_memory();
        if bounds.fits(self.call_memory.held() + uncounted, bytes) {
            return true;
        }
        self.reclaim_memory(bytes, uncounted, token);
        bounds.fits(self.call_memory.held() + uncounted, bytes)
    }

    /// Ends messages of callers that stand still, those that have stood longest first, until a call that takes `bytes`
    /// fits. The caller `spared` is the one whose call is being handled: if it were refused here as well, it would get two
    /// answers.
    fn reclaim_memory(&mut self, bytes: usize, uncounted: usize, spared: Token) {
        let now = self.now();
        let bounds = self.settings.call_memory();
        let callers = self.http_connections.iter();
        let callers = callers.filter(|(token, _)| **token != spared);
        let callers = callers.map(|(token, http)| (*token, http.memory().reclaimable_since()));
        let stalled = self.stall_search.find(now, callers);
        for (since, token) in stalled {
            if bounds.fits(self.call_memory.held() + uncounted, bytes) {
                return;
            }
            self.end_stalled_message(token, now.saturating_sub(since));
        }
    }

    /// Closes the connections of callers that have rested longest if there are [`CONNECTION_LIMIT`] already. Those whose
    /// calls are being processed stay.
    pub(super) fn reclaim_connections(&mut self) {
        if self.http_connections.len() < CONNECTION_LIMIT {
            return;
        }
        let now = self.now();
        let callers = self.http_connections.iter();
        let callers = callers.map(|(token, http)| (*token, http.rests_since()));
        let resting = self.rest_search.find(now, callers);
        if resting.is_empty() {
            return;
        }
        let closed = resting.len().min(CLOSED_AT_ONCE);
        event!(
            Event::RestingCallersClosed,
            closed = closed,
            connections = self.http_connections.len()
        );
        for (_, token) in resting.into_iter().take(closed) {
            self.http_connections.remove(&token);
        }
    }

    /// Refuses a caller's incomplete call, or closes the connection of a caller that does not read its reply.
    fn end_stalled_message(&mut self, token: Token, stalled_for: Duration) {
        let Some(http) = self.http_connections.get(&token) else {
            return;
        };
        let bytes = http.memory().held_bytes;
        match http.is_reading_call() && http.connection.unsent() == 0 {
            true => self.refuse_without_memory(token, bytes, stalled_for),
            false => {
                self.log_ended(false, bytes, stalled_for);
                self.http_connections.remove(&token);
            }
        }
    }

    fn refuse_without_memory(&mut self, token: Token, bytes: usize, stalled_for: Duration) {
        self.log_ended(true, bytes, stalled_for);
        let reply = Reply::Unavailable(UnavailableReason::NoMemory);
        let reply = self.dialect.render(&reply);
        self.refuse_caller(token, &reply);
    }

    fn log_ended(&self, is_reading: bool, bytes: usize, stalled_for: Duration) {
        event!(
            Event::CallerEnded,
            reading = is_reading,
            held = bytes,
            all = self.call_memory.held(),
            stalled_ms = stalled_for.as_millis()
        );
    }
}
