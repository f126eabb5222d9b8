//! Index of servers by address.
//!
//! A server that registers replaces earlier servers at its address. Searching all servers for each
//! registration takes time quadratic in their number: 50 million comparisons when 10,000 servers start
//! together. The index makes it a look-up.

use std::collections::HashMap;

use grebepin_catalog::{Catalog, Instance, InstanceId, InstanceState};

/// Servers by address. May contain entries that the replicated state doesn't have.
#[derive(Debug, Default)]
pub(crate) struct AddressIndex {
    by_address: HashMap<String, Vec<InstanceId>>,
    /// Whether the servers of the replicated state have been added.
    is_filled: bool,
    visited: u64,
}

impl AddressIndex {
    /// Servers at an address that are registered and not gone. The index only proposes candidates; the
    /// replicated state decides.
    pub(crate) fn live_at(&mut self, catalog: &Catalog, address: &str) -> Vec<InstanceId> {
        self.fill(catalog);
        let Some(ids) = self.by_address.get_mut(address) else {
            return Vec::new();
        };
        self.visited += ids.len() as u64;
        ids.retain(|id| {
            let instance = catalog.instance(id);
            instance.is_none_or(|one| one.address == address && one.state != InstanceState::Gone)
        });
        let registered = ids.iter().filter(|id| catalog.instance(id).is_some());
        registered.cloned().collect()
    }

    /// Adds a server that is about to be registered at an address.
    pub(crate) fn record(&mut self, address: &str, id: &InstanceId) {
        let ids = match self.by_address.get_mut(address) {
            Some(ids) => ids,
            None => self.by_address.entry(address.to_owned()).or_default(),
        };
        if !ids.contains(id) {
            ids.push(id.clone());
        }
    }

    /// Adds the servers that were registered under earlier leaders, at the first call only.
    fn fill(&mut self, catalog: &Catalog) {
        if self.is_filled {
            return;
        }
        self.is_filled = true;
        let live = |one: &&Instance| one.state != InstanceState::Gone;
        for instance in catalog.instances().filter(live) {
            self.visited += 1;
            self.record(&instance.address, &instance.id);
        }
    }

    /// Number of servers visited so far.
    #[cfg(test)]
    pub(crate) fn visited(&self) -> u64 {
        self.visited
    }
}

#[cfg(test)]
mod tests;
