//! Configuration items. The highest version of each item wins; a removal has a version too.
//!
//! Invariants: the stored version of an item never decreases; the content of a stored version never changes;
//! a change that would make the configuration invalid is refused as a whole.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::item::{Item, ItemChange, ItemContent, ItemKey, ItemKind, Route, Service, Version};

/// Longest timeout that a route may set.
const MAX_TIMEOUT: Duration = Duration::from_secs(600);

/// Latest version of one item. A removal stays stored as a tombstone, so that an older version that arrives
/// late does not restore the item.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VersionedItem {
    /// Highest version applied, including that of a removal.
    pub version: Version,
    /// Content of the item; `None` after a removal.
    pub item: Option<Item>,
}

/// A version of an item that replaced an older one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangedItem {
    /// The item.
    pub key: ItemKey,
    /// The version that is held now.
    pub version: Version,
    /// Whether that version is a removal.
    pub is_removed: bool,
}

impl ChangedItem {
    fn new(key: &ItemKey, held: &VersionedItem) -> Self {
        Self {
            key: key.clone(),
            version: held.version,
            is_removed: held.item.is_none(),
        }
    }
}

/// Changed items for a log line; each list is separated by commas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ItemSummary {
    /// Names of the items.
    pub names: String,
    /// Their versions, in the same order.
    pub versions: String,
    /// Names of those that were removed.
    pub removed: String,
}

impl ItemSummary {
    /// Summary of the first `limit` items.
    pub fn of(changed: &[ChangedItem], limit: usize) -> Self {
        let changed = &changed[..changed.len().min(limit)];
        let names = changed.iter().map(|item| item.key.name.as_str());
        let versions = changed.iter().map(|item| item.version.0.to_string());
        let removed = changed.iter().filter(|item| item.is_removed);
        let removed = removed.map(|item| item.key.name.as_str());
        Self {
            names: names.collect::<Vec<_>>().join(","),
            versions: versions.collect::<Vec<_>>().join(","),
            removed: removed.collect::<Vec<_>>().join(","),
        }
    }
}

/// Why a change was refused. No part of a refused change is applied.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidChange {
    /// A route refers to a service that is not defined after the change.
    #[error("route {route}: no service {service}")]
    UnknownService {
        /// Name of the route.
        route: String,
        /// Name of the undefined service.
        service: String,
    },
    /// Two routes have the same host and prefix after the change.
    #[error("routes {first} and {second} share a host and prefix")]
    DuplicateRoute {
        /// Name of one route.
        first: String,
        /// Name of the other route.
        second: String,
    },
    /// The weights of a route's targets add up to 0, so its requests have no target.
    #[error("route {route}: the weights add up to 0")]
    ZeroWeight {
        /// Name of the route.
        route: String,
    },
    /// The timeout of a route is 0 or above the maximum.
    #[error("route {route}: timeout of {seconds} s is outside 0 to 600 s")]
    Timeout {
        /// Name of the route.
        route: String,
        /// The timeout, rounded down to whole seconds.
        seconds: u64,
    },
    /// The path prefix of a route does not begin with a slash.
    #[error("route {route}: prefix does not begin with a slash")]
    PrefixWithoutSlash {
        /// Name of the route.
        route: String,
    },
}

/// All configuration items with their versions.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Items {
    held: BTreeMap<ItemKey, VersionedItem>,
}

impl Items {
    /// Iterates over the latest version of every item, including removals.
    pub fn all(&self) -> impl Iterator<Item = (&ItemKey, &VersionedItem)> {
        self.held.iter()
    }

    /// Iterates over the items in force, which are those not removed.
    pub fn in_force(&self) -> impl Iterator<Item = &Item> {
        self.held.values().filter_map(|held| held.item.as_ref())
    }

    /// Returns an item in force; `None` if it was never set or is removed.
    pub fn get(&self, kind: ItemKind, name: &str) -> Option<&Item> {
        let key = ItemKey {
            kind,
            name: name.to_owned(),
        };
        self.held.get(&key)?.item.as_ref()
    }

    /// Returns the items that have another version than in `older`, an earlier state of the same items.
    pub fn changed_since(&self, older: &Self) -> Vec<ChangedItem> {
        let is_changed = |key: &ItemKey, held: &VersionedItem| {
            let before = older.held.get(key);
            before.is_none_or(|before| before.version != held.version)
        };
        let changed = self.held.iter().filter(|(key, held)| is_changed(key, held));
        changed
            .map(|(key, held)| ChangedItem::new(key, held))
            .collect()
    }

    /// Returns the configuration of a service in force.
    pub fn service(&self, name: &str) -> Option<&Service> {
        match &self.get(ItemKind::Service, name)?.content {
            ItemContent::Service(service) => Some(service),
            _ => None,
        }
    }

    /// Returns whether no item was ever set or removed.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Clears the documents of all items.
    pub(crate) fn drop_documents(&mut self) {
        for held in self.held.values_mut() {
            if let Some(item) = &mut held.item {
                item.document = String::new();
            }
        }
    }

    /// Returns whether a change contains a newer version of any item.
    pub fn has_newer_versions(&self, change: &ItemChange) -> bool {
        let mut upserts = change.upserts.iter();
        let mut removals = change.removals.iter();
        upserts.any(|item| self.is_newer(&item.key(), item.version))
            || removals.any(|removal| self.is_newer(&removal.key, removal.version))
    }

    fn is_newer(&self, key: &ItemKey, version: Version) -> bool {
        self.held.get(key).is_none_or(|held| held.version < version)
    }

    /// Validates each item of a change, and the configuration as it would be after the change.
    ///
    /// # Errors
    /// Returns the first violation found.
    pub fn check(&self, change: &ItemChange) -> Result<(), InvalidChange> {
        for item in &change.upserts {
            if let ItemContent::Route(route) = &item.content {
                check_route(&item.name, route)?;
            }
        }
        if !self.has_newer_versions(change) {
            return Ok(());
        }
        let mut next = self.clone();
        next.merge(change);
        next.check_routes()
    }

    /// Applies a committed change and returns the items that changed. A change that an earlier log entry has made
    /// invalid is refused and changes nothing.
    ///
    /// # Errors
    /// Returns the first violation found.
    pub fn apply(&mut self, change: &ItemChange) -> Result<Vec<ChangedItem>, InvalidChange> {
        self.check(change)?;
        Ok(self.merge(change))
    }

    fn merge(&mut self, change: &ItemChange) -> Vec<ChangedItem> {
        let upserts = change.upserts.iter().map(|item| {
            let held = VersionedItem {
                version: item.version,
                item: Some(item.clone()),
            };
            (item.key(), held)
        });
        let removals = change.removals.iter().map(|removal| {
            let held = VersionedItem {
                version: removal.version,
                item: None,
            };
            (removal.key.clone(), held)
        });
        let mut changed = Vec::new();
        // A change may contain an item more than once; the highest version wins here as well.
        for (key, held) in upserts.chain(removals) {
            if self.is_newer(&key, held.version) {
                changed.push(ChangedItem::new(&key, &held));
                self.held.insert(key, held);
            }
        }
        changed
    }

    /// Checks that routes have distinct hosts and prefixes and refer only to defined services.
    fn check_routes(&self) -> Result<(), InvalidChange> {
        let mut names: BTreeMap<(&str, &str), &str> = BTreeMap::new();
        for item in self.in_force() {
            let ItemContent::Route(route) = &item.content else {
                continue;
            };
            self.check_targets(&item.name, route)?;
            let pattern = (route.host.as_str(), route.prefix.as_str());
            if let Some(first) = names.insert(pattern, &item.name) {
                return Err(InvalidChange::DuplicateRoute {
                    first: first.to_owned(),
                    second: item.name.clone(),
                });
            }
        }
        Ok(())
    }

    fn check_targets(&self, name: &str, route: &Route) -> Result<(), InvalidChange> {
        let unknown = route
            .targets
            .iter()
            .find(|target| self.get(ItemKind::Service, &target.service).is_none());
        match unknown {
            None => Ok(()),
            Some(target) => Err(InvalidChange::UnknownService {
                route: name.to_owned(),
                service: target.service.clone(),
            }),
        }
    }
}

fn check_route(name: &str, route: &Route) -> Result<(), InvalidChange> {
    let route_name = name.to_owned();
    if !route.prefix.starts_with('/') {
        return Err(InvalidChange::PrefixWithoutSlash { route: route_name });
    }
    if route.timeout.is_zero() || route.timeout > MAX_TIMEOUT {
        return Err(InvalidChange::Timeout {
            route: route_name,
            seconds: route.timeout.as_secs(),
        });
    }
    let weight: u64 = route
        .targets
        .iter()
        .map(|target| u64::from(target.weight))
        .sum();
    if weight == 0 {
        return Err(InvalidChange::ZeroWeight { route: route_name });
    }
    Ok(())
}
