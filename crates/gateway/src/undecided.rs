//! Changes that may be acknowledged but that this gateway's state does not contain.
//!
//! While there is no leader, a gateway that reaches a majority of the voters knows the ends of their logs, and not
//! which of their entries are committed. It serves what none of them touches. A request whose route may have
//! changed is refused until a leader has decided, a server that may have stopped gets no requests, and of two
//! limits the more generous one applies. A gateway that reaches no majority keeps serving by its state: the others
//! may have a leader that it cannot ask for long.

use std::collections::BTreeSet;

use grebepin_catalog::{
    Command, Fingerprint, Instance, InstanceId, InstanceState, Item, ItemContent, ItemKey,
    ItemKind, Limits, Route,
};

/// What the undecided changes touch.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UndecidedChanges {
    items: BTreeSet<ItemKey>,
    routes: Vec<Route>,
    limits: Vec<Limits>,
    draining: BTreeSet<InstanceId>,
    cold: BTreeSet<InstanceId>,
    evacuated_zones: BTreeSet<String>,
    quarantined: BTreeSet<Fingerprint>,
}

impl UndecidedChanges {
    /// Collects what the commands touch.
    pub fn of<'a>(commands: impl IntoIterator<Item = &'a Command>) -> Self {
        let mut changes = Self::default();
        for command in commands {
            changes.add(command);
        }
        changes
    }

    fn add(&mut self, command: &Command) {
        match command {
            Command::ChangeItems(change) => {
                change.upserts.iter().for_each(|item| self.add_item(item));
                let removed = change.removals.iter().map(|removal| removal.key.clone());
                self.items.extend(removed);
            }
            Command::SetState {
                id,
                state: InstanceState::Draining,
            } => _ = self.draining.insert(id.clone()),
            Command::Register(instance) => self.add_instance(instance),
            Command::SetEvacuation {
                zone,
                evacuated: true,
                ..
            } => _ = self.evacuated_zones.insert(zone.clone()),
            Command::SetQuarantine {
                fingerprint,
                quarantined: true,
            } => _ = self.quarantined.insert(*fingerprint),
            // Until these are decided, the state in force is the more careful one.
            Command::SetState { .. }
            | Command::RecordLeave { .. }
            | Command::Suspend { .. }
            | Command::SetEvacuation { .. }
            | Command::SetQuarantine { .. }
            | Command::FreeShards { .. }
            | Command::AssignShards { .. }
            | Command::RecordGrant { .. } => {}
        }
    }

    fn add_item(&mut self, item: &Item) {
        self.items.insert(item.key());
        match &item.content {
            ItemContent::Route(route) => self.routes.push(route.clone()),
            ItemContent::Limits(limits) => self.limits.push(limits.clone()),
            ItemContent::Service(_) => {}
        }
    }

    fn add_instance(&mut self, instance: &Instance) {
        if instance.state != InstanceState::Ready {
            self.draining.insert(instance.id.clone());
        }
        if instance.is_cold {
            self.cold.insert(instance.id.clone());
        }
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Number of items, servers, zones and requests that are touched.
    pub fn len(&self) -> usize {
        let servers = self.draining.len() + self.cold.len();
        self.items.len() + servers + self.evacuated_zones.len() + self.quarantined.len()
    }

    /// Whether a request may have another route or service than `found`, the route that the state in force
    /// gives it.
    pub fn touches_request(&self, host: &str, path: &str, found: Option<(&str, &Route)>) -> bool {
        let has_changed = |kind: ItemKind, name: &str| {
            let mut items = self.items.iter();
            items.any(|key| key.kind == kind && key.name == name)
        };
        let route_changed = found.is_some_and(|(name, route)| {
            let mut targets = route.targets.iter();
            has_changed(ItemKind::Route, name)
                || targets.any(|target| has_changed(ItemKind::Service, &target.service))
        });
        let found_length = found.map_or(0, |(_, route)| route.prefix.len());
        route_changed
            || self
                .routes
                .iter()
                .any(|route| route.prefix.len() >= found_length && route.matches(host, path))
    }

    /// Whether a server may have announced that it stops, or its zone may be evacuated.
    pub fn may_have_stopped(&self, server: &Instance) -> bool {
        self.draining.contains(&server.id) || self.evacuated_zones.contains(&server.zone)
    }

    /// Servers that may be warming up.
    pub fn cold_servers(&self) -> impl Iterator<Item = &InstanceId> {
        self.cold.iter()
    }

    /// Whether a server may be warming up.
    pub fn may_be_cold(&self, server: &InstanceId) -> bool {
        self.cold.contains(server)
    }

    /// Whether a request may be quarantined.
    pub fn may_be_quarantined(&self, fingerprint: Fingerprint) -> bool {
        self.quarantined.contains(&fingerprint)
    }

    /// Whether any request may be quarantined.
    pub fn has_quarantined(&self) -> bool {
        !self.quarantined.is_empty()
    }

    /// For each bound the most generous of the limits in force and those that may be.
    pub fn most_generous_limits(&self, in_force: Option<&Limits>) -> Option<Limits> {
        let all = in_force.into_iter().chain(&self.limits).cloned();
        all.reduce(|one, other| Limits {
            header_bytes: one.header_bytes.max(other.header_bytes),
            body_bytes: one.body_bytes.max(other.body_bytes),
            header_timeout: one.header_timeout.max(other.header_timeout),
            idle_timeout: one.idle_timeout.max(other.idle_timeout),
        })
    }
}
