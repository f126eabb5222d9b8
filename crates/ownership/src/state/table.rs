//! The routing table and its deltas, as sent to routers.

use grebepin_schema::{
    LogIndex, OwnerChange, ServiceTable, ShardOwner, StandingChange, Table, TableDelta,
    TableSnapshot,
};

use super::services::{ServiceState, ShardState};
use super::OwnershipState;

impl OwnershipState {
    /// The whole routing table, with the log index of its last change.
    pub fn table(&self) -> TableSnapshot {
        let record = self.bundle_record();
        TableSnapshot {
            group: self.group,
            index: self.table_index,
            table: Table {
                bundle_version: record.map_or(0, |record| record.version),
                bundle_digest: record.map(|record| record.digest.clone()),
                services: self.service_tables(),
            },
        }
    }

    /// Merged changes of the table after `previous`. `None` if a delta isn't possible: the bundle changed
    /// since, `previous` is too old, or it is ahead of this replica.
    pub fn delta_since(&self, previous: LogIndex) -> Option<TableDelta> {
        if previous > self.applied {
            return None;
        }
        let changed = self.changes.since(previous)?;
        let mut owners = Vec::new();
        for (name, shards) in &changed.shards {
            let service = self.services.get(name)?;
            if service.removed {
                continue;
            }
            for &shard in shards {
                owners.push(OwnerChange {
                    service: name.clone(),
                    shard,
                    owner: self.shard_owner(service.shard(shard)?),
                });
            }
        }
        let mut standings = Vec::new();
        for &server in &changed.standings {
            let entry = self.servers.get(server);
            if self.services.get(&entry.service)?.removed {
                continue;
            }
            standings.push(StandingChange {
                service: entry.service.clone(),
                server: entry.server.name.clone(),
                standing: entry.effective_standing(),
            });
        }
        Some(TableDelta {
            group: self.group,
            previous,
            index: self.table_index.max(previous),
            owners,
            standings,
        })
    }

    fn service_tables(&self) -> Vec<ServiceTable> {
        let Some(accepted) = &self.bundle else {
            return Vec::new();
        };
        let listed = accepted.signed.bundle.services.iter();
        listed
            .filter_map(|service| self.services.get(&service.name))
            .map(|service| self.service_table(service))
            .collect()
    }

    /// Removed servers that still own shards are listed after the bundle's servers.
    fn service_table(&self, state: &ServiceState) -> ServiceTable {
        let mut service = state.service.clone();
        let entries = state.servers.iter().map(|&index| self.servers.get(index));
        service.servers = entries.clone().map(|entry| entry.server.clone()).collect();
        ServiceTable {
            service,
            standings: entries.map(|entry| entry.effective_standing()).collect(),
            owners: state
                .shards
                .iter()
                .map(|shard| self.shard_owner(shard))
                .collect(),
        }
    }

    fn shard_owner(&self, shard: &ShardState) -> ShardOwner {
        ShardOwner {
            epoch: shard.epoch,
            server: shard.owner.map(|owner| self.servers.get(owner).position),
        }
    }
}
