//! Standings of servers and registration of their starts.

use grebepin_schema::{Epoch, LogIndex, RegisterBoot, SetStanding};

use super::changes::EntryChanges;
use super::OwnershipState;
use crate::applied::{BootOutcome, StandingOutcome};

impl OwnershipState {
    pub(super) fn set_standing(
        &mut self,
        index: LogIndex,
        change: &SetStanding,
    ) -> StandingOutcome {
        let Some(server) = self.servers.find(&change.server) else {
            return StandingOutcome::UnknownServer {
                server: change.server.clone(),
            };
        };
        let entry = self.servers.get_mut(server);
        let before = entry.effective_standing();
        entry.standing = change.standing;
        entry.origin = change.origin;
        let outcome = StandingOutcome::Set {
            server: change.server.clone(),
            standing: change.standing,
            shards: entry.owned.len() as u32,
        };
        if entry.effective_standing() != before {
            let mut changes = EntryChanges::new(index);
            changes.standings.push(server);
            self.record_changes(changes);
        }
        outcome
    }

    /// Registers a start of a server. Its shards get a new epoch, since the new process has no record
    /// of the requests that the former one ran.
    pub(super) fn register_boot(&mut self, index: LogIndex, boot: &RegisterBoot) -> BootOutcome {
        let name = boot.server.clone();
        let Some(server) = self.servers.find(&name) else {
            return BootOutcome::UnknownServer { server: name };
        };
        let entry = self.servers.get_mut(server);
        if entry.boot != boot.expected_boot {
            return BootOutcome::Mismatch { server: name };
        }
        entry.boot = Some(boot.boot);
        let service = entry.service.clone();
        let owned: Vec<_> = entry.owned.iter().copied().collect();
        let mut changes = EntryChanges::new(index);
        for shard in owned {
            self.set_owner(&service, shard, Some(server), Epoch(index.0), false);
            changes.add_shard(&service, shard);
        }
        self.record_changes(changes);
        BootOutcome::Registered { server: name }
    }
}
