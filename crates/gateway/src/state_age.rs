//! Whether the state in force is recent enough to serve requests by, and to answer that a route does not exist.

use std::time::Duration;

use grebepin_catalog::{ChangedItem, InstanceId, ItemSummary};
use grebepin_telemetry::{age_ms, event, Event};

use crate::event_loop::EventLoop;
use crate::in_flight::InFlightId;

/// Maximum number of items that are named in a log line.
const MAX_LOGGED_ITEMS: usize = 20;

/// Age from which a state counts as outdated. Acknowledged changes must be in force within 2 s at the gateways
/// that reach the directory; with a report every 500 ms to the followed replica, states are confirmed at least
/// each second while messages take up to 300 ms.
const OUTDATED_AFTER: Duration = Duration::from_millis(1_500);

impl EventLoop {
    /// Whether the state may lack changes that must be in force. One of unknown age may.
    pub(crate) fn is_outdated(&self) -> bool {
        let age = self.directory.state_age(self.now());
        age.is_none_or(|age| age > OUTDATED_AFTER)
    }

    /// Whether the state may lack changes that must be in force, although a leader's changes reach this gateway. Without
    /// contact to a leader known routes are served on; one that regains contact has the time in which states are
    /// confirmed.
    pub(crate) fn lags_behind(&self) -> bool {
        let contact = self.directory.leader_contact(self.now());
        self.is_outdated() && contact.is_some_and(|held| held > OUTDATED_AFTER)
    }

    /// Time in milliseconds since which acknowledged changes may be missing in the state in force; -1 if unknown.
    pub(crate) fn state_age_ms(&self) -> i64 {
        age_ms(self.directory.state_age(self.now()))
    }

    /// Records by a state of which age a request is sent to a server.
    pub(crate) fn note_sending_state(&self, id: InFlightId, server: &InstanceId) {
        let age = self.directory.state_age(self.now());
        self.metrics.note_sent(age);
        if !self.is_outdated() {
            return;
        }
        self.metrics.sent_by_outdated_state.inc();
        let Some(request) = self.in_flight.get(id) else {
            return;
        };
        event!(
            Event::SentByOutdatedState,
            id = request.request_id,
            route = request.route_name,
            version = request.routed_by.version.0,
            service = request.service,
            instance = server,
            forwarded = request.is_forwarded,
            routed_applied = request.routed_by.applied,
            routed_age_ms = request.routed_by.age_ms,
            state_age_ms = age_ms(age),
            contact_ms = age_ms(self.directory.leader_contact(self.now()))
        );
    }

    /// Logs configuration items that came into force here.
    pub(crate) fn log_items(&self, changed: &[ChangedItem]) {
        if changed.is_empty() {
            return;
        }
        let summary = ItemSummary::of(changed, MAX_LOGGED_ITEMS);
        event!(
            Event::ItemsInForce,
            applied = self.table.applied(),
            items = changed.len(),
            names = summary.names,
            versions = summary.versions,
            removed = summary.removed,
            state_age_ms = self.state_age_ms()
        );
    }

    /// Logs when the state becomes outdated or recent.
    pub(crate) fn log_state_age(&mut self) {
        let is_outdated = self.table.is_configured() && self.is_outdated();
        if is_outdated == self.logged_outdated {
            return;
        }
        self.logged_outdated = is_outdated;
        let event = match is_outdated {
            true => Event::StateOutdated,
            false => Event::StateConfirmed,
        };
        event!(
            event,
            state_age_ms = self.state_age_ms(),
            applied = self.table.applied(),
            links = self.directory.link_count(),
            contact_ms = age_ms(self.directory.leader_contact(self.now())),
            link_wait_ms = self.link_queue.wait(self.now()).as_millis()
        );
    }
}
