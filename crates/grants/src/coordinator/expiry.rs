//! What silence ends: leases, and servers that are heard no more.

use std::time::Duration;

use grebepin_catalog::{Catalog, Command, InstanceId, InstanceState, ShardOwnership};

use super::{Coordinator, LOOK_EVERY};
use crate::registration::freed;

impl Coordinator {
    /// Commands that the passing of time asks for: shards of leases that ran out, servers that ended.
    pub fn tick(&mut self, now: Duration, catalog: &Catalog) -> Vec<Command> {
        for (service, ownership) in catalog.all_ownership() {
            self.note_unowned(now, service, ownership);
        }
        let silent = match self.looks_at_all(now) {
            true => {
                self.next_look = now + LOOK_EVERY;
                self.earlier_leases_end = self.earlier_leases_end.filter(|end| now <= *end);
                self.load.retain(|id| catalog.is_live(id));
                everybody(catalog)
            }
            false => self.silent(now),
        };
        let mut commands = self.note_leaving(catalog);
        for id in silent {
            self.end_lease(now, catalog, &id, &mut commands);
            self.end_server(now, catalog, &id, &mut commands);
        }
        commands
    }

    /// Takes over that servers leave which told gateways so: one that is cut off from the directory, or never says that it
    /// drains, is otherwise found out by its silence.
    fn note_leaving(&mut self, catalog: &Catalog) -> Vec<Command> {
        let is_ready = |id: &InstanceId| {
            let instance = catalog.instance(id);
            instance.is_some_and(|one| one.state == InstanceState::Ready)
        };
        self.reported_leaving.retain(is_ready);
        let leaving = self.reported_leaving.iter();
        leaving
            .map(|id| Command::SetState {
                id: id.clone(),
                state: InstanceState::Draining,
            })
            .collect()
    }

    /// Whether every server is looked at now. Those that this leader never heard stand in no order: their leases
    /// end together, at a time that is known from the start, and nothing is found out about them before it.
    fn looks_at_all(&self, now: Duration) -> bool {
        now >= self.next_look || self.earlier_leases_end.is_some_and(|end| now > end)
    }

    /// Servers whose lease may be over, or that may have ended, by their silence.
    fn silent(&self, now: Duration) -> Vec<InstanceId> {
        let least = self.timing.lease.min(self.timing.server_timeout);
        let silent = self.servers.silent_since(now.saturating_sub(least));
        silent.cloned().collect()
    }

    /// Frees the shards of a server whose lease is over.
    fn end_lease(
        &mut self,
        now: Duration,
        catalog: &Catalog,
        id: &InstanceId,
        commands: &mut Vec<Command>,
    ) {
        if now <= self.lease_end(id) {
            return;
        }
        for (service, ownership) in catalog.all_ownership() {
            if ownership.count_of(id) == 0 {
                continue;
            }
            self.withhold(now, id, ownership.owned_by(id));
            let shards = ownership.owned_by(id);
            commands.push(Command::FreeShards {
                service: service.clone(),
                id: id.clone(),
                shards: shards
                    .map(|shard| freed(ownership, shard, String::new()))
                    .collect(),
            });
        }
    }

    /// Notes that a server ended that was silent for long.
    fn end_server(
        &mut self,
        now: Duration,
        catalog: &Catalog,
        id: &InstanceId,
        commands: &mut Vec<Command>,
    ) {
        if catalog.is_live(id) {
            if self.is_forgotten(now, id) {
                commands.push(Command::SetState {
                    id: id.clone(),
                    state: InstanceState::Gone,
                });
            }
            return;
        }
        let owns = |(_, ownership): (&String, &ShardOwnership)| ownership.count_of(id) > 0;
        if !catalog.all_ownership().any(owns) {
            self.servers.drop_from_order(id);
        }
    }

    fn is_forgotten(&self, now: Duration, id: &InstanceId) -> bool {
        let heard = self.servers.get(id).map(|server| server.last_beat);
        now.saturating_sub(heard.unwrap_or(self.since)) > self.timing.server_timeout
    }
}

/// Every server that is known or owns shards: one that ended is forgotten after many others, whatever it
/// owns.
fn everybody(catalog: &Catalog) -> Vec<InstanceId> {
    let known = catalog.instances().map(|instance| &instance.id);
    let owners = catalog.all_ownership();
    let owners = owners.flat_map(|(_, ownership)| ownership.owners().map(|(id, _)| id));
    let unknown = owners.filter(|id| catalog.instance(id).is_none());
    known.chain(unknown).cloned().collect()
}

#[cfg(test)]
mod tests;
