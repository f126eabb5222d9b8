//! Assignments that are proposed but not applied yet.
//!
//! Invariant: a shard with a proposed assignment is neither granted nor proposed again.

use std::collections::BTreeMap;

use grebepin_schema::{ServiceName, ShardId};

use crate::state::ServerIndex;

/// Proposed assignments by shard, each with its new owner.
#[derive(Debug, Default)]
pub(super) struct Pending {
    services: BTreeMap<ServiceName, BTreeMap<ShardId, Option<ServerIndex>>>,
    count: usize,
}

impl Pending {
    pub fn len(&self) -> usize {
        self.count
    }

    pub fn contains(&self, service: &ServiceName, shard: ShardId) -> bool {
        let shards = self.services.get(service);
        shards.is_some_and(|shards| shards.contains_key(&shard))
    }

    /// Proposed assignments of one service.
    pub fn of(
        &self,
        service: &ServiceName,
    ) -> impl Iterator<Item = (ShardId, Option<ServerIndex>)> + '_ {
        let shards = self.services.get(service).into_iter().flatten();
        shards.map(|(shard, server)| (*shard, *server))
    }

    pub fn insert(&mut self, service: &ServiceName, shard: ShardId, server: Option<ServerIndex>) {
        let shards = match self.services.get_mut(service) {
            Some(shards) => shards,
            None => self.services.entry(service.clone()).or_default(),
        };
        if shards.insert(shard, server).is_none() {
            self.count += 1;
        }
    }

    /// Removes a proposed assignment; returns its new owner, if it has one.
    pub fn remove(&mut self, service: &ServiceName, shard: ShardId) -> Option<ServerIndex> {
        let proposed = self.services.get_mut(service)?.remove(&shard)?;
        self.count -= 1;
        proposed
    }
}
