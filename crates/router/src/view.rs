//! What traffic threads read: the routing table in force and the way to each server.
//!
//! Invariant: a view never changes; a change makes a new one that shares what stayed.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use grebepin_schema::{Server, ServerName, ServerStanding};
use grebepin_telemetry::{RouterMetrics, ServiceMetrics};
use grebepin_traffic::{
    Ejection, EjectionConfig, Ramp, RetryBudget, RoutingTable, ServiceRoute, Verdict,
};

use crate::clock::Clock;
use crate::upstream::Gate;

/// What a router keeps of one service besides its routing.
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

    /// Counts a first attempt.
    pub fn first_attempt(&self) {
        self.retry
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .record_first_attempt();
    }

    /// Takes a retry out of the budget.
    pub fn take_retry(&self) -> bool {
        self.retry
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .try_take()
    }

    /// Runs `use_it` on the service's ejections.
    pub fn ejection<T>(&self, use_it: impl FnOnce(&mut Ejection) -> T) -> T {
        use_it(&mut self.ejection.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Whether a server may get a request at `now`.
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

/// The table in force and the way to each server.
#[derive(Clone)]
pub struct View {
    /// The table in force.
    pub table: RoutingTable,
    services: Arc<BTreeMap<String, Arc<ServiceState>>>,
    gates: Arc<BTreeMap<ServerName, Arc<Gate>>>,
}

impl View {
    /// A view before the first table.
    pub fn new(table: RoutingTable) -> Self {
        Self {
            table,
            services: Arc::default(),
            gates: Arc::default(),
        }
    }

    /// State of a service.
    pub fn service(&self, name: &str) -> Option<&Arc<ServiceState>> {
        self.services.get(name)
    }

    /// The way to a server.
    pub fn gate(&self, server: &ServerName) -> Option<&Arc<Gate>> {
        self.gates.get(server)
    }

    /// Every way to a server.
    pub fn gates(&self) -> impl Iterator<Item = &Arc<Gate>> {
        self.gates.values()
    }

    /// The view for a table in which only owners changed.
    pub fn with_owners(&self, table: RoutingTable) -> Self {
        Self {
            table,
            services: Arc::clone(&self.services),
            gates: Arc::clone(&self.gates),
        }
    }

    /// The view for a new table. Servers that were not in the table before start cold, except in the
    /// first table: a router that starts must not slow a running service down.
    pub fn with_table(&self, table: RoutingTable, metrics: &RouterMetrics, clock: Clock) -> Self {
        let first = !self.table.is_ready();
        let mut services = BTreeMap::new();
        let mut gates = BTreeMap::new();
        for route in table.services() {
            let name = route.service.name.as_str();
            let state = self.services.get(name).cloned().unwrap_or_else(|| {
                let percent = route.service.retry.budget_percent;
                Arc::new(ServiceState::new(name, percent, metrics))
            });
            state.configure(route);
            services.insert(name.to_string(), state);
            for (server, standing) in route.service.servers.iter().zip(&route.standings) {
                let gate = self.gate_for(server, route, first, clock);
                gate.set_draining(*standing == ServerStanding::Draining);
                gates.insert(server.name.clone(), gate);
            }
        }
        Self {
            table,
            services: Arc::new(services),
            gates: Arc::new(gates),
        }
    }

    fn gate_for(
        &self,
        server: &Server,
        route: &ServiceRoute,
        first: bool,
        clock: Clock,
    ) -> Arc<Gate> {
        let waiting = route.service.queue.waiting_per_server;
        let known = self.gates.get(&server.name);
        if let Some(gate) = known.filter(|gate| gate.address() == &server.address) {
            gate.configure(server, waiting);
            return Arc::clone(gate);
        }
        let ramp = if first {
            Ramp::warm()
        } else {
            Ramp::cold(clock.now())
        };
        Arc::new(Gate::new(server, waiting, ramp, clock))
    }
}
