//! Recent changes of the routing table, kept so that routers can get deltas.
//!
//! Invariant: every change after `floor` is kept, and at most [`MAX_CHANGES`] changes in total.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use grebepin_schema::{LogIndex, ServiceName, ShardId};

use super::servers::ServerIndex;

/// Most changes of shards and standings kept; a router further behind gets the whole table.
const MAX_CHANGES: usize = 65_536;

/// Changes of one log entry.
#[derive(Clone, Debug, Default)]
pub(crate) struct EntryChanges {
    pub index: LogIndex,
    pub shards: BTreeMap<ServiceName, Vec<ShardId>>,
    pub standings: Vec<ServerIndex>,
}

impl EntryChanges {
    pub fn new(index: LogIndex) -> Self {
        Self {
            index,
            ..Self::default()
        }
    }

    pub fn add_shard(&mut self, service: &ServiceName, shard: ShardId) {
        match self.shards.get_mut(service) {
            Some(shards) => shards.push(shard),
            None => {
                self.shards.insert(service.clone(), vec![shard]);
            }
        }
    }

    pub fn is_empty(&self) -> bool {
        self.shards.is_empty() && self.standings.is_empty()
    }

    fn size(&self) -> usize {
        let shards: usize = self.shards.values().map(Vec::len).sum();
        shards + self.standings.len()
    }
}

/// Shards and servers that changed after an index.
#[derive(Debug, Default)]
pub(crate) struct Changed {
    pub shards: BTreeMap<ServiceName, BTreeSet<ShardId>>,
    pub standings: BTreeSet<ServerIndex>,
}

/// The bounded list of recent changes.
#[derive(Clone, Debug, Default)]
pub(crate) struct Changes {
    entries: VecDeque<EntryChanges>,
    /// Total size of `entries`, in changes.
    kept: usize,
    floor: LogIndex,
}

impl Changes {
    /// Discards all changes up to `index`, at which the whole table changed.
    pub fn reset(&mut self, index: LogIndex) {
        self.entries.clear();
        self.kept = 0;
        self.floor = index;
    }

    pub fn push(&mut self, changes: EntryChanges) {
        self.kept += changes.size();
        self.entries.push_back(changes);
        while self.kept > MAX_CHANGES {
            let Some(oldest) = self.entries.pop_front() else {
                return;
            };
            self.kept -= oldest.size();
            self.floor = oldest.index;
        }
    }

    /// Changes after `previous`; `None` if they are no longer all kept.
    pub fn since(&self, previous: LogIndex) -> Option<Changed> {
        if previous < self.floor {
            return None;
        }
        let mut changed = Changed::default();
        let first = self
            .entries
            .partition_point(|entry| entry.index <= previous);
        for entry in self.entries.range(first..) {
            for (service, shards) in &entry.shards {
                let known = changed.shards.entry(service.clone()).or_default();
                known.extend(shards);
            }
            changed.standings.extend(&entry.standings);
        }
        Some(changed)
    }
}
