//! Readiness and metrics of this gateway, as the platform and operators ask for them.

use std::time::Duration;

use grebepin_reactor::TextResponse;
use grebepin_telemetry::{age_ms, event, Event};
use mio::Token;

use crate::event_loop::EventLoop;

impl EventLoop {
    /// Whether the gateway accepts new clients: it has a configuration and is not shutting down.
    fn is_ready(&self) -> bool {
        self.stopping.is_none() && self.table.is_configured()
    }

    pub(crate) fn on_readiness_request(&mut self, token: Token) {
        let now = self.now();
        let status = match self.is_ready() {
            true => 200,
            false => 503,
        };
        let registry = self.poll.registry();
        let next = &mut self.next_token;
        let response = || TextResponse {
            status,
            body: String::new(),
        };
        self.readiness_server
            .on_event(now, token, registry, next, response);
    }

    pub(crate) fn on_metrics_request(&mut self, token: Token) {
        let now = self.now();
        self.update_gauges(now);
        let metrics_registry = &self.metrics_registry;
        let response = || TextResponse {
            status: 200,
            body: metrics_registry.render().unwrap_or_default(),
        };
        if let Some(metrics) = &mut self.metrics_server {
            let registry = self.poll.registry();
            metrics.on_event(now, token, registry, &mut self.next_token, response);
        }
    }

    fn update_gauges(&self, now: Duration) {
        let metrics = &self.metrics;
        metrics.requests_in_flight.set(self.in_flight.len() as i64);
        metrics.client_connections.set(self.clients.len() as i64);
        metrics.server_connections.set(self.upstreams.len() as i64);
        metrics.applied_index.set(self.table.applied() as i64);
        let age = self
            .directory
            .last_leader_message
            .map(|at| now.saturating_sub(at));
        metrics.leader_age_ms.set(age_ms(age));
        metrics.state_age_ms.set(self.state_age_ms());
        let links = self.directory.link_count();
        metrics.directory_links.set(links as i64);
        let rated = self.stated_rates.len();
        metrics.servers_stating_rates.set(rated as i64);
        let cooling_down = self.cooldowns.count(now);
        metrics.servers_cooling_down.set(cooling_down as i64);
        metrics.servers_leaving.set(self.leaving.len() as i64);
        let unreachable = self.reachability.unreachable();
        metrics.servers_unreachable.set(unreachable as i64);
        let is_cut_off = self.reachability.is_cut_off();
        metrics.cut_off.set(i64::from(is_cut_off));
        let silence = self.reachability.silence(now);
        metrics.server_silence_ms.set(age_ms(silence));
        let undecided = self.table.undecided().len();
        metrics.undecided_changes.set(undecided as i64);
        let link_wait = self.link_queue.wait(now);
        metrics.link_wait_ms.set(link_wait.as_millis() as i64);
    }

    pub(crate) fn log_readiness(&mut self) {
        let ready = self.is_ready();
        if ready != self.logged_ready {
            self.logged_ready = ready;
            event!(
                Event::GatewayReady,
                ready = ready,
                applied = self.table.applied()
            );
        }
    }
}
