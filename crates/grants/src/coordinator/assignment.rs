//! Assignment of shards without an owner to the server that sent a heartbeat.

use std::time::Duration;

use grebepin_catalog::{Catalog, Command, Instance, InstanceId, ShardOwnership};

use super::Coordinator;
use crate::heartbeat::Heartbeat;
use crate::placement::choose_shards;

/// How long a shard stays reserved after a command that assigns it was issued and isn't committed yet.
const PENDING_ASSIGNMENT_TIMEOUT: Duration = Duration::from_millis(1_000);

impl Coordinator {
    /// Assigns shards that no server holds to the server that sent the heartbeat.
    pub(super) fn assign(
        &mut self,
        now: Duration,
        catalog: &Catalog,
        heartbeat: &Heartbeat,
        commands: &mut Vec<Command>,
    ) {
        let ownership = catalog.ownership(&heartbeat.service);
        if ownership.is_none() && !self.is_settled(now, &heartbeat.service) {
            return;
        }
        let no_ownership;
        let ownership = match ownership {
            Some(ownership) => ownership,
            None => {
                no_ownership = ShardOwnership::default();
                &no_ownership
            }
        };
        if ownership.unowned().is_empty() || self.defers_to_warm_servers(now, catalog, heartbeat) {
            return;
        }
        self.refresh_division(now, catalog, &heartbeat.service);
        let Some(division) = self.divisions.get(&heartbeat.service) else {
            return;
        };
        let overdue = self
            .unowned_since
            .get(&heartbeat.service)
            .is_some_and(|since| now > *since + self.timing.heartbeat_interval / 2);
        let headroom = division.shares.headroom(ownership, &heartbeat.id);
        let reservations = self
            .reservations
            .entry(heartbeat.service.clone())
            .or_default();
        reservations.expire(now);
        let mut shards = Vec::new();
        let mut free = Vec::new();
        for shard in ownership.unowned().iter().map(|shard| usize::from(*shard)) {
            match reservations.receiver(shard) {
                Some(receiver) if *receiver == heartbeat.id => shards.push(shard),
                Some(_) => {}
                None => free.push(shard),
            }
        }
        if headroom > 0.0 || overdue {
            let request = division.assignment_request(ownership, &heartbeat.id, headroom, overdue);
            shards.extend(choose_shards(request, &free, |shard| {
                division.shares.weight(shard)
            }));
        }
        if shards.is_empty() {
            return;
        }
        // Keeps the shards from being assigned to other servers until the command is committed.
        reservations.reserve(&shards, &heartbeat.id, now + PENDING_ASSIGNMENT_TIMEOUT);
        commands.push(Command::AssignShards {
            service: heartbeat.service.clone(),
            id: heartbeat.id.clone(),
            shards: shards.into_iter().map(|shard| shard as u16).collect(),
            sequence: Some(heartbeat.sequence),
        });
    }

    /// Whether a server is warming up while other servers of its service can take shards.
    fn defers_to_warm_servers(
        &self,
        now: Duration,
        catalog: &Catalog,
        heartbeat: &Heartbeat,
    ) -> bool {
        if heartbeat.warmup_left.is_zero() || catalog.warmup_rate(&heartbeat.service).is_none() {
            return false;
        }
        let is_able = |one: &Instance| one.service == heartbeat.service && !one.is_cold;
        let mut others = catalog.instances();
        others.any(|one| is_able(one) && catalog.is_usable(one) && self.is_responsive(now, one))
    }

    /// Whether a server's last heartbeat is recent enough to assign shards to it.
    fn is_responsive(&self, now: Duration, instance: &Instance) -> bool {
        let server = self.servers.get(&instance.id);
        let last_heartbeat = server.map_or(self.leader_since, |server| server.last_heartbeat);
        now.saturating_sub(last_heartbeat) <= self.timing.max_silence()
    }

    fn is_settled(&self, now: Duration, service: &str) -> bool {
        let first = self.first_heartbeats.get(service);
        first.is_some_and(|first| now >= *first + self.timing.settling_time())
    }

    /// Servers of a service that can take shards. Servers that are warming up are included only when
    /// there are no others.
    pub(super) fn eligible<'a>(
        &self,
        now: Duration,
        catalog: &'a Catalog,
        service: &str,
    ) -> Vec<&'a InstanceId> {
        let able: Vec<&Instance> = catalog
            .instances()
            .filter(|instance| instance.service == service)
            .filter(|instance| catalog.is_usable(instance))
            .filter(|instance| self.is_responsive(now, instance))
            .collect();
        let all_cold = able.iter().all(|instance| instance.is_cold);
        able.into_iter()
            .filter(|instance| all_cold || !instance.is_cold)
            .map(|instance| &instance.id)
            .collect()
    }

    pub(super) fn record_unowned(
        &mut self,
        now: Duration,
        service: &str,
        ownership: &ShardOwnership,
    ) {
        if ownership.unowned().is_empty() {
            self.unowned_since.remove(service);
        } else if !self.unowned_since.contains_key(service) {
            self.unowned_since.insert(service.to_owned(), now);
        }
    }
}
