//! Usable servers of each service, in this gateway's order of preference.
//!
//! The order differs between gateways: servers of the gateway's own zone come first, a few of other zones
//! follow early, and within a zone servers are ordered by a hash of the gateway and the server. So gateways
//! of a zone prefer different servers, and a server that joins or leaves changes the order of no other.
//!
//! Invariant: the cost of a change of one server does not grow with the number of servers. Of 10,000 servers
//! some hundred may change within a second during a release; work that grew with all of them would keep a
//! gateway with 0.1 cores busy for longer than that second.

use std::collections::{BTreeSet, HashMap};

use grebepin_catalog::{Instance, InstanceId, InstanceState};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of servers of the own zone that come first in the order, see [`crate::load_balancer`].
pub const LOCAL_FIRST: usize = 8;

/// Number of servers of other zones that come next, so that requests leave a zone with slow servers before
/// these reject them.
pub const REMOTE_FIRST: usize = 4;

/// Sort key of a server in the order of preference.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Preference {
    is_remote: bool,
    hash: u64,
    id: InstanceId,
}

/// The servers that may get new requests.
#[derive(Debug, Default)]
pub struct ServerIndex {
    /// Hash of this gateway's machine name, so that its order differs from that of other gateways.
    seed: u64,
    zone: String,
    services: HashMap<String, BTreeSet<Preference>>,
    /// Servers that are warming up, usable or not.
    cold: BTreeSet<InstanceId>,
    updates: u64,
}

impl ServerIndex {
    /// Empty index of the gateway on machine `node` in `zone`.
    pub fn new(node: &str, zone: &str) -> Self {
        Self {
            seed: xxh3_64_with_seed(node.as_bytes(), 0),
            zone: zone.to_owned(),
            ..Self::default()
        }
    }

    /// Adds a server or replaces its previous entry.
    pub fn update(&mut self, instance: &Instance, is_usable: bool) {
        // The previous entry may be under another service or zone: a server may register again with other
        // ones.
        let mut preference = self.preference(&instance.id, true);
        for is_remote in [true, false] {
            preference.is_remote = is_remote;
            for servers in self.services.values_mut() {
                servers.remove(&preference);
            }
        }
        self.add(instance, is_usable);
    }

    /// Adds a server that has no entry yet, as when a snapshot is indexed.
    pub fn add(&mut self, instance: &Instance, is_usable: bool) {
        self.updates += 1;
        match instance.is_cold && instance.state != InstanceState::Gone {
            true => _ = self.cold.insert(instance.id.clone()),
            false => _ = self.cold.remove(&instance.id),
        }
        if !is_usable {
            return;
        }
        let preference = self.preference(&instance.id, instance.zone != self.zone);
        match self.services.get_mut(&instance.service) {
            Some(servers) => _ = servers.insert(preference),
            None => {
                let servers = BTreeSet::from([preference]);
                self.services.insert(instance.service.clone(), servers);
            }
        }
    }

    /// Removes all servers, before a snapshot is indexed. Keeps the count of updates.
    pub fn clear(&mut self) {
        self.services.clear();
        self.cold.clear();
    }

    /// Usable servers of a service, the most preferred first: [`LOCAL_FIRST`] of the own zone,
    /// [`REMOTE_FIRST`] of others, the rest of the own zone, the rest.
    pub fn servers(&self, service: &str) -> impl Iterator<Item = &InstanceId> + Clone {
        let all = self.services.get(service);
        let first_remote = Preference {
            is_remote: true,
            hash: 0,
            id: InstanceId::new(""),
        };
        let local = all.map(|all| all.range(..first_remote.clone()));
        let remote = all.map(|all| all.range(first_remote..));
        let (local, remote) = (local.into_iter().flatten(), remote.into_iter().flatten());
        let first = local.clone().take(LOCAL_FIRST);
        let first = first.chain(remote.clone().take(REMOTE_FIRST));
        let rest = local.skip(LOCAL_FIRST).chain(remote.skip(REMOTE_FIRST));
        first.chain(rest).map(|preference| &preference.id)
    }

    /// Servers that are warming up.
    pub fn cold_servers(&self) -> impl Iterator<Item = &InstanceId> {
        self.cold.iter()
    }

    /// Number of servers added or replaced since the start, as a measure of the work done.
    pub fn updates(&self) -> u64 {
        self.updates
    }

    fn preference(&self, id: &InstanceId, is_remote: bool) -> Preference {
        Preference {
            is_remote,
            hash: xxh3_64_with_seed(id.name().as_bytes(), self.seed),
            id: id.clone(),
        }
    }
}
