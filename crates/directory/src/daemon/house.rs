//! What the passing of time asks for: words to gateways, metrics, settings that changed.

use std::time::Duration;

use grebepin_catalog::InstanceState;
use grebepin_reactor::{encode_frame, TextAnswer};
use grebepin_telemetry::{event, Event};
use mio::Token;

use super::http_side::HttpConnection;
use super::opening::changed_at;
use super::server::Server;
use crate::call::{Reply, UnavailableReason};
use crate::link::{FromReplica, Head};
use crate::settings::DirectorySettings;

/// Time between two words to the gateways about this replica.
const HEAD_EVERY: Duration = Duration::from_millis(500);

/// Gateways that one word names.
const RELAYS_TOLD: usize = 3;

/// Time between two looks at the settings file.
pub(super) const SETTINGS_LOOK_EVERY: Duration = Duration::from_secs(1);

/// Rest after which a caller's connection is closed.
const IDLE_LIMIT: Duration = Duration::from_secs(30);

impl Server<'_> {
    pub(super) fn on_metrics(&mut self, now: Duration, token: Token) {
        self.measure(now);
        let registered = &self.registered;
        let answer = || TextAnswer {
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
        let followers = self.inbound.values().filter(|link| link.fed.is_some());
        metrics.followers.set(followers.count() as i64);
        metrics
            .members
            .set(consensus.membership().members.len() as i64);
        metrics.voters.set(self.node.voter_count() as i64);
        metrics.wanted_voters.set(self.node.wanted_voters() as i64);
        let instances = self.node.catalog().instances();
        let live = instances.filter(|instance| instance.state != InstanceState::Gone);
        metrics.instances.set(live.count() as i64);
    }

    pub(super) fn head(&self, now: Duration) -> Head {
        let gateways = self
            .inbound
            .values()
            .filter(|link| !link.gateway.is_empty());
        Head {
            term: self.node.consensus().term().0,
            leads: self.node.leads_surely(now),
            applied: self.node.applied(),
            replicas: self.node.replica_addresses(),
            gateways: gateways.count() as u32,
            is_fed: self.node.leads_surely(now),
            relays: self.some_relays(now),
            votes: self.node.votes(),
        }
    }

    /// Some of the gateways that give the state on, others each time.
    fn some_relays(&self, now: Duration) -> Vec<String> {
        let relays = self.inbound.values().map(|link| &link.relay);
        let relays: Vec<&String> = relays.filter(|relay| !relay.is_empty()).collect();
        let rounds = now.as_millis() / HEAD_EVERY.as_millis();
        let start = rounds as usize * RELAYS_TOLD % relays.len().max(1);
        let from_start = relays.iter().cycle().skip(start);
        from_start
            .take(RELAYS_TOLD.min(relays.len()))
            .map(ToString::to_string)
            .collect()
    }

    /// What the passing of time asks for.
    pub(super) fn keep_house(&mut self) {
        let now = self.now();
        if now >= self.next_head {
            self.next_head = now + HEAD_EVERY;
            if let Some(metrics) = &mut self.metrics_server {
                metrics.close_resting(now);
            }
            self.tell_heads(now);
            self.peers.tick(now);
            let idle = |http: &HttpConnection| !http.busy && now > http.active + IDLE_LIMIT;
            self.https.retain(|_, http| !idle(http));
        }
        for id in self.calls.overdue(now) {
            self.reply(id, &Reply::Unavailable(UnavailableReason::LeaderSilent));
        }
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
