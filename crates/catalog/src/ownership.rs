//! Ownership of a service's shards, with fences and handovers.
//!
//! Invariants: a shard is freed before it is assigned again, and each assignment uses a fence above every
//! fence that the service has used before. The last grant of an owner is recorded before the response that
//! carries it is sent, so that any leader knows which heartbeats were sent before the owner could take it.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::command::FreedShard;
use crate::instance::InstanceId;

/// Number of keys of a sharded service; keys run from 0 up to this number, exclusive.
pub const KEYS: u32 = 65_536;

/// Number of contiguous keys in one shard. They always have the same owner.
pub const KEYS_PER_SHARD: u32 = 16;

/// Number of shards of a sharded service.
pub const SHARDS: usize = (KEYS / KEYS_PER_SHARD) as usize;

/// Returns the number of the shard that holds a key.
pub fn shard_of_key(key: u16) -> usize {
    (u32::from(key) / KEYS_PER_SHARD) as usize
}

/// Ownership state of one shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shard {
    /// Current owner; `None` while the shard is unowned.
    pub owner: Option<InstanceId>,
    /// Fence of the current or last owner; 0 before the first assignment.
    pub fence: u64,
    /// Handover that the last owner supplied when it released the shard; empty if there was none.
    pub handover: String,
}

/// Contiguous range of keys with one fence and one handover.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyRange {
    /// First key.
    pub from: u32,
    /// Last key, inclusive.
    pub to: u32,
    /// Fence of the shards in the range.
    pub fence: u64,
    /// Handover from the last owner; empty if there was none.
    pub handover: String,
}

/// Owners of the shards of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "StoredOwnership", into = "StoredOwnership")]
pub struct ShardOwnership {
    shards: Vec<Shard>,
    last_fence: u64,
    /// Shards by owner; an index over `shards` that is not stored.
    by_owner: BTreeMap<InstanceId, BTreeSet<u16>>,
    /// Shards without an owner; an index over `shards` that is not stored.
    unowned: BTreeSet<u16>,
    /// Sequence number of the last heartbeat of each owner whose response granted shards that the heartbeat did
    /// not list.
    last_grants: BTreeMap<InstanceId, u64>,
}

/// Stored form of [`ShardOwnership`], which holds each owner's identity once.
#[derive(Serialize, Deserialize)]
struct StoredOwnership {
    owners: Vec<InstanceId>,
    shards: Vec<StoredShard>,
    last_fence: u64,
    /// Last grant of each owner; empty in states of versions that recorded none.
    #[serde(default)]
    last_grants: Vec<Option<u64>>,
}

/// Stored form of [`Shard`].
#[derive(Serialize, Deserialize)]
struct StoredShard {
    /// Position of the owner in `StoredOwnership::owners`.
    owner: Option<u16>,
    fence: u64,
    handover: String,
}

impl From<ShardOwnership> for StoredOwnership {
    fn from(ownership: ShardOwnership) -> Self {
        let owners: Vec<InstanceId> = ownership.by_owner.keys().cloned().collect();
        let last_grants = owners
            .iter()
            .map(|owner| ownership.last_grants.get(owner).copied());
        let last_grants = last_grants.collect();
        let position = |owner: &InstanceId| owners.binary_search(owner).ok().map(|at| at as u16);
        let shards = ownership.shards.into_iter().map(|shard| StoredShard {
            owner: shard.owner.as_ref().and_then(position),
            fence: shard.fence,
            handover: shard.handover,
        });
        let shards = shards.collect();
        Self {
            owners,
            shards,
            last_fence: ownership.last_fence,
            last_grants,
        }
    }
}

impl From<StoredOwnership> for ShardOwnership {
    fn from(stored: StoredOwnership) -> Self {
        let owners = stored.owners;
        let owner_at = |position: u16| owners.get(usize::from(position)).cloned();
        let shards = stored.shards.into_iter().map(|shard| Shard {
            owner: shard.owner.and_then(owner_at),
            fence: shard.fence,
            handover: shard.handover,
        });
        let mut ownership = Self::indexed(shards.collect(), stored.last_fence);
        let last_grants = owners.iter().cloned().zip(stored.last_grants);
        let last_grants = last_grants.filter_map(|(owner, sequence)| Some((owner, sequence?)));
        ownership.last_grants = last_grants.collect();
        ownership
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
            last_grants: BTreeMap::new(),
        }
    }

    /// Clears the handover of every shard.
    pub(crate) fn drop_handovers(&mut self) {
        for shard in &mut self.shards {
            shard.handover = String::new();
        }
    }

    /// Returns all shards, in key order.
    pub fn shards(&self) -> &[Shard] {
        &self.shards
    }

    /// Returns the highest fence ever assigned; 0 before the first assignment.
    pub fn last_fence(&self) -> u64 {
        self.last_fence
    }

    /// Iterates over the numbers of the shards that a server owns, in key order.
    pub fn owned_by(&self, id: &InstanceId) -> impl Iterator<Item = usize> + '_ {
        let owned = self.by_owner.get(id).into_iter().flatten();
        owned.map(|number| usize::from(*number))
    }

    /// Returns the number of shards that a server owns.
    pub fn owned_count(&self, id: &InstanceId) -> usize {
        self.by_owner.get(id).map_or(0, BTreeSet::len)
    }

    /// Returns the number of servers that own at least one shard.
    pub fn owner_count(&self) -> usize {
        self.by_owner.len()
    }

    /// Iterates over the owners with the numbers of their shards.
    pub fn owners(&self) -> impl Iterator<Item = (&InstanceId, &BTreeSet<u16>)> {
        self.by_owner.iter()
    }

    /// Returns the numbers of the shards without an owner, in key order.
    pub fn unowned(&self) -> &BTreeSet<u16> {
        &self.unowned
    }

    /// Assigns shards to a server under one new fence and returns the shards assigned. Shards that have an
    /// owner are skipped.
    pub fn assign(&mut self, id: &InstanceId, shards: &[u16]) -> Vec<u16> {
        let fence = self.last_fence + 1;
        let mut assigned = Vec::new();
        for &number in shards {
            let Some(shard) = self.shards.get_mut(usize::from(number)) else {
                continue;
            };
            if shard.owner.is_none() {
                shard.owner = Some(id.clone());
                shard.fence = fence;
                self.unowned.remove(&number);
                self.by_owner.entry(id.clone()).or_default().insert(number);
                assigned.push(number);
            }
        }
        if !assigned.is_empty() {
            self.last_fence = fence;
        }
        assigned
    }

    /// Records that the response to heartbeat `sequence` grants shards to an owner that the heartbeat does not
    /// list. Ignored for a server that owns nothing.
    pub fn record_grant(&mut self, id: &InstanceId, sequence: u64) {
        if self.by_owner.contains_key(id) {
            let last = self.last_grants.entry(id.clone()).or_default();
            *last = sequence.max(*last);
        }
    }

    /// Sequence number of the last heartbeat of an owner whose response granted it shards that the heartbeat
    /// did not list. A heartbeat with a higher number was sent after the owner had taken these, or could no
    /// longer take them. `None` for a server that owns nothing, or whose grants were not recorded.
    pub fn last_grant(&self, id: &InstanceId) -> Option<u64> {
        self.last_grants.get(id).copied()
    }

    /// Takes shards from their owner and returns the shards freed. A shard that has another owner or another
    /// fence than stated is skipped, so that a late release does not free a newer assignment.
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
            self.index_as_unowned(id, *shard);
        }
        freed
    }

    /// Moves a freed shard from the index of its former owner to the index of unowned shards.
    fn index_as_unowned(&mut self, id: &InstanceId, shard: u16) {
        self.unowned.insert(shard);
        let Some(owned) = self.by_owner.get_mut(id) else {
            return;
        };
        owned.remove(&shard);
        if owned.is_empty() {
            self.by_owner.remove(id);
            self.last_grants.remove(id);
        }
    }

    /// Merges shards into key ranges: adjacent shards with the same fence and handover share one range.
    /// `shards` must be in key order.
    pub fn key_ranges(&self, shards: impl Iterator<Item = usize>) -> Vec<KeyRange> {
        let mut ranges: Vec<KeyRange> = Vec::new();
        for number in shards {
            let shard = &self.shards[number];
            let from = number as u32 * KEYS_PER_SHARD;
            let to = from + KEYS_PER_SHARD - 1;
            match ranges.last_mut() {
                Some(range)
                    if range.to + 1 == from
                        && range.fence == shard.fence
                        && range.handover == shard.handover =>
                {
                    range.to = to;
                }
                _ => ranges.push(KeyRange {
                    from,
                    to,
                    fence: shard.fence,
                    handover: shard.handover.clone(),
                }),
            }
        }
        ranges
    }
}
