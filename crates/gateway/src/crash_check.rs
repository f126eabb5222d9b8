//! Detects whether a server that closed a connection with a request on it has crashed, see
//! [`crate::crash_history`].

use grebepin_catalog::{Instance, InstanceId};
use grebepin_telemetry::{event, Event};
use mio::Token;

use crate::crash_history::fingerprint;
use crate::event_loop::EventLoop;
use crate::in_flight::InFlightId;

impl EventLoop {
    /// Opens a probe connection to a server that closed a connection before the first byte of a response. The
    /// request counts as the cause of a crash only if the server refuses the probe, since servers also drop
    /// connections when they are short of capacity.
    pub(crate) fn probe_for_crash(&mut self, id: InFlightId, server: &InstanceId) {
        let now = self.now();
        let Some(request) = self.in_flight.get(id) else {
            return;
        };
        let fingerprint = fingerprint(&request.message, &self.names);
        let Some(instance) = self.table.instance(server).cloned() else {
            return;
        };
        let Some(token) = self.connect(&instance, now) else {
            return;
        };
        if let Some(upstream) = self.upstreams.get_mut(token) {
            upstream.crash_probe = Some(fingerprint);
        }
    }

    /// Records a crash if the refused connection was a probe for one, unless the paths to the service are lost.
    pub(crate) fn record_probed_crash(&mut self, token: Token) {
        let now = self.now();
        let Some(upstream) = self.upstreams.get(token) else {
            return;
        };
        let Some(fingerprint) = upstream.crash_probe else {
            return;
        };
        let instance = self.table.instance(&upstream.server);
        let is_lost = |one: &Instance| self.reachability.silent_since(&one.service).is_some();
        if instance.is_some_and(is_lost) {
            return;
        }
        event!(
            Event::ServerCrashed,
            instance = upstream.server,
            fingerprint = fingerprint
        );
        self.crashes.note_crash(now, fingerprint, &upstream.server);
    }
}
