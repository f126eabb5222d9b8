//! The state that the directory tells, ready for look-ups.
//!
//! Invariant: entries are applied in the order of the log, each once; the state never goes back.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use grebepin_catalog::{
    Catalog, Entry, Instance, InstanceId, InstanceState, ItemContent, ItemKind, Limits, Quarantine,
    Route, RouteIndex, Shard,
};
use grebepin_reactor::{encode_frame, FrameError};

use crate::server_index::ServerIndex;

/// What happened to the state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TableChange {
    /// Whether servers changed, or the zones that they may be used in.
    pub servers: bool,
    /// Whether servers or owners changed.
    pub owners: bool,
    /// Servers that drain since an entry that was applied now.
    pub draining: Vec<InstanceId>,
}

/// The state in force.
#[derive(Debug, Default)]
pub struct Table {
    catalog: Catalog,
    applied: u64,
    routes: RouteIndex,
    /// Rank of the least urgent route; 0 is the most urgent.
    least_urgent: u32,
    servers: ServerIndex,
}

impl Table {
    /// An empty table of the gateway on machine `node` in `zone`.
    pub fn new(node: &str, zone: &str) -> Self {
        Self {
            servers: ServerIndex::new(node, zone),
            ..Self::default()
        }
    }

    /// Log index in force; 0 before anything was told.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Whether any configuration is in force.
    pub fn is_configured(&self) -> bool {
        !self.catalog.items().is_empty()
    }

    /// The whole state as bytes, for another gateway.
    ///
    /// # Errors
    /// It can't be encoded.
    pub fn snapshot(&self) -> Result<Vec<u8>, FrameError> {
        let mut bytes = Vec::new();
        encode_frame(&self.catalog, &mut bytes)?;
        Ok(bytes)
    }

    /// Takes over a whole state, unless it is no newer.
    pub fn replace(&mut self, index: u64, catalog: Catalog) -> TableChange {
        if index <= self.applied {
            return TableChange::default();
        }
        self.catalog = catalog;
        self.applied = index;
        self.index_routes();
        self.index_servers();
        TableChange {
            servers: true,
            owners: true,
            draining: Vec::new(),
        }
    }

    /// Applies entries; those already applied are passed over, and nothing after a gap is taken.
    pub fn apply(&mut self, entries: &[(u64, Entry)]) -> TableChange {
        let mut change = TableChange::default();
        let (mut items, mut zones) = (false, false);
        for (index, entry) in entries {
            if *index <= self.applied {
                continue;
            }
            if *index != self.applied + 1 {
                break;
            }
            self.applied = *index;
            for command in &entry.commands {
                let effects = self.catalog.apply(command);
                items |= !effects.items.is_empty();
                zones |= effects.evacuation.is_some();
                change.servers |= !effects.instances.is_empty();
                change.owners |= !effects.shards.is_empty();
                for id in &effects.instances {
                    self.index_server(id);
                    let instance = self.catalog.instance(id);
                    if instance.is_some_and(|one| one.state == InstanceState::Draining) {
                        change.draining.push(id.clone());
                    }
                }
            }
        }
        if items {
            self.index_routes();
        }
        if zones {
            self.index_servers();
        }
        change.servers |= zones;
        change.owners |= change.servers;
        change
    }

    fn index_routes(&mut self) {
        self.routes = RouteIndex::new(self.catalog.items());
        let routes = self.catalog.items().in_force();
        let priorities = routes.filter_map(|item| match &item.content {
            ItemContent::Route(route) => Some(route.priority),
            _ => None,
        });
        self.least_urgent = priorities.max().unwrap_or(0);
    }

    fn index_servers(&mut self) {
        self.servers.clear();
        for instance in self.catalog.instances() {
            let is_usable = self.catalog.is_usable(instance);
            self.servers.add(instance, is_usable);
        }
    }

    fn index_server(&mut self, id: &InstanceId) {
        if let Some(instance) = self.catalog.instance(id) {
            let is_usable = self.catalog.is_usable(instance);
            self.servers.update(instance, is_usable);
        }
    }

    /// Route of a request.
    pub fn route(&self, host: &str, path: &str) -> Option<(&str, Arc<Route>)> {
        let (name, route) = self.routes.find(host, path)?;
        Some((name, Arc::clone(route)))
    }

    /// How many ranks a route is more urgent than the least urgent one.
    pub fn priority_above_lowest(&self, route: &Route) -> u32 {
        self.least_urgent.saturating_sub(route.priority)
    }

    /// Whether a service's keys are owned by shard.
    pub fn is_sharded(&self, service: &str) -> bool {
        self.catalog.is_sharded(service)
    }

    /// Zones that are evacuated.
    pub fn evacuated_zones(&self) -> &BTreeSet<String> {
        self.catalog.evacuated_zones()
    }

    /// Requests that crash the servers which run them.
    pub fn quarantine(&self) -> &Quarantine {
        self.catalog.quarantine()
    }

    /// Requests a second that a server of a service bears while it warms up, from all gateways together.
    pub fn warmup_rate(&self, service: &str) -> Option<f64> {
        self.catalog.warmup_rate(service)
    }

    /// Servers that warm up.
    pub fn cold_servers(&self) -> impl Iterator<Item = &InstanceId> {
        let cold = self.servers.cold_servers();
        let cold = cold.filter_map(|id| self.catalog.instance(id));
        cold.filter(|one| self.warmup_rate(&one.service).is_some())
            .map(|one| &one.id)
    }

    /// Connections that one server of a service takes from all callers together.
    pub fn maximum_connections(&self, service: &str) -> Option<u32> {
        Some(self.catalog.service(service)?.maximum_connections)
    }

    /// Bounds on clients.
    pub fn limits(&self) -> Option<&Limits> {
        let item = self.catalog.items().get(ItemKind::Limits, "")?;
        match &item.content {
            ItemContent::Limits(limits) => Some(limits),
            _ => None,
        }
    }

    /// Servers of a service that take new requests, those first that this gateway prefers.
    pub fn usable_servers(&self, service: &str) -> impl Iterator<Item = &Instance> + Clone {
        let servers = self.servers.servers(service);
        servers.filter_map(|id| self.catalog.instance(id))
    }

    /// How often a server was put in its place among the usable ones: the work that changes have cost.
    pub fn server_updates(&self) -> u64 {
        self.servers.updates()
    }

    /// A server.
    pub fn instance(&self, id: &InstanceId) -> Option<&Instance> {
        self.catalog.instance(id)
    }

    /// A shard of a service; `None` before any of its shards was assigned.
    pub fn shard(&self, service: &str, shard: usize) -> Option<&Shard> {
        self.catalog.ownership(service)?.shards().get(shard)
    }

    /// Whether a server is known and has not ended.
    pub fn is_live(&self, id: &InstanceId) -> bool {
        self.catalog.is_live(id)
    }
}

/// Divides the requests of each route among its services in proportion to their weights.
#[derive(Debug, Default)]
pub struct Splitter {
    credits: BTreeMap<String, Vec<i64>>,
}

impl Splitter {
    /// Number of the target that takes the next request of a route.
    pub fn next(&mut self, name: &str, route: &Route) -> usize {
        if route.targets.len() == 1 {
            return 0;
        }
        let credits = self.credits.entry(name.to_owned()).or_default();
        if credits.len() != route.targets.len() {
            *credits = vec![0; route.targets.len()];
        }
        let mut total = 0;
        for (credit, target) in credits.iter_mut().zip(&route.targets) {
            *credit += i64::from(target.weight);
            total += i64::from(target.weight);
        }
        let weighted = (0..credits.len()).filter(|number| route.targets[*number].weight > 0);
        let chosen = weighted.max_by_key(|number| credits[*number]).unwrap_or(0);
        credits[chosen] -= total;
        chosen
    }
}
