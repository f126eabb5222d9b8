//! Usable servers of each service, in the order in which this gateway prefers them.
//!
//! The order is this gateway's own: its zone first, a few of other zones soon after, and among these by a hash of the
//! gateway and the server, so that neighbours prefer different servers and one that joins or leaves moves no other.
//!
//! Invariant: a change of one server costs a look-up, however many there are. With 10,000 servers, of which some
//! hundred change within a second of a release, work that grew with all of them would take a gateway of 0.1 cores
//! longer than the second.

use std::collections::{BTreeSet, HashMap};

use grebepin_catalog::{Instance, InstanceId, InstanceState};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Servers of the own zone that come first in the order, see [`crate::load_balancer`].
pub const LOCAL_FIRST: usize = 8;

/// Servers of other zones that come next, so that a zone whose own servers are slow is left before they refuse.
pub const REMOTE_FIRST: usize = 4;

/// Where a server stands in the order.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Preference {
    is_remote: bool,
    hash: u64,
    id: InstanceId,
}

/// The servers that new requests may go to.
#[derive(Debug, Default)]
pub struct ServerIndex {
    /// Hash of this gateway's name, which makes its order different from its neighbours'.
    seed: u64,
    zone: String,
    services: HashMap<String, BTreeSet<Preference>>,
    /// Servers that warm up, usable or not.
    cold: BTreeSet<InstanceId>,
    updates: u64,
}

impl ServerIndex {
    /// An empty index of the gateway on machine `node` in `zone`.
    pub fn new(node: &str, zone: &str) -> Self {
        Self {
            seed: xxh3_64_with_seed(node.as_bytes(), 0),
            zone: zone.to_owned(),
            ..Self::default()
        }
    }

    /// Takes in the present state of one server, which may be known already.
    pub fn update(&mut self, instance: &Instance, is_usable: bool) {
        // It may have stood elsewhere: nothing keeps a server from naming another service or zone later on.
        let mut preference = self.preference(&instance.id, true);
        for is_remote in [true, false] {
            preference.is_remote = is_remote;
            for servers in self.services.values_mut() {
                servers.remove(&preference);
            }
        }
        self.add(instance, is_usable);
    }

    /// Takes in a server that is not known yet, as from a whole state.
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

    /// Begins anew, as after a whole state.
    pub fn clear(&mut self) {
        self.services.clear();
        self.cold.clear();
    }

    /// Usable servers of a service, the most preferred first: some of the own zone, a few of others, the rest of the
    /// own zone, the rest.
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

    /// Servers that warm up.
    pub fn cold_servers(&self) -> impl Iterator<Item = &InstanceId> {
        self.cold.iter()
    }

    /// How often a server was taken in since the start: what keeping the index has cost.
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
