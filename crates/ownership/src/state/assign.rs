//! Assignments of shards, each with a compare-and-set on the shard's epoch.

use grebepin_schema::{
    AssignShards, Assignment, Epoch, LogIndex, ServerStanding, ServiceName, ShardId,
};

use super::changes::EntryChanges;
use super::servers::ServerIndex;
use super::services::Previous;
use super::OwnershipState;
use crate::applied::{AppliedAssignment, Assigned, AssignmentRefusal, RefusedAssignment};
use crate::guards::Guard;

impl OwnershipState {
    pub(super) fn assign(&mut self, index: LogIndex, batch: &AssignShards) -> Assigned {
        let mut assigned = Assigned::default();
        let mut changes = EntryChanges::new(index);
        for assignment in &batch.assignments {
            match self.assign_one(index, assignment) {
                Ok(applied) => {
                    changes.add_shard(&applied.service, applied.shard);
                    self.add_emptied_server(&applied, &mut changes);
                    assigned.accepted.push(applied);
                }
                Err(reason) => assigned.refused.push(RefusedAssignment {
                    service: assignment.service.clone(),
                    shard: assignment.shard,
                    reason,
                }),
            }
        }
        self.record_changes(changes);
        assigned
    }

    fn assign_one(
        &mut self,
        index: LogIndex,
        assignment: &Assignment,
    ) -> Result<AppliedAssignment, AssignmentRefusal> {
        let next = self.check_assignment(assignment)?;
        let epoch = Epoch(index.0);
        let previous = self.set_owner(
            &assignment.service,
            assignment.shard,
            next,
            epoch,
            assignment.released,
        );
        Ok(AppliedAssignment {
            service: assignment.service.clone(),
            shard: assignment.shard,
            epoch,
            server: assignment.server.clone(),
            previous: previous.map(|owner| self.servers.get(owner).server.name.clone()),
        })
    }

    fn check_assignment(
        &self,
        assignment: &Assignment,
    ) -> Result<Option<ServerIndex>, AssignmentRefusal> {
        let service = self
            .services
            .get(&assignment.service)
            .ok_or(AssignmentRefusal::UnknownService)?;
        let shard = service
            .shard(assignment.shard)
            .ok_or(AssignmentRefusal::UnknownShard)?;
        let as_expected = shard.epoch == assignment.expected_epoch;
        if !as_expected && self.guards.is_enabled(Guard::CompareAndSet) {
            return Err(AssignmentRefusal::EpochMismatch {
                current: shard.epoch,
            });
        }
        let Some(name) = &assignment.server else {
            return Ok(None);
        };
        let found = self.servers.by_name(name);
        let (next, entry) = found.ok_or(AssignmentRefusal::UnknownServer)?;
        if entry.service != assignment.service {
            return Err(AssignmentRefusal::UnknownServer);
        }
        let stays = shard.owner == Some(next);
        if !stays && entry.effective_standing() != ServerStanding::Active {
            return Err(AssignmentRefusal::ServerNotActive);
        }
        Ok(Some(next))
    }

    /// Makes `next` the owner of an existing shard and returns the former owner.
    pub(super) fn set_owner(
        &mut self,
        service: &ServiceName,
        shard: ShardId,
        next: Option<ServerIndex>,
        epoch: Epoch,
        released: bool,
    ) -> Option<ServerIndex> {
        let service = self.services.get_mut(service)?;
        let state = &mut service.shards[shard.0 as usize];
        let last = state.owner;
        if let Some(server) = last {
            let replaced = state.previous.replace(Previous {
                server,
                epoch: state.epoch,
                released,
            });
            if let Some(replaced) = replaced {
                self.servers.get_mut(replaced.server).previous_of -= 1;
            }
            let entry = self.servers.get_mut(server);
            entry.remove(shard, state.epoch);
            entry.previous_of += 1;
        }
        state.owner = next;
        state.epoch = epoch;
        match next {
            Some(server) => {
                self.servers.get_mut(server).add(shard, epoch);
                service.unowned.remove(&shard);
            }
            None => {
                service.unowned.insert(shard);
            }
        }
        last
    }

    /// Records the change of standing of a removed server that lost its last shard.
    fn add_emptied_server(&self, applied: &AppliedAssignment, changes: &mut EntryChanges) {
        let last = applied.previous.as_ref();
        let Some((index, entry)) = last.and_then(|name| self.servers.by_name(name)) else {
            return;
        };
        if entry.removed && entry.owned.is_empty() {
            changes.standings.push(index);
        }
    }

    /// Stores the changes of one entry for deltas and advances the table's index.
    pub(super) fn record_changes(&mut self, changes: EntryChanges) {
        if changes.is_empty() {
            return;
        }
        self.table_index = changes.index;
        self.changes.push(changes);
    }
}
