//! Feeds what happens on connections to servers into [`crate::reachability`], and logs the changes.

use std::time::Duration;

use grebepin_catalog::InstanceId;
use grebepin_telemetry::{age_ms, event, Event};

use crate::event_loop::EventLoop;
use crate::reachability::{ConnectFailure, PathChange};

/// Time after which a request that was sent counts as unanswered, as a multiple of the server's expected response
/// time, and the least such time. Lost packets are sent again within it.
const UNANSWERED_FACTOR: u32 = 3;
const MIN_UNANSWERED_TIME: Duration = Duration::from_millis(300);

impl EventLoop {
    /// Records that bytes of a server arrived.
    pub(crate) fn note_received(&mut self, server: &InstanceId) {
        if let Some(instance) = self.table.instance(server) {
            let now = self.now();
            let changes = self.reachability.received(server, &instance.service, now);
            self.on_path_changes(&changes);
        }
    }

    /// Records that a connection to a server was established.
    pub(crate) fn note_connected(&mut self, server: &InstanceId) {
        if let Some(instance) = self.table.instance(server) {
            let now = self.now();
            let changes = self.reachability.connected(server, &instance.service, now);
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
            let changes = self
                .reachability
                .connect_failed(server, service, failure, began, now);
            self.on_path_changes(&changes);
        }
    }

    /// Records requests that have been sent to servers and are without an answer for too long.
    pub(crate) fn note_unanswered_requests(&mut self, now: Duration) {
        let sent = self.in_flight.assigned();
        let unanswered = sent.filter(|(server, since)| {
            let instance = self.table.instance(server);
            let expected = instance.map(|one| self.load_balancer.expected_time(one));
            let patience = expected.unwrap_or_default() * UNANSWERED_FACTOR;
            now > *since + patience.max(MIN_UNANSWERED_TIME)
        });
        let unanswered: Vec<(InstanceId, Duration)> = unanswered
            .map(|(server, since)| (server.clone(), since))
            .collect();
        for (server, since) in unanswered {
            let Some(instance) = self.table.instance(&server) else {
                continue;
            };
            let changes = self
                .reachability
                .unanswered(&server, &instance.service, since);
            self.on_path_changes(&changes);
        }
    }

    fn on_path_changes(&mut self, changes: &[PathChange]) {
        for change in changes {
            match change {
                PathChange::Lost(service) => event!(
                    Event::PathsLost,
                    service = service.as_deref().unwrap_or_default(),
                    silence_ms = age_ms(self.reachability.silence(self.now())),
                    unreachable = self.reachability.unreachable()
                ),
                PathChange::Restored(service, after) => event!(
                    Event::PathsRestored,
                    service = service.as_deref().unwrap_or_default(),
                    ms = after.as_millis()
                ),
            }
        }
    }
}
