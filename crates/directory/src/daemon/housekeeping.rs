//! What the passing of time asks for: words to gateways, metrics, settings that changed.

use std::time::Duration;

use grebepin_catalog::InstanceState;
use grebepin_reactor::{encode_frame, TextResponse};
use grebepin_telemetry::{event, Event};
use mio::Token;

use super::http_side::HttpConnection;
use super::opening::changed_at;
use super::server::Server;
use crate::call::{Reply, UnavailableReason};
use crate::fleet::{named_in_turn, FleetSummary, ReplicaReport};
use crate::link::{FromReplica, Head, ToReplica};
use crate::node::NodeInput;
use crate::settings::DirectorySettings;

/// Time between two words to the gateways about this replica.
const HEAD_EVERY: Duration = Duration::from_millis(500);

/// Time between two looks at the settings file.
pub(super) const SETTINGS_LOOK_EVERY: Duration = Duration::from_secs(1);

/// Rest after which a caller's connection is closed.
const IDLE_LIMIT: Duration = Duration::from_secs(30);

/// Number of the present word about this replica.
fn rounds_until(now: Duration) -> u64 {
    (now.as_millis() / HEAD_EVERY.as_millis()) as u64
}

impl Server<'_> {
    pub(super) fn on_metrics(&mut self, now: Duration, token: Token) {
        self.measure(now);
        let registered = &self.registered;
        let answer = || TextResponse {
            status: 200,
            body: registered.render().unwrap_or_default(),
        };
        if let Some(metrics) = &mut self.metrics_server {
            let registry = self.poll.registry();
            metrics.on_event(now, token, registry, &mut self.next_token, answer);
        }
    }

    /// Brings the gauges up to date.
    pub(super) fn measure(&self, now: Duration) {
        let metrics = &self.metrics;
        let consensus = self.node.consensus();
        let applied = self.node.applied();
        metrics.term.set(consensus.term().0 as i64);
        metrics.leads.set(i64::from(self.node.leads_surely(now)));
        metrics.applied_index.set(applied as i64);
        let unapplied = consensus.last_index().0.saturating_sub(applied);
        metrics.unapplied_entries.set(unapplied as i64);
        metrics.followers.set(i64::from(self.followers()));
        metrics.is_fed.set(i64::from(self.node.is_fed(now)));
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

    pub(super) fn head(&self, now: Duration) -> Head {
        let leads = self.node.leads_surely(now);
        Head {
            term: self.node.consensus().term().0,
            leads,
            applied: self.node.applied(),
            replicas: self.node.replicas(),
            gateways: self.fleet.gateways(now, leads, self.followers()),
            is_fed: self.node.is_fed(now),
            relays: self.fleet.some_relays(rounds_until(now)),
            votes: self.node.votes(),
        }
    }

    /// At the leader: what other replicas are told of all gateways.
    pub(super) fn fleet_summary(&self, now: Duration) -> FleetSummary {
        FleetSummary {
            gateways: self.fleet.gateways(now, true, self.followers()),
            relays: self.fleet.some_relays(rounds_until(now)),
        }
    }

    /// Gateways that follow this replica.
    fn followers(&self) -> u32 {
        let links = self.inbound.values();
        links.filter(|link| link.fed.is_some()).count() as u32
    }

    /// Tells the leader what the gateways here reported, when it is time.
    pub(super) fn report_to_leader(&mut self, now: Duration) {
        if !self.gathered.is_due(now) {
            return;
        }
        if self.node.leads_surely(now) {
            let load = self.gathered.take(now);
            if !load.is_empty() {
                self.inputs.push(NodeInput::Load(load));
            }
            let crashes = self.gathered_crashes.take();
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
            relays: self.own_relays(now),
            load: self.gathered.take(now),
            crashes: self.gathered_crashes.take(),
        };
        self.send_peer(&leader, &ToReplica::ReplicaReport(report));
    }

    /// Some of the gateways here that give the state on, others each time.
    fn own_relays(&self, now: Duration) -> Vec<String> {
        let relays = self.inbound.values().map(|link| &link.relay);
        let relays: Vec<&String> = relays.filter(|relay| !relay.is_empty()).collect();
        named_in_turn(&relays, rounds_until(now))
    }

    /// What the passing of time asks for.
    pub(super) fn do_housekeeping(&mut self) {
        let now = self.now();
        let is_fed = self.node.is_fed(now);
        if now >= self.next_head || is_fed != self.announced_fed {
            self.announced_fed = is_fed;
            self.next_head = now + HEAD_EVERY;
            if let Some(metrics) = &mut self.metrics_server {
                metrics.close_idle(now);
            }
            self.tell_heads(now);
            self.peers.tick(now);
            let relays = self.own_relays(now);
            self.fleet.note_relays(now, &relays);
            let idle = |http: &HttpConnection| !http.busy && now > http.active + IDLE_LIMIT;
            self.https.retain(|_, http| !idle(http));
        }
        for id in self.calls.overdue(now) {
            self.reply(id, &Reply::Unavailable(UnavailableReason::LeaderSilent));
        }
        self.report_to_leader(now);
        self.flush_links();
        if now >= self.next_settings_look || self.signals.take_reload() {
            self.next_settings_look = now + SETTINGS_LOOK_EVERY;
            self.look_at_settings();
        }
    }

    pub(super) fn tell_heads(&mut self, now: Duration) {
        let mut frame = Vec::new();
        let _ = encode_frame(&FromReplica::Head(self.head(now)), &mut frame);
        self.inbound.retain(|_, link| {
            let is_gateway = !link.gateway.is_empty();
            !is_gateway || (!link.is_silent(now) && link.send_bytes(&frame))
        });
    }

    pub(super) fn look_at_settings(&mut self) {
        let changed = changed_at(&self.settings_path);
        if changed == self.settings_changed {
            return;
        }
        self.settings_changed = changed;
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
