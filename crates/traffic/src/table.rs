//! The routing table that a router follows.
//!
//! Invariant: the index in force never falls, so a bundle in force is never replaced by an older one.

use std::collections::BTreeMap;
use std::sync::Arc;

use grebepin_schema::hashing::shard_of_key;
use grebepin_schema::{
    Digest, Epoch, GroupId, LogIndex, RequestClass, Server, ServerName, ServerStanding, Service,
    ServiceTable, ShardId, TableDelta, TableSnapshot,
};

use crate::guards::{Guard, Guards};
use crate::owners::OwnerList;

/// What became of a snapshot or a delta.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// It is in force.
    Applied,
    /// It is not newer than what is in force, and was left out.
    Stale,
}

/// Why a snapshot or a delta cannot be put in force; the router asks for a whole table again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ApplyError {
    /// It belongs to another control group.
    #[error("table of group {got}, expected {expected}", got = got.0, expected = expected.0)]
    WrongGroup {
        /// Group that is followed.
        expected: GroupId,
        /// Group of the frame.
        got: GroupId,
    },
    /// Changes between the table in force and the delta are missing.
    #[error("delta follows index {previous}, table is at {have}", previous = previous.0, have = have.0)]
    Gap {
        /// Index in force.
        have: LogIndex,
        /// Index the delta follows.
        previous: LogIndex,
    },
    /// A list does not fit the service it belongs to, or names an unknown service, shard or server.
    #[error("table frame at index {index} does not fit its services", index = index.0)]
    Malformed {
        /// Index of the frame.
        index: LogIndex,
    },
}

/// Routing of one service.
#[derive(Clone, Debug)]
pub struct ServiceRoute {
    /// The service as the bundle describes it.
    pub service: Arc<Service>,
    /// Standing of each server, in the bundle's order.
    pub standings: Vec<ServerStanding>,
    /// Owner of each shard.
    pub owners: OwnerList,
}

/// Who owns a key's shard.
#[derive(Clone, Copy, Debug)]
pub struct Owner<'a> {
    /// Shard of the key.
    pub shard: ShardId,
    /// Epoch of the ownership; 0 when the shard never had an owner.
    pub epoch: Epoch,
    /// The owner and its standing; absent while no server owns the shard.
    pub server: Option<(&'a Server, ServerStanding)>,
}

impl ServiceRoute {
    fn new(table: &ServiceTable, index: LogIndex) -> Result<Self, ApplyError> {
        let servers = table.service.servers.len();
        let known = |server: Option<u32>| server.is_none_or(|place| (place as usize) < servers);
        let fits = table.standings.len() == servers
            && table.owners.len() == table.service.shards.get() as usize
            && table.owners.iter().all(|owner| known(owner.server));
        if !fits {
            return Err(ApplyError::Malformed { index });
        }
        Ok(Self {
            service: Arc::new(table.service.clone()),
            standings: table.standings.clone(),
            owners: OwnerList::new(&table.owners),
        })
    }

    /// Owner of a key's shard.
    pub fn owner(&self, key: &str) -> Owner<'_> {
        self.owner_of_shard(shard_of_key(key, self.service.shards.get()))
    }

    /// Owner of a shard; without a server when there is no such shard.
    pub fn owner_of_shard(&self, shard: ShardId) -> Owner<'_> {
        let found = self.owners.get(shard);
        let place = found
            .and_then(|owner| owner.server)
            .map(|place| place as usize);
        let server = place.and_then(|place| {
            let server = self.service.servers.get(place)?;
            Some((server, *self.standings.get(place)?))
        });
        Owner {
            shard,
            epoch: found.map_or(Epoch(0), |owner| owner.epoch),
            server,
        }
    }

    /// The first class whose method and path prefix fit; `path` is what follows the service's name.
    pub fn class(&self, method: &str, path: &str) -> Option<&RequestClass> {
        self.service.classes.iter().find(|class| {
            let method_fits = class
                .method
                .as_deref()
                .is_none_or(|wanted| wanted == method);
            method_fits && prefix_fits(&class.path_prefix, path)
        })
    }

    fn place_of(&self, server: &ServerName) -> Option<usize> {
        self.service
            .servers
            .iter()
            .position(|known| &known.name == server)
    }
}

/// A prefix fits whole segments only: `/approve` fits `/approve/7` and `/approve?x`, not `/approved`.
fn prefix_fits(prefix: &str, path: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    rest.is_empty() || prefix.ends_with('/') || rest.starts_with(['/', '?'])
}

/// The routing table in force; cheap to copy, as copies share what did not change.
#[derive(Clone, Debug)]
pub struct RoutingTable {
    group: GroupId,
    index: LogIndex,
    bundle_version: u64,
    bundle_digest: Option<Digest>,
    services: BTreeMap<String, Arc<ServiceRoute>>,
    guards: Guards,
}

impl RoutingTable {
    /// A table of a group before the first snapshot: index 0, no services.
    pub fn new(group: GroupId, guards: Guards) -> Self {
        Self {
            group,
            index: LogIndex(0),
            bundle_version: 0,
            bundle_digest: None,
            services: BTreeMap::new(),
            guards,
        }
    }

    /// Puts a whole table in force, unless the one in force is as new.
    ///
    /// # Errors
    /// [`ApplyError`] when it is of another group or inconsistent; the table stays as it was.
    pub fn apply_snapshot(&mut self, snapshot: &TableSnapshot) -> Result<ApplyOutcome, ApplyError> {
        self.check_group(snapshot.group)?;
        if self.is_stale(snapshot.index) {
            return Ok(ApplyOutcome::Stale);
        }
        let mut services = BTreeMap::new();
        for table in &snapshot.table.services {
            let route = ServiceRoute::new(table, snapshot.index)?;
            services.insert(table.service.name.to_string(), Arc::new(route));
        }
        self.services = services;
        self.index = snapshot.index;
        self.bundle_version = snapshot.table.bundle_version;
        self.bundle_digest = snapshot.table.bundle_digest.clone();
        Ok(ApplyOutcome::Applied)
    }

    /// Puts changes in force. A delta may begin before the table's index, as it carries final values.
    ///
    /// # Errors
    /// [`ApplyError`] when changes are missing in between, or it does not fit; the table stays as it was.
    pub fn apply_delta(&mut self, delta: &TableDelta) -> Result<ApplyOutcome, ApplyError> {
        self.check_group(delta.group)?;
        if self.is_stale(delta.index) {
            return Ok(ApplyOutcome::Stale);
        }
        if delta.previous > self.index {
            return Err(ApplyError::Gap {
                have: self.index,
                previous: delta.previous,
            });
        }
        let malformed = ApplyError::Malformed { index: delta.index };
        let mut services = self.services.clone();
        for change in &delta.owners {
            let route = services.get_mut(change.service.as_str()).ok_or(malformed)?;
            let place = change.owner.server.map(|place| place as usize);
            if place.is_some_and(|place| place >= route.service.servers.len()) {
                return Err(malformed);
            }
            if !Arc::make_mut(route)
                .owners
                .set(change.shard, change.owner.clone())
            {
                return Err(malformed);
            }
        }
        for change in &delta.standings {
            let route = services.get_mut(change.service.as_str()).ok_or(malformed)?;
            let place = route.place_of(&change.server).ok_or(malformed)?;
            Arc::make_mut(route).standings[place] = change.standing;
        }
        self.services = services;
        self.index = delta.index;
        Ok(ApplyOutcome::Applied)
    }

    /// Group that is followed.
    pub fn group(&self) -> GroupId {
        self.group
    }

    /// Index in force; 0 before the first snapshot.
    pub fn index(&self) -> LogIndex {
        self.index
    }

    /// Version of the bundle in force; 0 before the first.
    pub fn bundle_version(&self) -> u64 {
        self.bundle_version
    }

    /// Digest of the bundle in force.
    pub fn bundle_digest(&self) -> Option<&Digest> {
        self.bundle_digest.as_ref()
    }

    /// Whether a table was received.
    pub fn is_ready(&self) -> bool {
        self.index > LogIndex(0)
    }

    /// Routing of a service.
    pub fn service(&self, name: &str) -> Option<&Arc<ServiceRoute>> {
        self.services.get(name)
    }

    /// Routing of every service, by name.
    pub fn services(&self) -> impl Iterator<Item = &Arc<ServiceRoute>> {
        self.services.values()
    }

    fn check_group(&self, got: GroupId) -> Result<(), ApplyError> {
        if got == self.group {
            return Ok(());
        }
        Err(ApplyError::WrongGroup {
            expected: self.group,
            got,
        })
    }

    fn is_stale(&self, index: LogIndex) -> bool {
        if self.guards.has(Guard::MonotonicTable) {
            index <= self.index
        } else {
            index == self.index
        }
    }
}
