//! What the passing of time asks of a gateway: the stop, the directory's links, connections that rested too long,
//! changed settings.

use std::path::Path;
use std::sync::atomic::Ordering;
use std::time::{Duration, SystemTime};

use grebepin_catalog::InstanceId;
use grebepin_telemetry::{event, Event};

use crate::follow::{Directory, HeldState, News};
use crate::server::Server;
use crate::settings::GatewaySettings;
use crate::stopping::Stopping;

/// Time between two looks at the settings file.
pub(crate) const SETTINGS_LOOK_EVERY: Duration = Duration::from_secs(1);

/// Bounds on clients until the configuration tells them.
const DEFAULT_HEADER_TIMEOUT: Duration = Duration::from_secs(3);
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

impl Server {
    /// What the passing of time asks for.
    pub(crate) fn do_housekeeping(&mut self) {
        let now = self.now();
        if self.stop.load(Ordering::Relaxed) && self.stopping.is_none() {
            self.stopping = Some(Stopping::new(now, self.settings.grace()));
            event!(Event::StopRequested, flights = self.flights.len());
            self.tell_readiness();
        }
        if now < self.next_housekeeping {
            return;
        }
        let held = HeldState {
            applied: self.table.applied(),
            is_configured: self.table.is_configured(),
        };
        self.next_housekeeping = now + Directory::tick_pause(held.is_configured);
        let registry = self.poll.registry();
        let news = News {
            load: &mut self.load,
            crashes: &mut self.crashes,
        };
        self.directory
            .tick(now, registry, &mut self.next_token, news, held);
        self.close_expired_connections(now);
        self.close_resting_clients(now);
        if let Some(relay) = &mut self.relay {
            relay.close_resting(now);
        }
        if now >= self.next_settings_look || self.reload.swap(false, Ordering::Relaxed) {
            self.next_settings_look = now + SETTINGS_LOOK_EVERY;
            self.look_at_settings();
        }
    }

    fn close_expired_connections(&mut self, now: Duration) {
        let table = &self.table;
        let leaving = &self.leaving;
        let is_used = |id: &InstanceId| table.is_live(id) && leaving.is_usable(id, now);
        let expired = self.upstreams.expired(now, is_used);
        self.balance.retain(|id| table.is_live(id));
        self.stated_rates.retain(|id| table.is_live(id));
        self.cooldowns.retain(now, |id| table.is_live(id));
        self.leaving.retain(|id| table.is_live(id));
        for token in expired {
            self.drop_upstream(token);
        }
    }

    fn close_resting_clients(&mut self, now: Duration) {
        let limits = self.table.limits();
        let idle = limits.map_or(DEFAULT_IDLE_TIMEOUT, |limits| limits.idle_timeout);
        let header = limits.map_or(DEFAULT_HEADER_TIMEOUT, |limits| limits.header_timeout);
        let ends_idle = self
            .stopping
            .is_some_and(|stopping| stopping.closes_idle(now));
        self.clients.retain(|_, client| {
            let rested = client.is_idle() && (ends_idle || now > client.rested_since + idle);
            let stalled = client.flight.is_none()
                && client
                    .request_began
                    .is_some_and(|began| now > began + header * 4);
            !rested && !stalled
        });
        self.ready.close_resting(now);
        if let Some(metrics) = &mut self.metrics_server {
            metrics.close_resting(now);
        }
    }

    fn look_at_settings(&mut self) {
        let changed = changed_at(&self.settings_path);
        if changed == self.settings_changed {
            return;
        }
        self.settings_changed = changed;
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

/// When a file was last changed; `None` when that can't be told.
pub(crate) fn changed_at(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path)
        .and_then(|data| data.modified())
        .ok()
}
