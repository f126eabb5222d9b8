//! Moves shards away from busy and leaving servers.

use std::time::Duration;

use grebepin_catalog::{Catalog, InstanceId};

use super::Coordinator;
use crate::division::Division;
use crate::heartbeat::Heartbeat;
use crate::shares::runs_of;
use crate::transfer::{distribute, next_to_report, Receiver, Urgency, MIN_LEAD};

/// Time for which a new leader only collects load reports, since it starts without any.
const LOAD_LEARNING_PERIOD: Duration = Duration::from_millis(4_000);

/// Minimum interval between moves of load away from one server.
const MIN_REBALANCE_INTERVAL: Duration = Duration::from_millis(1_000);

impl Coordinator {
    /// Plans which shards of a busy server move to other servers, and withholds them from its grant.
    pub(super) fn rebalance(&mut self, now: Duration, catalog: &Catalog, heartbeat: &Heartbeat) {
        let Some(ownership) = catalog.ownership(&heartbeat.service) else {
            return;
        };
        if now < self.leader_since + LOAD_LEARNING_PERIOD || !self.may_rebalance(now, &heartbeat.id)
        {
            return;
        }
        let cooldown = self.load.cooldown(now, &heartbeat.id);
        if cooldown.is_some_and(|left| left <= self.timing.heartbeat_interval) {
            // The server accepts requests again before another server could serve its shards.
            return;
        }
        self.refresh_division(now, catalog, &heartbeat.service);
        let Some(division) = self.divisions.get(&heartbeat.service) else {
            return;
        };
        let has_stated_rate = self.load.has_stated_rate(now, &heartbeat.id);
        let (overloading_shard, excess) = match cooldown {
            Some(_) => (None, division.shares.busy_runs(ownership, &heartbeat.id)),
            None => (
                division.shares.overloading_shard(ownership, &heartbeat.id),
                division
                    .shares
                    .excess(ownership, &heartbeat.id, has_stated_rate),
            ),
        };
        if overloading_shard.is_none() && excess.is_empty() {
            return;
        }
        let mut receivers = self.receivers(now, catalog, division, heartbeat);
        let better = overloading_shard.and_then(|shard| {
            let shares = &division.shares;
            let better = shares.faster_receiver(shard, ownership, &heartbeat.id, &receivers)?;
            Some((better, vec![shard]))
        });
        let weight = |run: &[usize]| division.shares.weight_of(run);
        let moves = match better {
            Some(better) => vec![better],
            None => distribute(excess, &mut receivers, Urgency::Optional, weight),
        };
        if moves.is_empty() {
            return;
        }
        self.reserve_for(&heartbeat.service, &receivers, &moves);
        self.withhold(
            now,
            &heartbeat.id,
            moves.into_iter().flat_map(|(_, run)| run),
        );
        if let Some(server) = self.servers.get_mut(&heartbeat.id) {
            server.last_rebalance = now;
        }
    }

    /// Whether shards may be moved away from a server again.
    fn may_rebalance(&self, now: Duration, id: &InstanceId) -> bool {
        let server = self.servers.get(id);
        server.is_some_and(|one| {
            one.releasing.is_empty() && now >= one.last_rebalance + MIN_REBALANCE_INTERVAL
        })
    }

    /// Servers whose heartbeats are due next and that can take over shards of the server that sent
    /// `heartbeat`.
    fn receivers(
        &self,
        now: Duration,
        catalog: &Catalog,
        division: &Division,
        heartbeat: &Heartbeat,
    ) -> Vec<Receiver> {
        let Some(ownership) = catalog.ownership(&heartbeat.service) else {
            return Vec::new();
        };
        let interval = self.timing.heartbeat_interval;
        let others_after = |silence: Duration, next: Duration| {
            let reporting = self
                .servers
                .heartbeats_since(&heartbeat.service, now.saturating_sub(silence));
            let others =
                reporting.filter(|(id, _)| **id != heartbeat.id && can_receive(catalog, id));
            next_to_report(now, others.map(|(id, at)| (id, at + next)))
        };
        let mut receivers = others_after(interval.saturating_sub(MIN_LEAD), interval);
        if receivers.is_empty() {
            // All other servers send their heartbeats at about the same time as this one, too soon to
            // take over shards that are withheld now. Their following heartbeats are used instead:
            // servers keep their phase, so waiting for the next heartbeat of this one would give the
            // same result.
            receivers = others_after(interval + MIN_LEAD, interval * 2);
        }
        let receivers = receivers.into_iter();
        receivers
            .map(|(id, expected)| division.receiver(ownership, id, expected))
            .collect()
    }

    /// Reserves shards for the servers that are to take them over.
    fn reserve_for(
        &mut self,
        service: &str,
        receivers: &[Receiver],
        moves: &[(usize, Vec<usize>)],
    ) {
        let reservations = self.reservations.entry(service.to_owned()).or_default();
        for (number, shards) in moves {
            let receiver = &receivers[*number];
            reservations.reserve(shards, &receiver.id, receiver.reserved_until());
        }
    }

    /// Withholds shards from the grant of a leaving server and reserves them for servers whose
    /// heartbeats are due soon, if any.
    pub(super) fn move_away(
        &mut self,
        now: Duration,
        catalog: &Catalog,
        heartbeat: &Heartbeat,
        shards: Vec<usize>,
    ) {
        if shards.is_empty() {
            return;
        }
        self.withhold(now, &heartbeat.id, shards.iter().copied());
        self.refresh_division(now, catalog, &heartbeat.service);
        let Some(division) = self.divisions.get(&heartbeat.service) else {
            return;
        };
        let mut receivers = self.receivers(now, catalog, division, heartbeat);
        let weight = |run: &[usize]| division.shares.weight_of(run);
        let runs = runs_of(shards.into_iter());
        let moves = distribute(runs, &mut receivers, Urgency::Required, weight);
        self.reserve_for(&heartbeat.service, &receivers, &moves);
    }
}

/// Whether a server can take over shards that are withheld now.
fn can_receive(catalog: &Catalog, id: &InstanceId) -> bool {
    let instance = catalog.instance(id);
    instance.is_some_and(|instance| catalog.is_usable(instance) && !instance.is_cold)
}
