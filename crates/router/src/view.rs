//! Immutable view that request threads read: the current routing table and the upstream servers.
//!
//! Invariant: a view never changes; an update creates a new one that shares the unchanged parts.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use grebepin_schema::{Server, ServerName, ServerStanding};
use grebepin_telemetry::{RouterMetrics, ServiceMetrics};
use grebepin_traffic::{
    Ejection, EjectionConfig, Ramp, RetryBudget, RoutingTable, ServiceRoute, Verdict,
};

use crate::clock::Clock;
use crate::upstream::Upstream;

/// Retry budget, ejections and metrics of one service.
pub struct ServiceState {
    retry: Mutex<RetryBudget>,
    ejection: Mutex<Ejection>,
    /// Metrics of the service.
    pub metrics: ServiceMetrics,
}

impl ServiceState {
    fn new(name: &str, percent: u32, metrics: &RouterMetrics) -> Self {
        Self {
            retry: Mutex::new(RetryBudget::new(percent)),
            ejection: Mutex::new(Ejection::new(EjectionConfig::default())),
            metrics: metrics.service(name),
        }
    }

    /// Credits the retry budget with a first attempt.
    pub fn record_first_attempt(&self) {
        self.retry
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .record_first_attempt();
    }

    /// Takes a retry from the budget; false if it is exhausted.
    pub fn take_retry(&self) -> bool {
        self.retry
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .try_take()
    }

    /// Runs `action` on the service's ejection state while holding its lock.
    pub fn ejection<T>(&self, action: impl FnOnce(&mut Ejection) -> T) -> T {
        action(&mut self.ejection.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Whether a request may be sent to a server at `now`.
    pub fn verdict(&self, server: &ServerName, now: std::time::Duration) -> Verdict {
        self.ejection(|ejection| ejection.verdict(server, now))
    }

    fn configure(&self, route: &ServiceRoute) {
        let percent = route.service.retry.budget_percent;
        self.retry
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .set_percent(percent);
        self.ejection(|ejection| {
            ejection.retain(|name| {
                route
                    .service
                    .servers
                    .iter()
                    .any(|server| &server.name == name)
            });
        });
    }
}

/// The current routing table with the upstream servers that it names.
#[derive(Clone)]
pub struct View {
    /// The current routing table.
    pub table: RoutingTable,
    services: Arc<BTreeMap<String, Arc<ServiceState>>>,
    upstreams: Arc<BTreeMap<ServerName, Arc<Upstream>>>,
}

impl View {
    /// A view with no services and no servers, before the first snapshot.
    pub fn new(table: RoutingTable) -> Self {
        Self {
            table,
            services: Arc::default(),
            upstreams: Arc::default(),
        }
    }

    /// State of a service; `None` for a name that is not in the table.
    pub fn service(&self, name: &str) -> Option<&Arc<ServiceState>> {
        self.services.get(name)
    }

    /// Admission and connections of a server; `None` for a name that is not in the table.
    pub fn upstream(&self, server: &ServerName) -> Option<&Arc<Upstream>> {
        self.upstreams.get(server)
    }

    /// Admission and connections of all servers.
    pub fn upstreams(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        self.upstreams.values()
    }

    /// Creates the view for a table in which only owners changed.
    pub fn with_owners(&self, table: RoutingTable) -> Self {
        Self {
            table,
            services: Arc::clone(&self.services),
            upstreams: Arc::clone(&self.upstreams),
        }
    }

    /// Creates the view for a new table. Servers that were not in the table before start cold, except in
    /// the first table: a starting router must not slow down a running service.
    pub fn with_table(&self, table: RoutingTable, metrics: &RouterMetrics, clock: Clock) -> Self {
        let is_first_table = !self.table.is_ready();
        let mut services = BTreeMap::new();
        let mut upstreams = BTreeMap::new();
        for route in table.services() {
            let name = route.service.name.as_str();
            let state = self.services.get(name).cloned().unwrap_or_else(|| {
                let percent = route.service.retry.budget_percent;
                Arc::new(ServiceState::new(name, percent, metrics))
            });
            state.configure(route);
            services.insert(name.to_string(), state);
            for (server, standing) in route.service.servers.iter().zip(&route.standings) {
                let upstream = self.upstream_for(server, route, is_first_table, clock);
                upstream.set_draining(*standing == ServerStanding::Draining);
                upstreams.insert(server.name.clone(), upstream);
            }
        }
        Self {
            table,
            services: Arc::new(services),
            upstreams: Arc::new(upstreams),
        }
    }

    fn upstream_for(
        &self,
        server: &Server,
        route: &ServiceRoute,
        is_first_table: bool,
        clock: Clock,
    ) -> Arc<Upstream> {
        let waiting = route.service.queue.waiting_per_server;
        let known = self.upstreams.get(&server.name);
        if let Some(upstream) = known.filter(|upstream| upstream.address() == &server.address) {
            upstream.configure(server, waiting);
            return Arc::clone(upstream);
        }
        let ramp = if is_first_table {
            Ramp::warm()
        } else {
            Ramp::cold(clock.now())
        };
        Arc::new(Upstream::new(server, waiting, ramp, clock))
    }
}
