//! Servers in the replicated state, by slot.
//!
//! Invariant: a server keeps its slot while the bundle lists it, while it owns a shard and while it is
//! the previous owner of one; count and checksum of its shards always match its set of shards.

use std::collections::{BTreeMap, BTreeSet};

use grebepin_schema::hashing::shard_hash;
use grebepin_schema::{
    Epoch, Server, ServerName, ServerStanding, ServiceName, ShardId, StandingOrigin,
};

/// Index of a server's slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct ServerIndex(pub u32);

/// A server and the shards it owns.
#[derive(Clone, Debug)]
pub(crate) struct ServerEntry {
    pub service: ServiceName,
    pub server: Server,
    pub standing: ServerStanding,
    pub origin: StandingOrigin,
    pub boot: Option<u64>,
    pub removed: bool,
    /// Position in the service's list of servers.
    pub position: u32,
    pub owned: BTreeSet<ShardId>,
    /// Sum, modulo 2^64, of the hashes of the owned shards.
    pub checksum: u64,
    /// Number of shards whose previous owner is this server.
    pub previous_of: u32,
}

impl ServerEntry {
    pub fn new(service: ServiceName, server: Server) -> Self {
        Self {
            service,
            server,
            standing: ServerStanding::Active,
            origin: StandingOrigin::Server,
            boot: None,
            removed: false,
            position: 0,
            owned: BTreeSet::new(),
            checksum: 0,
            previous_of: 0,
        }
    }

    /// The standing in the routing table: a server removed from the bundle drains until its shards
    /// have moved.
    pub fn effective_standing(&self) -> ServerStanding {
        match (self.removed, self.owned.is_empty()) {
            (false, _) => self.standing,
            (true, false) => ServerStanding::Draining,
            (true, true) => ServerStanding::Gone,
        }
    }

    pub fn add(&mut self, shard: ShardId, epoch: Epoch) {
        self.owned.insert(shard);
        self.checksum = self
            .checksum
            .wrapping_add(shard_hash(&self.service, shard, epoch));
    }

    pub fn remove(&mut self, shard: ShardId, epoch: Epoch) {
        self.owned.remove(&shard);
        self.checksum = self
            .checksum
            .wrapping_sub(shard_hash(&self.service, shard, epoch));
    }
}

/// All servers, by slot and by name.
#[derive(Clone, Debug, Default)]
pub(crate) struct Servers {
    slots: Vec<Option<ServerEntry>>,
    names: BTreeMap<ServerName, ServerIndex>,
}

impl Servers {
    /// Rebuilds the list from its slots.
    pub fn from_slots(slots: Vec<Option<ServerEntry>>) -> Self {
        let occupied = slots.iter().enumerate();
        let names = occupied
            .filter_map(|(slot, entry)| {
                let entry = entry.as_ref()?;
                Some((entry.server.name.clone(), ServerIndex(slot as u32)))
            })
            .collect();
        Self { slots, names }
    }

    pub fn slots(&self) -> &[Option<ServerEntry>] {
        &self.slots
    }

    pub fn find(&self, name: &ServerName) -> Option<ServerIndex> {
        self.names.get(name).copied()
    }

    /// The server in a slot that is known to be occupied.
    pub fn get(&self, index: ServerIndex) -> &ServerEntry {
        self.slots[index.0 as usize]
            .as_ref()
            .expect("an index in the state refers to an occupied slot")
    }

    /// The server in a slot; `None` if the slot is free.
    pub fn try_get(&self, index: ServerIndex) -> Option<&ServerEntry> {
        self.slots.get(index.0 as usize)?.as_ref()
    }

    pub fn get_mut(&mut self, index: ServerIndex) -> &mut ServerEntry {
        self.slots[index.0 as usize]
            .as_mut()
            .expect("an index in the state refers to an occupied slot")
    }

    pub fn by_name(&self, name: &ServerName) -> Option<(ServerIndex, &ServerEntry)> {
        let index = self.find(name)?;
        Some((index, self.get(index)))
    }

    pub fn iter(&self) -> impl Iterator<Item = (ServerIndex, &ServerEntry)> {
        let occupied = self.slots.iter().enumerate();
        occupied.filter_map(|(slot, entry)| Some((ServerIndex(slot as u32), entry.as_ref()?)))
    }

    /// Inserts a server in the lowest free slot, which is the same on every replica.
    pub fn insert(&mut self, entry: ServerEntry) -> ServerIndex {
        let name = entry.server.name.clone();
        let free = self.slots.iter().position(Option::is_none);
        let slot = free.unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() - 1
        });
        self.slots[slot] = Some(entry);
        let index = ServerIndex(slot as u32);
        self.names.insert(name, index);
        index
    }

    /// Frees the slots of removed servers that no shard refers to.
    pub fn free_unreferenced(&mut self) {
        for slot in &mut self.slots {
            let unused = |entry: &mut ServerEntry| {
                entry.removed && entry.owned.is_empty() && entry.previous_of == 0
            };
            if let Some(entry) = slot.take_if(unused) {
                self.names.remove(&entry.server.name);
            }
        }
    }
}
