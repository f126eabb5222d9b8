//! Feeds what happens on connections to servers into [`crate::reachability`], and logs the changes.

use std::time::Duration;

use grebepin_catalog::{Instance, InstanceId, RequestKind};
use grebepin_telemetry::{age_ms, event, Event};
use mio::Token;

use crate::event_loop::EventLoop;
use crate::in_flight::{InFlightId, InFlightRequest};
use crate::reachability::{
    ConnectFailure, Loss, PathChange, Reachability, ServerCounts, MAX_REQUIRED_FAILURES,
};
use crate::upstreams::Upstreams;

/// Time after which a request that was sent counts as unanswered, as a multiple of the server's expected response
/// time, and the least such time.
const UNANSWERED_FACTOR: u32 = 3;
const MIN_UNANSWERED_TIME: Duration = Duration::from_millis(250);

/// Time for which a server that was heard counts as working.
const HEARD_LATELY: Duration = Duration::from_millis(500);

/// Whether a request can most likely be sent to a server, on a new connection or an idle one.
pub(crate) fn is_reachable(
    reachability: &Reachability,
    upstreams: &Upstreams,
    server: &Instance,
) -> bool {
    let (id, service) = (&server.id, &server.service);
    reachability.may_connect(id, service)
        || (upstreams.has_idle(id) && reachability.is_open(id, service))
}

impl EventLoop {
    /// Records that bytes of a server arrived on a connection.
    pub(crate) fn note_received(&mut self, token: Token, now: Duration) {
        let server = self.upstreams.get(token).map(|one| &one.server);
        if let Some(one) = server.and_then(|server| self.table.instance(server)) {
            let changes = self.reachability.received(&one.id, &one.service, now);
            self.on_path_changes(&changes);
        }
    }

    /// Records that a connection to a server was established.
    pub(crate) fn note_connected(&mut self, token: Token, now: Duration) {
        let server = self.upstreams.get(token).map(|one| &one.server);
        if let Some(one) = server.and_then(|server| self.table.instance(server)) {
            let changes = self.reachability.connected(&one.id, &one.service, now);
            self.on_path_changes(&changes);
        }
    }

    /// Records that an attempt to connect to a server, begun at `began`, failed.
    pub(crate) fn note_connect_failure(
        &mut self,
        server: &InstanceId,
        failure: ConnectFailure,
        began: Duration,
    ) {
        if let Some(instance) = self.table.instance(server) {
            let (service, now) = (&instance.service, self.now());
            let servers = ServerCounts {
                of_service: self
                    .table
                    .usable_servers(service)
                    .take(MAX_REQUIRED_FAILURES)
                    .count(),
                all: self
                    .table
                    .live_servers()
                    .take(MAX_REQUIRED_FAILURES)
                    .count(),
            };
            let changes = self
                .reachability
                .connect_failed(server, service, failure, began, now, servers);
            self.on_path_changes(&changes);
        }
    }

    /// Records requests that have been sent to servers and are without an answer for long.
    pub(crate) fn note_unanswered_requests(&mut self, now: Duration) {
        let sent = self.in_flight.assigned();
        let unanswered = sent.filter(|(server, since)| {
            let instance = self.table.instance(server);
            let expected = instance.map(|one| self.load_balancer.expected_time(one));
            let patience = expected.unwrap_or_default() * UNANSWERED_FACTOR;
            now > *since + patience.max(MIN_UNANSWERED_TIME)
        });
        for (server, since) in unanswered {
            if let Some(instance) = self.table.instance(server) {
                self.reachability.unanswered(&instance.service, since);
            }
        }
    }

    /// Whether what happened on a connection to a server tells about the server: bytes arrive from it.
    pub(crate) fn is_heard(&self, server: &InstanceId) -> bool {
        let instance = self.table.instance(server);
        instance.is_none_or(|one| self.reachability.is_open(server, &one.service))
    }

    /// Whether bytes of a server arrived so recently that it most likely works.
    pub(crate) fn is_heard_lately(&self, server: &InstanceId) -> bool {
        let since = self.now().saturating_sub(HEARD_LATELY);
        self.reachability.is_heard_since(server, since)
    }

    /// Whether a request can most likely be sent to a server from here.
    pub(crate) fn is_reachable(&self, server: &Instance) -> bool {
        is_reachable(&self.reachability, &self.upstreams, server)
    }

    /// Opens connections to some of the servers that may be out of reach, without a request of a client.
    pub(crate) fn probe_servers(&mut self, now: Duration) {
        if !self.reachability.is_in_doubt() {
            return;
        }
        self.update_peers();
        let servers = self.table.live_servers();
        for server in self.reachability.due_probes(now, servers) {
            self.connect(&server, now);
        }
    }

    fn on_path_changes(&mut self, changes: &[PathChange]) {
        for change in changes {
            let service = change.service.as_deref().unwrap_or_default();
            let new_only = change.loss == Loss::NewConnections;
            if let Some(after) = change.restored_after {
                event!(
                    Event::PathsRestored,
                    service = service,
                    new_connections_only = new_only,
                    ms = after.as_millis()
                );
                self.end_ejections(change.service.as_deref(), after);
                continue;
            }
            event!(
                Event::PathsLost,
                service = service,
                new_connections_only = new_only,
                silence_ms = age_ms(self.reachability.silence(self.now())),
                unreachable = self.reachability.unreachable()
            );
            if let Some(since) = self.reachability.silent_since(service) {
                self.crashes.forget_since(since);
            }
        }
        if changes.iter().any(|change| change.restored_after.is_none()) {
            self.leave_lost_paths();
        }
    }

    /// Ends the ejections of servers that failed while the paths to them were lost, for `time` until now.
    fn end_ejections(&mut self, service: Option<&str>, time: Duration) {
        let since = self.now().saturating_sub(time);
        let table = &self.table;
        self.load_balancer.end_ejections(since, |id| {
            let instance = table.instance(id);
            service.is_none() || instance.is_some_and(|one| Some(one.service.as_str()) == service)
        });
    }

    /// Ends what waits on connections that most likely no longer work: attempts to connect, whose requests are
    /// dispatched again, idle connections, and requests that may be repeated.
    fn leave_lost_paths(&mut self) {
        let lost = self.upstreams.iter().filter(|(_, upstream)| {
            let instance = self.table.instance(&upstream.server);
            instance.is_some_and(|one| !self.reachability.is_open(&one.id, &one.service))
        });
        let lost: Vec<(Token, bool, Option<InFlightId>)> = lost
            .map(|(token, upstream)| (token, upstream.connected, upstream.request))
            .collect();
        for (token, connected, request) in lost {
            let request = request.and_then(|id| self.in_flight.get(id));
            match (connected, request.map(InFlightRequest::kind)) {
                (false, Some(_)) => self.on_connect_failure(token, ConnectFailure::TimedOut),
                (true, Some(RequestKind::Safe)) => {
                    self.fail_connection(token, "paths to servers lost");
                }
                (true, None) => _ = self.drop_upstream(token),
                (true, Some(RequestKind::Unsafe)) | (false, None) => {}
            }
        }
    }
}
