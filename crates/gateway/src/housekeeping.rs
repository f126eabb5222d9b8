//! Periodic tasks of a gateway: shutdown, directory links, idle connections and settings reloads.

use std::path::Path;
use std::sync::atomic::Ordering;
use std::time::{Duration, SystemTime};

use grebepin_catalog::InstanceId;
use grebepin_telemetry::{event, Event};

use crate::event_loop::EventLoop;
use crate::follow::{AppliedState, DirectoryClient, ReportContent};
use crate::settings::GatewaySettings;
use crate::stopping::Stopping;

/// Interval at which the settings file is checked for changes.
pub(crate) const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Client timeouts until the first configuration arrives.
const DEFAULT_HEADER_TIMEOUT: Duration = Duration::from_secs(3);
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

impl EventLoop {
    /// Runs the periodic tasks that are due.
    pub(crate) fn do_housekeeping(&mut self) {
        let now = self.now();
        if self.stop_requested.load(Ordering::Relaxed) && self.stopping.is_none() {
            self.stopping = Some(Stopping::new(now, self.settings.grace()));
            event!(Event::StopRequested, flights = self.in_flight.len());
            self.log_readiness();
        }
        if now < self.next_housekeeping {
            return;
        }
        let state = AppliedState {
            applied: self.table.applied(),
            is_configured: self.table.is_configured(),
        };
        self.next_housekeeping = now + DirectoryClient::tick_interval(state.is_configured);
        let registry = self.poll.registry();
        let content = ReportContent {
            load: &mut self.load,
            crashes: &mut self.crashes,
        };
        self.directory
            .tick(now, registry, &mut self.next_token, content, state);
        self.log_state_age();
        self.note_unanswered_requests(now);
        self.probe_servers(now);
        self.peer_connections.close_idle(now);
        self.peers.forget_expired(now);
        self.close_expired_connections(now);
        self.close_idle_clients(now);
        if let Some(relay) = &mut self.relay {
            relay.drop_silent(now);
        }
        if now >= self.next_settings_check || self.reload_requested.swap(false, Ordering::Relaxed) {
            self.next_settings_check = now + SETTINGS_CHECK_INTERVAL;
            self.check_settings();
        }
    }

    fn close_expired_connections(&mut self, now: Duration) {
        let table = &self.table;
        let leaving = &self.leaving;
        let is_used = |id: &InstanceId| table.is_live(id) && leaving.is_usable(id, now);
        let expired = self.upstreams.expired(now, is_used);
        self.load_balancer.retain(|id| table.is_live(id));
        self.stated_rates.retain(|id| table.is_live(id));
        self.cooldowns.retain(now, |id| table.may_return(id));
        self.leaving.retain(|id| table.may_return(id));
        self.reachability.retain(|id| table.is_live(id));
        for token in expired {
            self.drop_upstream(token);
        }
    }

    fn close_idle_clients(&mut self, now: Duration) {
        let limits = self.table.limits();
        let idle = limits.map_or(DEFAULT_IDLE_TIMEOUT, |limits| limits.idle_timeout);
        let header = limits.map_or(DEFAULT_HEADER_TIMEOUT, |limits| limits.header_timeout);
        let ends_idle = self
            .stopping
            .is_some_and(|stopping| stopping.closes_idle(now));
        self.clients.retain(|_, client| {
            let is_expired = client.is_idle() && (ends_idle || now > client.idle_since + idle);
            let stalled = client.request.is_none()
                && client
                    .request_started
                    .is_some_and(|started| now > started + header * 4);
            !is_expired && !stalled && !client.connection.is_close_due(now)
        });
        self.readiness_server.close_idle(now);
        if let Some(metrics) = &mut self.metrics_server {
            metrics.close_idle(now);
        }
    }

    fn check_settings(&mut self) {
        let changed = modified_at(&self.settings_path);
        if changed == self.settings_modified {
            return;
        }
        self.settings_modified = changed;
        match GatewaySettings::load(&self.settings_path) {
            Ok(settings) => {
                self.directory.set_seeds(&settings.seed_links());
                event!(Event::SettingsReloaded, seeds = settings.seeds.len());
                self.settings = settings;
            }
            Err(error) => event!(Event::SettingsRefused, error = error),
        }
    }
}

/// Modification time of a file; `None` when it can't be read.
pub(crate) fn modified_at(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path)
        .and_then(|data| data.modified())
        .ok()
}
