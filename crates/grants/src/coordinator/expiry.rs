//! Expiry of leases, and suspension of servers that stopped sending heartbeats.

use std::time::Duration;

use grebepin_catalog::{Catalog, Command, InstanceId, InstanceState, ShardOwnership};

use super::{Coordinator, FULL_SCAN_INTERVAL};
use crate::registration::freed_shard;

impl Coordinator {
    /// Commands that are due at `now`: freeing shards whose lease expired, and marking servers as
    /// draining, and suspending silent ones.
    pub fn tick(&mut self, now: Duration, catalog: &Catalog) -> Vec<Command> {
        for (service, ownership) in catalog.all_ownership() {
            self.record_unowned(now, service, ownership);
        }
        let silent = match self.is_full_scan_due(now) {
            true => {
                self.next_full_scan = now + FULL_SCAN_INTERVAL;
                self.earlier_leases_end = self.earlier_leases_end.filter(|end| now <= *end);
                self.load.retain(|id| catalog.is_live(id));
                all_servers(catalog)
            }
            false => self.silent(now),
        };
        let mut commands = self.drain_leaving_servers(catalog);
        for id in silent {
            self.expire_lease(now, catalog, &id, &mut commands);
            self.expire_server(now, catalog, &id, &mut commands);
        }
        commands
    }

    /// Commands that mark servers as draining which gateways report as leaving. Without them a server
    /// that can't reach the directory, or never reports that it drains, would be detected only by its
    /// silence.
    fn drain_leaving_servers(&mut self, catalog: &Catalog) -> Vec<Command> {
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

    /// Whether all servers are checked at `now`. Servers that sent this leader no heartbeat aren't in
    /// the index; their leases end together at a time that is known from the start, and none of them can
    /// expire before it.
    fn is_full_scan_due(&self, now: Duration) -> bool {
        now >= self.next_full_scan || self.earlier_leases_end.is_some_and(|end| now > end)
    }

    /// Servers whose silence is long enough for their lease to have expired or for them to be gone.
    fn silent(&self, now: Duration) -> Vec<InstanceId> {
        let least = self.timing.lease.min(self.timing.server_timeout);
        let silent = self.servers.silent_since(now.saturating_sub(least));
        silent.cloned().collect()
    }

    /// Frees the shards of a server whose lease expired.
    fn expire_lease(
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
            if ownership.owned_count(id) == 0 {
                continue;
            }
            self.withhold(now, id, ownership.owned_by(id));
            let shards = ownership.owned_by(id);
            commands.push(Command::FreeShards {
                service: service.clone(),
                id: id.clone(),
                shards: shards
                    .map(|shard| freed_shard(ownership, shard, String::new()))
                    .collect(),
            });
        }
    }

    /// Suspends a server after a long silence.
    fn expire_server(
        &mut self,
        now: Duration,
        catalog: &Catalog,
        id: &InstanceId,
        commands: &mut Vec<Command>,
    ) {
        if catalog.is_live(id) {
            if self.is_timed_out(now, id) {
                commands.push(Command::Suspend { id: id.clone() });
            }
            return;
        }
        let owns = |(_, ownership): (&String, &ShardOwnership)| ownership.owned_count(id) > 0;
        if !catalog.all_ownership().any(owns) {
            self.servers.remove_from_order(id);
        }
    }

    fn is_timed_out(&self, now: Duration, id: &InstanceId) -> bool {
        let last_heartbeat = self.servers.get(id).map(|server| server.last_heartbeat);
        now.saturating_sub(last_heartbeat.unwrap_or(self.leader_since)) > self.timing.server_timeout
    }
}

/// All servers that are registered or own shards. A server that is gone is dropped from the registered
/// ones after many others, even while it owns shards.
fn all_servers(catalog: &Catalog) -> Vec<InstanceId> {
    let known = catalog.instances().map(|instance| &instance.id);
    let owners = catalog.all_ownership();
    let owners = owners.flat_map(|(_, ownership)| ownership.owners().map(|(id, _)| id));
    let unknown = owners.filter(|id| catalog.instance(id).is_none());
    known.chain(unknown).cloned().collect()
}

#[cfg(test)]
mod tests;
