//! Which shards without an owner the server of a heartbeat takes.

use std::time::Duration;

use grebepin_catalog::{Catalog, Command, Instance, InstanceId, ShardOwnership};

use super::Coordinator;
use crate::heartbeat::Heartbeat;
use crate::placement::choose;

/// How long a shard that a command assigns is kept from other servers while it has no owner yet.
const PROMISE_LIFETIME: Duration = Duration::from_millis(1_000);

impl Coordinator {
    /// Lets the server take shards that nobody holds.
    pub(super) fn assign(
        &mut self,
        now: Duration,
        catalog: &Catalog,
        beat: &Heartbeat,
        commands: &mut Vec<Command>,
    ) {
        let ownership = catalog.ownership(&beat.service);
        if ownership.is_none() && !self.is_settled(now, &beat.service) {
            return;
        }
        let nothing_yet;
        let ownership = match ownership {
            Some(ownership) => ownership,
            None => {
                nothing_yet = ShardOwnership::default();
                &nothing_yet
            }
        };
        if ownership.unowned().is_empty() || self.is_spared(now, catalog, beat) {
            return;
        }
        self.divide(now, catalog, &beat.service);
        let Some(division) = self.divisions.get(&beat.service) else {
            return;
        };
        let overdue = self
            .unowned_since
            .get(&beat.service)
            .is_some_and(|since| now > *since + self.timing.heartbeat_interval / 2);
        let room = division.shares.room(ownership, &beat.id);
        let reservations = self.reservations.entry(beat.service.clone()).or_default();
        reservations.expire(now);
        let mut shards = Vec::new();
        let mut free = Vec::new();
        for shard in ownership.unowned().iter().map(|shard| usize::from(*shard)) {
            match reservations.receiver(shard) {
                Some(receiver) if *receiver == beat.id => shards.push(shard),
                Some(_) => {}
                None => free.push(shard),
            }
        }
        if room > 0.0 || overdue {
            let demand = division.demand(ownership, &beat.id, room, overdue);
            shards.extend(choose(demand, &free, |shard| division.shares.weight(shard)));
        }
        if shards.is_empty() {
            return;
        }
        // Others leave them alone until the command is committed.
        reservations.reserve(&shards, &beat.id, now + PROMISE_LIFETIME);
        commands.push(Command::AssignShards {
            service: beat.service.clone(),
            id: beat.id.clone(),
            shards: shards.into_iter().map(|shard| shard as u16).collect(),
        });
    }

    /// Whether a server warms up while others of its service can take shards in its place.
    fn is_spared(&self, now: Duration, catalog: &Catalog, beat: &Heartbeat) -> bool {
        if beat.warmup_left.is_zero() || catalog.warmup_rate(&beat.service).is_none() {
            return false;
        }
        let is_able = |one: &Instance| one.service == beat.service && !one.is_cold;
        let mut others = catalog.instances();
        others.any(|one| is_able(one) && catalog.is_usable(one) && self.is_recent(now, one))
    }

    /// Whether a server was heard lately enough to take shards.
    fn is_recent(&self, now: Duration, instance: &Instance) -> bool {
        let heard = self.servers.get(&instance.id);
        let heard = heard.map_or(self.since, |server| server.last_beat);
        now.saturating_sub(heard) <= self.timing.recent()
    }

    fn is_settled(&self, now: Duration, service: &str) -> bool {
        let first = self.first_beats.get(service);
        first.is_some_and(|first| now >= *first + self.timing.settling_time())
    }

    /// Servers of a service that can take shards; those that warm up only while there are no others.
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
            .filter(|instance| self.is_recent(now, instance))
            .collect();
        let all_cold = able.iter().all(|instance| instance.is_cold);
        able.into_iter()
            .filter(|instance| all_cold || !instance.is_cold)
            .map(|instance| &instance.id)
            .collect()
    }

    pub(super) fn note_unowned(
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
