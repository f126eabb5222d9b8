//! Services and their shards within the replicated state.
//!
//! Invariant: `unowned` holds exactly the shards without an owner.

use std::collections::BTreeSet;

use grebepin_schema::{Epoch, Service, ShardId};

use super::servers::ServerIndex;

/// Owner of a shard before its current owner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Previous {
    pub server: ServerIndex,
    pub epoch: Epoch,
    /// Whether it released the shard, so that its request record is complete.
    pub released: bool,
}

/// Owner and epoch of one shard.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct ShardState {
    pub owner: Option<ServerIndex>,
    pub epoch: Epoch,
    pub previous: Option<Previous>,
}

/// One service and its shards.
#[derive(Clone, Debug)]
pub(crate) struct ServiceState {
    pub service: Service,
    pub removed: bool,
    /// Servers in the bundle's order, followed by removed ones that still own shards.
    pub servers: Vec<ServerIndex>,
    pub shards: Vec<ShardState>,
    pub unowned: BTreeSet<ShardId>,
}

impl ServiceState {
    pub fn new(service: Service) -> Self {
        let count = service.shards.get();
        Self {
            service,
            removed: false,
            servers: Vec::new(),
            shards: vec![ShardState::default(); count as usize],
            unowned: (0..count).map(ShardId).collect(),
        }
    }

    pub fn shard(&self, shard: ShardId) -> Option<&ShardState> {
        self.shards.get(shard.0 as usize)
    }
}
