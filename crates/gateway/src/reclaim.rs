//! Admission of messages to the memory that they share, and reclaiming memory and connections from clients that stand
//! still.
//!
//! A request that is read completely is never ended for others: its server may be running it. What can be reclaimed is
//! an incomplete request, of which the gateway knows that it did not run, and a response that its client does not read.

use std::time::Duration;

use grebepin_telemetry::{event, Event};
use mio::Token;

use crate::clients::Client;
use crate::event_loop::EventLoop;
use crate::http_writer::LocalResponse;
use crate::refusal::Refusal;

/// Connections that are closed at once to make room for new ones, so that not each new one causes a search of all.
const CLOSED_AT_ONCE: usize = 16;

impl EventLoop {
    /// Whether the request of a client that takes `bytes`, which are counted already, fits into the memory, after memory
    /// was reclaimed from other clients if necessary.
    pub(crate) fn has_memory_for_request(&mut self, token: Token, bytes: usize) -> bool {
        let bounds = self.settings.memory_bounds();
        if self.held_memory.fits_request(bounds, bytes) {
            return true;
        }
        self.reclaim_memory(bytes, Some(token));
        self.held_memory.fits_request(bounds, bytes)
    }

    /// The same for the responses that are being received.
    pub(crate) fn has_memory_for_responses(&mut self) -> bool {
        let bounds = self.settings.memory_bounds();
        if self.held_memory.fits_responses(bounds) {
            return true;
        }
        self.reclaim_memory(0, None);
        self.held_memory.fits_responses(bounds)
    }

    /// Ends messages of clients that stand still, those that have stood longest first, until a request that takes `bytes`
    /// fits. Responses go last: their servers have done the work. The client `spared` is the one whose request is being
    /// handled: if it were refused here as well, it would get two answers.
    fn reclaim_memory(&mut self, bytes: usize, spared: Option<Token>) {
        let now = self.now();
        let bounds = self.settings.memory_bounds();
        let clients = self.clients.iter();
        let clients = clients.filter(|(token, _)| Some(**token) != spared);
        let clients = clients.map(|(token, client)| (*token, client.memory().reclaimable_since()));
        let stalled = self.stall_search.find(now, clients);
        for (since, token) in self.requests_first(stalled) {
            if self.held_memory.is_reclaimed(bounds, bytes) {
                return;
            }
            self.end_stalled_message(token, now.saturating_sub(since));
        }
    }

    /// Closes connections that rest, incomplete requests before those of idle clients, if there are `limit` connections
    /// already. Those with a request in flight are never closed.
    pub(crate) fn reclaim_connections(&mut self, limit: usize) {
        if self.connection_count() < limit {
            return;
        }
        let now = self.now();
        let clients = self.clients.iter();
        let clients = clients.map(|(token, client)| (*token, client.rests_since()));
        let resting = self.rest_search.find(now, clients);
        let closed = self.requests_first(resting).take(CLOSED_AT_ONCE);
        let closed: Vec<Token> = closed.map(|(_, token)| token).collect();
        if closed.is_empty() {
            return;
        }
        event!(
            Event::RestingClientsClosed,
            closed = closed.len(),
            connections = self.connection_count(),
            limit = limit
        );
        for token in closed {
            self.drop_client(token);
        }
    }

    /// The same clients in order, those whose requests are incomplete before the others.
    fn requests_first(
        &self,
        clients: Vec<(Duration, Token)>,
    ) -> impl Iterator<Item = (Duration, Token)> + use<> {
        let is_reading = |(_, token): &(Duration, Token)| {
            let client = self.clients.get(token);
            client.is_some_and(Client::is_reading_request)
        };
        let (requests, others): (Vec<_>, Vec<_>) = clients.into_iter().partition(is_reading);
        requests.into_iter().chain(others)
    }

    /// Refuses a client's incomplete request, or closes the connection of a client that does not read its response.
    fn end_stalled_message(&mut self, token: Token, stalled_for: Duration) {
        let Some(client) = self.clients.get(&token) else {
            return;
        };
        event!(
            Event::StalledClientEnded,
            reading = client.is_reading_request(),
            held = client.memory().held_bytes,
            unsent = client.connection.unsent(),
            stalled_ms = stalled_for.as_millis()
        );
        match client.is_reading_request() && client.connection.unsent() == 0 {
            true => self.refuse_incomplete(token),
            false => self.drop_client(token),
        }
    }

    /// Refuses a request of which more bytes are to come, since there is no memory for it.
    pub(crate) fn refuse_incomplete(&mut self, token: Token) {
        let refusal = Refusal::NoMemory;
        event!(
            Event::RequestRefused,
            reason = refusal.reason(),
            requests = self.held_memory.requests.held(),
            responses = self.held_memory.responses.held()
        );
        let response = LocalResponse::not_run(refusal.retry_after(None));
        self.respond(token, response.closing(), "");
    }
}
