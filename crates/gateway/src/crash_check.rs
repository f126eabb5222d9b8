//! Whether a server that ended a connection under a request is still there, see [`crate::crash_history`].

use grebepin_catalog::InstanceId;
use grebepin_telemetry::{event, Event};
use mio::Token;

use crate::crash_history::fingerprint;
use crate::flight::FlightId;
use crate::server::Server;

impl Server {
    /// A server ended a connection before any byte of an answer: looks whether it is still there. Only one that refuses a
    /// new connection counts as crashed by what it ran, since others drop connections when they are short of room.
    pub(crate) fn look_for_crash(&mut self, id: FlightId, server: &InstanceId) {
        let now = self.now();
        let Some(flight) = self.flights.get(id) else {
            return;
        };
        let fingerprint = fingerprint(&flight.request, &self.names);
        let Some(instance) = self.table.instance(server).cloned() else {
            return;
        };
        let Some(token) = self.connect(&instance, now) else {
            return;
        };
        if let Some(upstream) = self.upstreams.get_mut(token) {
            upstream.shows_crash_by = Some(fingerprint);
        }
    }

    /// A server refused a connection: if that was to show whether it is still there, it crashed.
    pub(crate) fn note_refused_connection(&mut self, token: Token) {
        let now = self.now();
        let Some(upstream) = self.upstreams.get(token) else {
            return;
        };
        let Some(fingerprint) = upstream.shows_crash_by else {
            return;
        };
        event!(
            Event::ServerCrashed,
            instance = upstream.server,
            fingerprint = fingerprint
        );
        self.crashes.note_crash(now, fingerprint, &upstream.server);
    }
}
