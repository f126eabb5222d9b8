//! Owners of a service's shards, kept so that a changed copy shares what did not change.
//!
//! Invariant: copying the owners and changing one touches one block, whatever the count of shards.

use std::sync::Arc;

use grebepin_schema::{ShardId, ShardOwner};

/// Shards of one block: a change copies this many owners.
const BLOCK_SHARDS: usize = 512;

/// The owner of each shard of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnerList {
    blocks: Vec<Arc<[ShardOwner]>>,
    shards: usize,
}

impl OwnerList {
    /// Owners in the order of the shards.
    pub fn new(owners: &[ShardOwner]) -> Self {
        let blocks = owners.chunks(BLOCK_SHARDS).map(Arc::from).collect();
        Self {
            blocks,
            shards: owners.len(),
        }
    }

    /// Count of shards.
    pub fn shards(&self) -> usize {
        self.shards
    }

    /// Owner of a shard; `None` when there is no such shard.
    pub fn get(&self, shard: ShardId) -> Option<&ShardOwner> {
        let position = shard.0 as usize;
        let block = self.blocks.get(position / BLOCK_SHARDS)?;
        block.get(position % BLOCK_SHARDS)
    }

    /// Replaces the owner of a shard; false when there is no such shard.
    pub fn set(&mut self, shard: ShardId, owner: ShardOwner) -> bool {
        let position = shard.0 as usize;
        let Some(block) = self.blocks.get_mut(position / BLOCK_SHARDS) else {
            return false;
        };
        let Some(place) = Arc::make_mut(block).get_mut(position % BLOCK_SHARDS) else {
            return false;
        };
        *place = owner;
        true
    }

    /// Owners in the order of the shards.
    pub fn iter(&self) -> impl Iterator<Item = &ShardOwner> {
        self.blocks.iter().flat_map(|block| block.iter())
    }
}
