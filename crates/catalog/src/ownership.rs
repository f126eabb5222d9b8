//! Owners of a service's shards, with fences and handovers.
//!
//! Invariant: a shard changes hands only through "no owner", and each new owner gets a fence above all
//! that the service ever gave.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::command::FreedShard;
use crate::instance::InstanceId;

/// Number of keys of a sharded service; keys are 0 to this, exclusive.
pub const KEYS: u32 = 65_536;

/// Neighbouring keys that always have the same owner.
pub const KEYS_PER_SHARD: u32 = 16;

/// Number of shards of a sharded service.
pub const SHARDS: usize = (KEYS / KEYS_PER_SHARD) as usize;

/// Shard that holds a key.
pub fn shard_of_key(key: u16) -> usize {
    (u32::from(key) / KEYS_PER_SHARD) as usize
}

/// One shard: its owner, the fence, and what its last owner handed over.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shard {
    /// Present owner.
    pub owner: Option<InstanceId>,
    /// Fence of the present or last owner; 0 before the first.
    pub fence: u64,
    /// Handover that the last owner gave when it released the shard; empty without one.
    pub handover: String,
}

/// Neighbouring keys with one owner, fence and handover.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyRange {
    /// First key.
    pub from: u32,
    /// Last key, inclusive.
    pub to: u32,
    /// Fence of the owner.
    pub fence: u64,
    /// Handover of the last owner; empty without one.
    pub handover: String,
}

/// The shards of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "StoredOwnership", into = "StoredOwnership")]
pub struct ShardOwnership {
    shards: Vec<Shard>,
    last_fence: u64,
    /// Shards by owner, worked out from `shards`.
    by_owner: BTreeMap<InstanceId, BTreeSet<u16>>,
    /// Shards without an owner, worked out from `shards`.
    unowned: BTreeSet<u16>,
}

/// What is stored of [`ShardOwnership`]: each owner's name once.
#[derive(Serialize, Deserialize)]
struct StoredOwnership {
    owners: Vec<InstanceId>,
    shards: Vec<StoredShard>,
    last_fence: u64,
}

/// A shard as it is stored.
#[derive(Serialize, Deserialize)]
struct StoredShard {
    /// Place of its owner in the list of owners.
    owner: Option<u16>,
    fence: u64,
    handover: String,
}

impl From<ShardOwnership> for StoredOwnership {
    fn from(ownership: ShardOwnership) -> Self {
        let owners: Vec<InstanceId> = ownership.by_owner.keys().cloned().collect();
        let place = |owner: &InstanceId| owners.binary_search(owner).ok().map(|at| at as u16);
        let shards = ownership.shards.into_iter().map(|shard| StoredShard {
            owner: shard.owner.as_ref().and_then(place),
            fence: shard.fence,
            handover: shard.handover,
        });
        let shards = shards.collect();
        Self {
            owners,
            shards,
            last_fence: ownership.last_fence,
        }
    }
}

impl From<StoredOwnership> for ShardOwnership {
    fn from(stored: StoredOwnership) -> Self {
        let owners = stored.owners;
        let owner_at = |at: u16| owners.get(usize::from(at)).cloned();
        let shards = stored.shards.into_iter().map(|shard| Shard {
            owner: shard.owner.and_then(owner_at),
            fence: shard.fence,
            handover: shard.handover,
        });
        Self::indexed(shards.collect(), stored.last_fence)
    }
}

impl Default for ShardOwnership {
    fn default() -> Self {
        Self::indexed(vec![Shard::default(); SHARDS], 0)
    }
}

impl ShardOwnership {
    fn indexed(shards: Vec<Shard>, last_fence: u64) -> Self {
        let mut by_owner: BTreeMap<InstanceId, BTreeSet<u16>> = BTreeMap::new();
        let mut unowned = BTreeSet::new();
        for (number, shard) in shards.iter().enumerate() {
            match &shard.owner {
                Some(owner) => by_owner
                    .entry(owner.clone())
                    .or_default()
                    .insert(number as u16),
                None => unowned.insert(number as u16),
            };
        }
        Self {
            shards,
            last_fence,
            by_owner,
            unowned,
        }
    }

    /// Forgets what owners handed over.
    pub(crate) fn drop_handovers(&mut self) {
        for shard in &mut self.shards {
            shard.handover = String::new();
        }
    }

    /// All shards, in the order of their keys.
    pub fn shards(&self) -> &[Shard] {
        &self.shards
    }

    /// Highest fence ever given.
    pub fn last_fence(&self) -> u64 {
        self.last_fence
    }

    /// Shards that a server owns, in the order of their keys.
    pub fn owned_by(&self, id: &InstanceId) -> impl Iterator<Item = usize> + '_ {
        let owned = self.by_owner.get(id).into_iter().flatten();
        owned.map(|number| usize::from(*number))
    }

    /// How many shards a server owns.
    pub fn owned_count(&self, id: &InstanceId) -> usize {
        self.by_owner.get(id).map_or(0, BTreeSet::len)
    }

    /// How many servers own shards.
    pub fn owner_count(&self) -> usize {
        self.by_owner.len()
    }

    /// Every owner with its shards.
    pub fn owners(&self) -> impl Iterator<Item = (&InstanceId, &BTreeSet<u16>)> {
        self.by_owner.iter()
    }

    /// Shards without an owner, in the order of their keys.
    pub fn unowned(&self) -> &BTreeSet<u16> {
        &self.unowned
    }

    /// Gives shards that have no owner to a server, under one new fence; returns those given.
    pub fn assign(&mut self, id: &InstanceId, shards: &[u16]) -> Vec<u16> {
        let fence = self.last_fence + 1;
        let mut given = Vec::new();
        for &number in shards {
            let Some(shard) = self.shards.get_mut(usize::from(number)) else {
                continue;
            };
            if shard.owner.is_none() {
                shard.owner = Some(id.clone());
                shard.fence = fence;
                self.unowned.remove(&number);
                self.by_owner.entry(id.clone()).or_default().insert(number);
                given.push(number);
            }
        }
        if !given.is_empty() {
            self.last_fence = fence;
        }
        given
    }

    /// Takes shards from their owner, who no longer holds them; returns those that were its own under
    /// the stated fence.
    pub fn free(&mut self, id: &InstanceId, shards: &[FreedShard]) -> Vec<u16> {
        let mut freed = Vec::new();
        for released in shards {
            let Some(shard) = self.shards.get_mut(usize::from(released.shard)) else {
                continue;
            };
            if shard.owner.as_ref() == Some(id) && shard.fence == released.fence {
                shard.owner = None;
                shard.handover.clone_from(&released.handover);
                freed.push(released.shard);
            }
        }
        for shard in &freed {
            self.note_free(id, *shard);
        }
        freed
    }

    fn note_free(&mut self, id: &InstanceId, shard: u16) {
        self.unowned.insert(shard);
        let Some(owned) = self.by_owner.get_mut(id) else {
            return;
        };
        owned.remove(&shard);
        if owned.is_empty() {
            self.by_owner.remove(id);
        }
    }

    /// Rows of the given shards, which stand in the order of their keys.
    pub fn key_ranges(&self, shards: impl Iterator<Item = usize>) -> Vec<KeyRange> {
        let mut rows: Vec<KeyRange> = Vec::new();
        for number in shards {
            let shard = &self.shards[number];
            let from = number as u32 * KEYS_PER_SHARD;
            let to = from + KEYS_PER_SHARD - 1;
            match rows.last_mut() {
                Some(row)
                    if row.to + 1 == from
                        && row.fence == shard.fence
                        && row.handover == shard.handover =>
                {
                    row.to = to;
                }
                _ => rows.push(KeyRange {
                    from,
                    to,
                    fence: shard.fence,
                    handover: shard.handover.clone(),
                }),
            }
        }
        rows
    }
}
