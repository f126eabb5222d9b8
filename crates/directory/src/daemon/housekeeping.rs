//! Periodic work: status messages to gateways, metrics, reports to the leader, settings reloads.

use std::time::Duration;

use grebepin_catalog::InstanceState;
use grebepin_reactor::{encode_frame, TextResponse};
use grebepin_telemetry::{age_ms, event, Event};
use mio::Token;

use super::event_loop::EventLoop;
use super::http_connection::HttpConnection;
use super::opening::modified_at;
use crate::call::{Reply, UnavailableReason};
use crate::confirmed_state::report_time;
use crate::fleet::{rotate_relays, FleetSummary, ReplicaReport};
use crate::link::{FromReplica, SourceStatus, ToReplica};
use crate::node::NodeInput;
use crate::settings::DirectorySettings;

/// Interval of the status messages to gateways.
const STATUS_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between two checks of the settings file for changes.
pub(super) const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Time without activity after which an HTTP connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Number of the current status interval; rotates the relays that are named.
fn status_round(now: Duration) -> u64 {
    (now.as_millis() / STATUS_INTERVAL.as_millis()) as u64
}

impl EventLoop<'_> {
    pub(super) fn on_metrics(&mut self, now: Duration, token: Token) {
        self.update_gauges(now);
        let metrics_registry = &self.metrics_registry;
        let answer = || TextResponse {
            status: 200,
            body: metrics_registry.render().unwrap_or_default(),
        };
        if let Some(metrics) = &mut self.metrics_server {
            let registry = self.poll.registry();
            metrics.on_event(now, token, registry, &mut self.next_token, answer);
        }
    }

    /// Updates the gauges.
    pub(super) fn update_gauges(&self, now: Duration) {
        let metrics = &self.metrics;
        let consensus = self.node.consensus();
        let applied = self.node.applied();
        metrics.term.set(consensus.term().0 as i64);
        metrics
            .leads
            .set(i64::from(self.node.holds_leader_lease(now)));
        metrics.applied_index.set(applied as i64);
        let unapplied = consensus.last_index().0.saturating_sub(applied);
        metrics.unapplied_entries.set(unapplied as i64);
        let held = self.node.held_bytes();
        metrics.log_bytes.set(held.log as i64);
        metrics.recent_entry_bytes.set(held.recent_entries as i64);
        metrics.followers.set(i64::from(self.followers()));
        metrics.is_fed.set(i64::from(self.is_fed(now)));
        metrics.state_age_ms.set(age_ms(self.state_age(now)));
        metrics
            .members
            .set(consensus.membership().members.len() as i64);
        metrics.voters.set(self.node.voter_count() as i64);
        metrics.wanted_voters.set(self.node.wanted_voters() as i64);
        let instances = self.node.catalog().instances();
        let live = instances.filter(|instance| instance.state != InstanceState::Gone);
        metrics.instances.set(live.count() as i64);
        let quarantined = self.node.catalog().quarantine().requests().count();
        metrics.quarantined.set(quarantined as i64);
        let evacuated = self.node.catalog().evacuated_zones().len();
        metrics.evacuated_zones.set(evacuated as i64);
    }

    pub(super) fn status(&self, now: Duration) -> SourceStatus {
        let leads = self.node.holds_leader_lease(now);
        let is_fed = self.is_fed(now);
        SourceStatus {
            term: self.node.consensus().term().0,
            leads,
            applied: self.node.applied(),
            replicas: self.node.replicas(),
            gateways: self.fleet.gateways(now, leads, self.followers()),
            is_fed,
            relays: self.fleet.select_relays(status_round(now)),
            votes: self.node.votes(),
            open_entries: self.node.open_entries(is_fed),
        }
    }

    /// On the leader: the answer to a replica's report that was sent at `sent_at_ms` of its clock.
    pub(super) fn fleet_summary(&self, now: Duration, sent_at_ms: u64) -> FleetSummary {
        FleetSummary {
            confirmation: self.confirmation(now, sent_at_ms),
            gateways: self.fleet.gateways(now, true, self.followers()),
            relays: self.fleet.select_relays(status_round(now)),
        }
    }

    /// Number of gateways that follow this replica.
    fn followers(&self) -> u32 {
        let links = self.inbound_links.values();
        links.filter(|link| link.follows()).count() as u32
    }

    /// Reports the load and crashes collected from gateways to the leader when the report is due.
    pub(super) fn report_to_leader(&mut self, now: Duration) {
        if !self.load_buffer.is_due(now, self.awaits_confirmation(now)) {
            return;
        }
        if self.node.holds_leader_lease(now) {
            let load = self.load_buffer.take(now);
            if !load.is_empty() {
                self.inputs.push(NodeInput::Load(load));
            }
            let crashes = self.crash_reports.take(now);
            if !crashes.is_empty() {
                self.inputs.push(NodeInput::Crashes(crashes));
            }
            return;
        }
        let Some(leader) = self.node.other_leader() else {
            return;
        };
        let report = ReplicaReport {
            replica: self.settings.link_address().to_string(),
            gateways: self.followers(),
            relays: self.connected_relays(now),
            load: self.load_buffer.take(now),
            crashes: self.crash_reports.take(now),
            sent_at_ms: report_time(now),
        };
        self.send_peer(&leader, &ToReplica::ReplicaReport(report));
    }

    /// Some of the gateways connected here that relay the state; the selection rotates.
    fn connected_relays(&self, now: Duration) -> Vec<String> {
        let relays = self.inbound_links.values().map(|link| &link.relay);
        let relays: Vec<&String> = relays.filter(|relay| !relay.is_empty()).collect();
        rotate_relays(&relays, status_round(now))
    }

    pub(super) fn run_periodic_tasks(&mut self) {
        let now = self.now();
        let is_fed = self.is_fed(now);
        if is_fed != self.announced_is_fed {
            self.log_feed_change(now, is_fed);
        }
        if now >= self.next_status || is_fed != self.announced_is_fed {
            self.announced_is_fed = is_fed;
            self.next_status = now + STATUS_INTERVAL;
            if let Some(metrics) = &mut self.metrics_server {
                metrics.close_idle(now);
            }
            self.send_statuses(now);
            self.peers.tick(now);
            let relays = self.connected_relays(now);
            self.fleet.record_relays(now, &relays);
            let idle = |http: &HttpConnection| !http.busy && now > http.last_active + IDLE_TIMEOUT;
            let is_over = |http: &HttpConnection| idle(http) || http.connection.is_close_due(now);
            self.http_connections.retain(|_, http| !is_over(http));
        }
        for id in self.calls.overdue(now) {
            self.reply(id, &Reply::Unavailable(UnavailableReason::LeaderSilent));
        }
        self.report_to_leader(now);
        self.flush_links();
        if now >= self.next_settings_check || self.signals.take_reload() {
            self.next_settings_check = now + SETTINGS_CHECK_INTERVAL;
            self.reload_settings_if_changed();
        }
    }

    fn log_feed_change(&self, now: Duration, is_fed: bool) {
        let consensus = self.node.consensus();
        let stated = consensus.leader_commit();
        let age = stated.map(|(at, _)| now.saturating_sub(at));
        event!(
            Event::FeedChanged,
            feeds = is_fed,
            leads = self.node.holds_leader_lease(now),
            term = consensus.term().0,
            applied = self.node.applied(),
            committed = stated.map_or(0, |(_, committed)| committed.0),
            last = consensus.last_index().0,
            contact_ms = age_ms(age),
            state_age_ms = age_ms(self.state_age(now))
        );
    }

    pub(super) fn send_statuses(&mut self, now: Duration) {
        let mut frame = Vec::new();
        let _ = encode_frame(&FromReplica::Head(self.status(now)), &mut frame);
        self.inbound_links.retain(|_, link| {
            let is_gateway = !link.gateway.is_empty();
            !is_gateway || (!link.is_timed_out(now) && link.send_bytes(&frame))
        });
    }

    pub(super) fn reload_settings_if_changed(&mut self) {
        let changed = modified_at(&self.settings_path);
        if changed == self.settings_modified_at {
            return;
        }
        self.settings_modified_at = changed;
        match DirectorySettings::load(&self.settings_path) {
            Ok(settings) => {
                self.node.set_seeds(settings.seed_links());
                self.node.set_fault_tolerance(settings.fault_tolerance);
                event!(Event::SettingsReloaded, seeds = settings.seeds.len());
                self.settings = settings;
            }
            Err(error) => event!(Event::SettingsRefused, error = error),
        }
    }
}
