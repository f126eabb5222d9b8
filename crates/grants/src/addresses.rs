//! Which servers stand at an address, for a leader that takes in thousands of servers at once.
//!
//! A server that registers ends those that had its address before. A look at all known servers for each newcomer
//! costs the square of their number: 50 million comparisons at the start of 10,000. This index makes it a look-up.

use std::collections::HashMap;

use grebepin_catalog::{Catalog, Instance, InstanceId, InstanceState};

/// Servers by address, as far as one leader has seen them.
#[derive(Debug, Default)]
pub(crate) struct Addresses {
    by_address: HashMap<String, Vec<InstanceId>>,
    /// Whether the servers that the replicated state held before are in it.
    is_filled: bool,
    looked_at: u64,
}

impl Addresses {
    /// Servers at an address that have not ended. What is remembered only proposes; the replicated state decides.
    pub(crate) fn live_at(&mut self, catalog: &Catalog, address: &str) -> Vec<InstanceId> {
        self.fill(catalog);
        let Some(ids) = self.by_address.get_mut(address) else {
            return Vec::new();
        };
        self.looked_at += ids.len() as u64;
        ids.retain(|id| {
            let instance = catalog.instance(id);
            instance.is_none_or(|one| one.address == address && one.state != InstanceState::Gone)
        });
        let registered = ids.iter().filter(|id| catalog.instance(id).is_some());
        registered.cloned().collect()
    }

    /// Notes a server that is about to be registered at an address.
    pub(crate) fn note(&mut self, address: &str, id: &InstanceId) {
        let ids = match self.by_address.get_mut(address) {
            Some(ids) => ids,
            None => self.by_address.entry(address.to_owned()).or_default(),
        };
        if !ids.contains(id) {
            ids.push(id.clone());
        }
    }

    /// Takes in the servers that were registered under earlier leaders, once.
    fn fill(&mut self, catalog: &Catalog) {
        if self.is_filled {
            return;
        }
        self.is_filled = true;
        let live = |one: &&Instance| one.state != InstanceState::Gone;
        for instance in catalog.instances().filter(live) {
            self.looked_at += 1;
            self.note(&instance.address, &instance.id);
        }
    }

    /// Servers looked at since the start.
    #[cfg(test)]
    pub(crate) fn looked_at(&self) -> u64 {
        self.looked_at
    }
}

#[cfg(test)]
mod tests;
