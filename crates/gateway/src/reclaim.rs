//! Admission of messages to the memory that they share, and reclaiming it from clients that stand still.
//!
//! A request that is read completely is never ended for others: its server may be running it. An incomplete one certainly
//! did not run.

use std::time::Duration;

use grebepin_telemetry::{event, Event};
use mio::Token;

use crate::event_loop::EventLoop;
use crate::http_writer::LocalResponse;
use crate::refusal::Refusal;

impl EventLoop {
    /// Whether a request that takes `bytes`, which are counted already, fits into the memory, after memory was reclaimed
    /// if necessary.
    pub(crate) fn has_memory_for_request(&mut self, bytes: usize) -> bool {
        let bounds = self.settings.memory_bounds();
        if self.held_memory.fits_request(bounds, bytes) {
            return true;
        }
        self.reclaim_memory(bytes);
        self.held_memory.fits_request(bounds, bytes)
    }

    /// Ends messages of clients that stand still, those that have stood longest first, until a request that takes `bytes`
    /// fits.
    fn reclaim_memory(&mut self, bytes: usize) {
        let now = self.now();
        let bounds = self.settings.memory_bounds();
        let clients = self.clients.iter();
        let clients = clients.map(|(token, client)| (*token, client.memory()));
        let stalled = self.stall_search.find(now, clients);
        for (since, token) in stalled {
            if self.held_memory.is_reclaimed(bounds, bytes) {
                return;
            }
            self.end_stalled_message(token, now.saturating_sub(since));
        }
    }

    /// Refuses a client's incomplete request.
    fn end_stalled_message(&mut self, token: Token, stalled_for: Duration) {
        let Some(client) = self.clients.get(&token) else {
            return;
        };
        event!(
            Event::StalledClientEnded,
            held = client.memory().held_bytes,
            stalled_ms = stalled_for.as_millis()
        );
        self.refuse_incomplete(token);
    }

    /// Refuses a request of which more bytes are to come, since there is no memory for it.
    pub(crate) fn refuse_incomplete(&mut self, token: Token) {
        let refusal = Refusal::NoMemory;
        event!(
            Event::RequestRefused,
            reason = refusal.reason(),
            requests = self.held_memory.requests.held()
        );
        let response = LocalResponse::not_run(refusal.retry_after(None));
        self.respond(token, response.closing(), "");
    }
}
