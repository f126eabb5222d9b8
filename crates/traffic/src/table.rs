//! Routing table that a router receives from the control group.
//!
//! Invariant: the index of the current table never decreases, so a bundle is never replaced by an older one.

use std::collections::BTreeMap;
use std::sync::Arc;

use grebepin_schema::hashing::shard_of_key;
use grebepin_schema::{
    Digest, Epoch, GroupId, LogIndex, RequestClass, Server, ServerName, ServerStanding, Service,
    ServiceTable, ShardId, TableDelta, TableSnapshot,
};

use crate::guards::{Guard, Guards};
use crate::owners::OwnerList;

/// Result of applying a snapshot or a delta.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The table now has the state of the frame.
    Applied,
    /// The frame is not newer than the current table and was ignored.
    Stale,
}

/// Why a snapshot or a delta cannot be applied; the router then requests a full snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ApplyError {
    /// The frame belongs to another control group.
    #[error("table of group {got}, expected {expected}", got = got.0, expected = expected.0)]
    WrongGroup {
        /// Group that this router follows.
        expected: GroupId,
        /// Group named in the frame.
        got: GroupId,
    },
    /// Changes between the current table and the delta are missing.
    #[error("delta follows index {previous}, table is at {have}", previous = previous.0, have = have.0)]
    Gap {
        /// Index of the current table.
        have: LogIndex,
        /// Index on which the delta is based.
        previous: LogIndex,
    },
    /// A list does not match its service, or the frame names an unknown service, shard or server.
    #[error("table frame at index {index} does not fit its services", index = index.0)]
    Malformed {
        /// Index named in the frame.
        index: LogIndex,
    },
}

/// Routing data of one service.
#[derive(Clone, Debug)]
pub struct ServiceRoute {
    /// The service's definition in the bundle.
    pub service: Arc<Service>,
    /// Standing of each server, in the same order as in the bundle.
    pub standings: Vec<ServerStanding>,
    /// Owner and epoch of each shard.
    pub owners: OwnerList,
}

/// Current ownership of a shard.
#[derive(Clone, Copy, Debug)]
pub struct Owner<'a> {
    /// The shard that was looked up.
    pub shard: ShardId,
    /// Epoch of the ownership; 0 if the shard never had an owner.
    pub epoch: Epoch,
    /// The owning server and its standing; `None` while the shard has no owner.
    pub server: Option<(&'a Server, ServerStanding)>,
}

impl ServiceRoute {
    fn new(table: &ServiceTable, index: LogIndex) -> Result<Self, ApplyError> {
        let servers = table.service.servers.len();
        let known =
            |server: Option<u32>| server.is_none_or(|position| (position as usize) < servers);
        let consistent = table.standings.len() == servers
            && table.owners.len() == table.service.shards.get() as usize
            && table.owners.iter().all(|owner| known(owner.server));
        if !consistent {
            return Err(ApplyError::Malformed { index });
        }
        Ok(Self {
            service: Arc::new(table.service.clone()),
            standings: table.standings.clone(),
            owners: OwnerList::new(&table.owners),
        })
    }

    /// Ownership of the shard to which a key belongs.
    pub fn owner(&self, key: &str) -> Owner<'_> {
        self.owner_of_shard(shard_of_key(key, self.service.shards.get()))
    }

    /// Ownership of a shard; has no server if the shard does not exist.
    pub fn owner_of_shard(&self, shard: ShardId) -> Owner<'_> {
        let found = self.owners.get(shard);
        let position = found
            .and_then(|owner| owner.server)
            .map(|position| position as usize);
        let server = position.and_then(|position| {
            let server = self.service.servers.get(position)?;
            Some((server, *self.standings.get(position)?))
        });
        Owner {
            shard,
            epoch: found.map_or(Epoch(0), |owner| owner.epoch),
            server,
        }
    }

    /// First request class whose method and path prefix match; `path` is the part after the service name.
    pub fn class(&self, method: &str, path: &str) -> Option<&RequestClass> {
        self.service.classes.iter().find(|class| {
            let method_matches = class
                .method
                .as_deref()
                .is_none_or(|wanted| wanted == method);
            method_matches && prefix_matches(&class.path_prefix, path)
        })
    }

    fn position_of(&self, server: &ServerName) -> Option<usize> {
        self.service
            .servers
            .iter()
            .position(|known| &known.name == server)
    }
}

/// Prefixes match whole path segments: `/approve` matches `/approve/7` and `/approve?x`, not `/approved`.
fn prefix_matches(prefix: &str, path: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    rest.is_empty() || prefix.ends_with('/') || rest.starts_with(['/', '?'])
}

/// Current routing table. Cloning is cheap, because clones share unchanged data.
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
    /// An empty table of a group before the first snapshot, at index 0.
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

    /// Replaces the table, unless the current one is at least as new.
    ///
    /// # Errors
    /// [`ApplyError`] if the snapshot is inconsistent or of another group; the table is left unchanged.
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

    /// Applies changes. A delta may be based on an older index than the table's, as it carries final values.
    ///
    /// # Errors
    /// [`ApplyError`] if earlier changes are missing or the delta does not match; the table is unchanged.
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
            let position = change.owner.server.map(|position| position as usize);
            if position.is_some_and(|position| position >= route.service.servers.len()) {
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
            let position = route.position_of(&change.server).ok_or(malformed)?;
            Arc::make_mut(route).standings[position] = change.standing;
        }
        self.services = services;
        self.index = delta.index;
        Ok(ApplyOutcome::Applied)
    }

    /// Control group that this router follows.
    pub fn group(&self) -> GroupId {
        self.group
    }

    /// Log index of the current table; 0 before the first snapshot.
    pub fn index(&self) -> LogIndex {
        self.index
    }

    /// Version of the current bundle; 0 before the first snapshot.
    pub fn bundle_version(&self) -> u64 {
        self.bundle_version
    }

    /// Digest of the current bundle; `None` if the snapshot named none.
    pub fn bundle_digest(&self) -> Option<&Digest> {
        self.bundle_digest.as_ref()
    }

    /// Whether a snapshot has been applied.
    pub fn is_ready(&self) -> bool {
        self.index > LogIndex(0)
    }

    /// Routing data of a service; `None` for an unknown name.
    pub fn service(&self, name: &str) -> Option<&Arc<ServiceRoute>> {
        self.services.get(name)
    }

    /// Routing data of all services, sorted by name.
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
