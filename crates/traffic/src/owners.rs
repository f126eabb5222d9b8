//! Owners of a service's shards in copy-on-write blocks.
//!
//! Invariant: copying the list and changing one owner copies one block, whatever the number of shards.

use std::sync::Arc;

use grebepin_schema::{ShardId, ShardOwner};

/// Shards per block: changing one owner copies at most this many.
const BLOCK_SHARDS: usize = 512;

/// The owner of each shard of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnerList {
    blocks: Vec<Arc<[ShardOwner]>>,
    shards: usize,
}

impl OwnerList {
    /// Creates the list; the position of an owner is its shard number.
    pub fn new(owners: &[ShardOwner]) -> Self {
        let blocks = owners.chunks(BLOCK_SHARDS).map(Arc::from).collect();
        Self {
            blocks,
            shards: owners.len(),
        }
    }

    /// Number of shards.
    pub fn shards(&self) -> usize {
        self.shards
    }

    /// Owner of a shard; `None` if the shard does not exist.
    pub fn get(&self, shard: ShardId) -> Option<&ShardOwner> {
        let position = shard.0 as usize;
        let block = self.blocks.get(position / BLOCK_SHARDS)?;
        block.get(position % BLOCK_SHARDS)
    }

    /// Replaces the owner of a shard; false if the shard does not exist.
    pub fn set(&mut self, shard: ShardId, owner: ShardOwner) -> bool {
        let position = shard.0 as usize;
        let Some(block) = self.blocks.get_mut(position / BLOCK_SHARDS) else {
            return false;
        };
        let Some(current) = Arc::make_mut(block).get_mut(position % BLOCK_SHARDS) else {
            return false;
        };
        *current = owner;
        true
    }

    /// Owners in the order of the shards.
    pub fn iter(&self) -> impl Iterator<Item = &ShardOwner> {
        self.blocks.iter().flat_map(|block| block.iter())
    }
}
