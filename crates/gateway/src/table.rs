//! Routing table: the replicated state received from the directory, indexed for lookups.
//!
//! Invariant: log entries are applied in order, each once, and the state never goes back.

use std::collections::{BTreeMap, BTreeSet};

use grebepin_catalog::{
    Catalog, ChangedItem, Entry, Fingerprint, Instance, InstanceId, InstanceState, ItemContent,
    ItemKind, Limits, NamedRoute, Route, RouteIndex, Shard,
};
use grebepin_reactor::{encode_frame, FrameError};

use crate::server_index::ServerIndex;
use crate::undecided::UndecidedChanges;

/// What an update changed in the state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TableChange {
    /// Whether servers or evacuated zones changed.
    pub servers: bool,
    /// Whether servers, evacuated zones or owners of shards changed.
    pub owners: bool,
    /// Configuration items that changed.
    pub items: Vec<ChangedItem>,
    /// Servers that the applied entries set to draining. Empty after a snapshot, and without those that may
    /// have been draining before.
    pub draining: Vec<InstanceId>,
}

/// The replicated state and its indexes.
#[derive(Debug, Default)]
pub struct Table {
    catalog: Catalog,
    applied: u64,
    routes: RouteIndex,
    /// Priority number of the route with the lowest priority; 0 is the highest priority.
    lowest_priority: u32,
    servers: ServerIndex,
    /// Changes that may be acknowledged and are not part of the state.
    undecided: UndecidedChanges,
    /// The limits that apply, with those of undecided changes; `None` before they are configured.
    limits: Option<Limits>,
}

impl Table {
    /// Empty table of the gateway on machine `node` in `zone`.
    pub fn new(node: &str, zone: &str) -> Self {
        Self {
            servers: ServerIndex::new(node, zone),
            ..Self::default()
        }
    }

    /// Log index of the state; 0 before the first snapshot or entry.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Whether the state contains any configuration.
    pub fn is_configured(&self) -> bool {
        !self.catalog.items().is_empty()
    }

    /// Ends the undecided changes, once the state contains every acknowledged change.
    pub fn end_undecided(&mut self) -> TableChange {
        self.set_undecided(UndecidedChanges::default())
    }

    /// Replaces the changes that may be acknowledged and are not part of the state.
    pub fn set_undecided(&mut self, undecided: UndecidedChanges) -> TableChange {
        self.undecided = undecided;
        self.update_limits();
        self.index_servers();
        TableChange {
            servers: true,
            owners: true,
            ..TableChange::default()
        }
    }

    /// Changes that may be acknowledged and are not part of the state.
    pub fn undecided(&self) -> &UndecidedChanges {
        &self.undecided
    }

    /// The whole state encoded as a frame, for another gateway.
    ///
    /// # Errors
    /// The state can't be encoded.
    pub fn snapshot(&self) -> Result<Vec<u8>, FrameError> {
        let mut bytes = Vec::new();
        encode_frame(&self.catalog, &mut bytes)?;
        Ok(bytes)
    }

    /// Replaces the state by a snapshot of log index `index`, unless the present state is as new. `undecided` are
    /// the changes that may be acknowledged and are not part of the snapshot; they apply to either state.
    pub fn replace(
        &mut self,
        index: u64,
        catalog: Catalog,
        undecided: UndecidedChanges,
    ) -> TableChange {
        if index <= self.applied {
            return match undecided.is_empty() {
                true => TableChange::default(),
                false => self.set_undecided(undecided),
            };
        }
        let items = catalog.items().changed_since(self.catalog.items());
        self.catalog = catalog;
        self.applied = index;
        self.index_routes();
        TableChange {
            items,
            ..self.set_undecided(undecided)
        }
    }

    /// Applies log entries. Skips those that were applied before, and stops at the first gap in their
    /// indexes.
    pub fn apply(&mut self, entries: &[(u64, Entry)]) -> TableChange {
        let mut change = TableChange::default();
        let mut zones = false;
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
                change.items.extend(effects.items);
                zones |= effects.evacuation.is_some();
                change.servers |= !effects.instances.is_empty();
                change.owners |= !effects.shards.is_empty();
                for id in &effects.instances {
                    self.index_server(id);
                    let instance = self.catalog.instance(id);
                    let has_begun = |one: &Instance| {
                        one.state == InstanceState::Draining
                            && !self.undecided.may_have_stopped(one)
                    };
                    if instance.is_some_and(has_begun) {
                        change.draining.push(id.clone());
                    }
                }
            }
        }
        if !change.items.is_empty() {
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
        self.lowest_priority = priorities.max().unwrap_or(0);
        self.update_limits();
    }

    fn update_limits(&mut self) {
        let item = self.catalog.items().get(ItemKind::Limits, "");
        let in_force = item.and_then(|item| match &item.content {
            ItemContent::Limits(limits) => Some(limits),
            _ => None,
        });
        self.limits = self.undecided.most_generous_limits(in_force);
    }

    fn index_servers(&mut self) {
        self.servers.clear();
        for instance in self.catalog.instances() {
            let is_usable = self.is_usable(instance);
            self.servers.add(instance, is_usable);
        }
    }

    fn is_usable(&self, instance: &Instance) -> bool {
        self.catalog.is_usable(instance) && !self.undecided.may_have_stopped(instance)
    }

    fn index_server(&mut self, id: &InstanceId) {
        if let Some(instance) = self.catalog.instance(id) {
            let is_usable = self.is_usable(instance);
            self.servers.update(instance, is_usable);
        }
    }

    /// Route of a request; `None` when none matches.
    pub fn route(&self, host: &str, path: &str) -> Option<&NamedRoute> {
        self.routes.find(host, path)
    }

    /// Number of priority levels between a route and the route of the lowest priority.
    pub fn priority_above_lowest(&self, route: &Route) -> u32 {
        self.lowest_priority.saturating_sub(route.priority)
    }

    /// Whether the keys of a service are divided into shards with one owner each.
    pub fn is_sharded(&self, service: &str) -> bool {
        self.catalog.is_sharded(service)
    }

    /// Zones that are being evacuated.
    pub fn evacuated_zones(&self) -> &BTreeSet<String> {
        self.catalog.evacuated_zones()
    }

    /// Whether any request is quarantined, or may be.
    pub fn has_quarantined(&self) -> bool {
        !self.catalog.quarantine().is_empty() || self.undecided.has_quarantined()
    }

    /// Whether a request crashes the servers that run it, so that it gets none, or may be found to.
    pub fn is_quarantined(&self, fingerprint: Fingerprint) -> bool {
        self.catalog.quarantine().contains(fingerprint)
            || self.undecided.may_be_quarantined(fingerprint)
    }

    /// Rate limit of a server of a service during its warm-up, in requests a second from all gateways
    /// together; `None` without a limit.
    pub fn warmup_rate(&self, service: &str) -> Option<f64> {
        self.catalog.warmup_rate(service)
    }

    /// Servers that are warming up, of services with a warm-up rate.
    pub fn cold_servers(&self) -> impl Iterator<Item = &InstanceId> {
        let cold = self.servers.cold_servers();
        let cold = cold.chain(self.undecided.cold_servers());
        let cold = cold.filter_map(|id| self.catalog.instance(id));
        cold.filter(|one| self.warmup_rate(&one.service).is_some())
            .map(|one| &one.id)
    }

    /// Whether a server is warming up, or may be.
    pub fn is_cold(&self, server: &Instance) -> bool {
        server.is_cold || self.undecided.may_be_cold(&server.id)
    }

    /// Maximum number of connections to one server of a service, from all clients together.
    pub fn maximum_connections(&self, service: &str) -> Option<u32> {
        Some(self.catalog.service(service)?.maximum_connections)
    }

    /// Configured bounds on clients; `None` before they are configured.
    pub fn limits(&self) -> Option<&Limits> {
        self.limits.as_ref()
    }

    /// Servers of a service that may get new requests, the most preferred first.
    pub fn usable_servers(&self, service: &str) -> impl Iterator<Item = &Instance> + Clone {
        let servers = self.servers.servers(service);
        servers.filter_map(|id| self.catalog.instance(id))
    }

    /// All live servers of all services.
    pub fn live_servers(&self) -> impl Iterator<Item = &Instance> {
        let instances = self.catalog.instances();
        instances.filter(|instance| self.catalog.is_live(&instance.id))
    }

    /// Number of index updates of single servers since the start, as a measure of the work done.
    pub fn server_updates(&self) -> u64 {
        self.servers.updates()
    }

    /// A server instance by its id.
    pub fn instance(&self, id: &InstanceId) -> Option<&Instance> {
        self.catalog.instance(id)
    }

    /// A shard of a service; `None` before any shard of the service was assigned.
    pub fn shard(&self, service: &str, shard: usize) -> Option<&Shard> {
        self.catalog.ownership(service)?.shards().get(shard)
    }

    /// Whether a server instance may send responses or get requests again: it has not ended, or is only
    /// suspended.
    pub fn may_return(&self, id: &InstanceId) -> bool {
        self.catalog.is_live(id) || self.catalog.is_suspended(id)
    }

    /// Whether a server instance is known and has not ended.
    pub fn is_live(&self, id: &InstanceId) -> bool {
        self.catalog.is_live(id)
    }
}

/// Splits the requests of each route among its services in proportion to their weights (smooth weighted round
/// robin).
#[derive(Debug, Default)]
pub struct Splitter {
    credits: BTreeMap<String, Vec<i64>>,
}

impl Splitter {
    /// Index of the target that gets the next request of a route.
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
        let weighted = (0..credits.len()).filter(|index| route.targets[*index].weight > 0);
        let chosen = weighted.max_by_key(|index| credits[*index]).unwrap_or(0);
        credits[chosen] -= total;
        chosen
    }
}
