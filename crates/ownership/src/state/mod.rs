//! The replicated ownership state: the bundle in force, the owner and epoch of each shard, and the
//! standing of each server.
//!
//! Invariant: applying the same commands in the same order gives the same state on every replica; the
//! epoch of a shard is the log index of the entry that last assigned it, so it only grows.

mod assign;
mod bundle;
mod changes;
mod servers;
mod services;
mod snapshot;
mod standing;
mod table;

use std::collections::BTreeMap;

use grebepin_schema::{
    AcceptedBundle, BundleRecord, Command, Epoch, GroupId, LogIndex, ServerName, ServiceName,
    ShardId, SignedBundle,
};

use crate::applied::{Applied, Outcome};
use crate::guards::Guards;

use changes::Changes;
pub(crate) use servers::{ServerEntry, ServerIndex, Servers};
pub(crate) use services::ServiceState;
pub use snapshot::RestoreError;

/// The replicated state machine of one control group.
#[derive(Clone, Debug)]
pub struct OwnershipState {
    group: GroupId,
    guards: Guards,
    applied: LogIndex,
    table_index: LogIndex,
    bundle: Option<AcceptedBundle>,
    accepted: Vec<BundleRecord>,
    servers: Servers,
    services: BTreeMap<ServiceName, ServiceState>,
    changes: Changes,
}

/// Owner of one shard.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Owner<'a> {
    /// Epoch of the ownership; 0 before the first assignment.
    pub epoch: Epoch,
    /// Owning server; `None` if the shard has no owner.
    pub server: Option<&'a ServerName>,
}

impl OwnershipState {
    /// The empty state of a group, with all guards enabled.
    pub fn new(group: GroupId) -> Self {
        Self::with_guards(group, Guards::all())
    }

    /// The empty state of a group with the given guards.
    pub fn with_guards(group: GroupId, guards: Guards) -> Self {
        Self {
            group,
            guards,
            applied: LogIndex(0),
            table_index: LogIndex(0),
            bundle: None,
            accepted: Vec::new(),
            servers: Servers::default(),
            services: BTreeMap::new(),
            changes: Changes::default(),
        }
    }

    /// Applies the command at `index`. Every replica must apply the same commands in the same order.
    pub fn apply(&mut self, index: LogIndex, command: &Command) -> Applied {
        let outcome = match command {
            Command::AcceptBundle(accept) => Outcome::Bundle(self.accept_bundle(index, accept)),
            Command::Assign(batch) => Outcome::Assigned(self.assign(index, batch)),
            Command::SetStanding(change) => Outcome::Standing(self.set_standing(index, change)),
            Command::RegisterBoot(boot) => Outcome::Boot(self.register_boot(index, boot)),
        };
        self.applied = index;
        Applied { index, outcome }
    }

    /// Records that the entry at `index`, which contains no command, was applied.
    pub fn skip(&mut self, index: LogIndex) {
        self.applied = index;
    }

    /// The control group that replicates this state.
    pub fn group(&self) -> GroupId {
        self.group
    }

    /// Index of the last applied entry.
    pub fn applied(&self) -> LogIndex {
        self.applied
    }

    /// Index of the last entry that changed the routing table; 0 if none did.
    pub fn table_index(&self) -> LogIndex {
        self.table_index
    }

    /// The bundle in force with its sign-offs; `None` before the first.
    pub fn bundle(&self) -> Option<&SignedBundle> {
        self.bundle.as_ref().map(|accepted| &accepted.signed)
    }

    /// Version, digest and log index of the bundle in force; `None` before the first.
    pub fn bundle_record(&self) -> Option<&BundleRecord> {
        self.bundle.as_ref().map(|accepted| &accepted.record)
    }

    /// Owner of a shard; `None` for a shard that doesn't exist.
    pub fn owner(&self, service: &ServiceName, shard: ShardId) -> Option<Owner<'_>> {
        let state = self.services.get(service)?.shard(shard)?;
        let server = state
            .owner
            .map(|owner| &self.servers.get(owner).server.name);
        Some(Owner {
            epoch: state.epoch,
            server,
        })
    }

    /// Number of shards without an owner, over all services of the bundle in force.
    pub fn unowned_shards(&self) -> u64 {
        let live = self.services.values().filter(|service| !service.removed);
        live.map(|service| service.unowned.len() as u64).sum()
    }

    pub(crate) fn servers(&self) -> &Servers {
        &self.servers
    }

    pub(crate) fn services(&self) -> &BTreeMap<ServiceName, ServiceState> {
        &self.services
    }
}
