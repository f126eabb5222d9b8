//! Which shards a busy or leaving server gives away, and to whom.

use std::time::Duration;

use grebepin_catalog::{Catalog, InstanceId};

use super::Coordinator;
use crate::division::Division;
use crate::heartbeat::Heartbeat;
use crate::shares::runs_of;
use crate::transfer::{share_out, soonest, Receiver, Urgency, NEAREST};

/// Time in which a new leader only learns the load, since it knows nothing of it.
const LEARNING_TIME: Duration = Duration::from_millis(4_000);

/// Least time between two times at which a server is told to give shards away.
const GIVE_PAUSE: Duration = Duration::from_millis(1_000);

impl Coordinator {
    /// Plans which shards of a busy server go to others, and leaves them out of its answer.
    pub(super) fn relieve(&mut self, now: Duration, catalog: &Catalog, beat: &Heartbeat) {
        let Some(ownership) = catalog.ownership(&beat.service) else {
            return;
        };
        if now < self.since + LEARNING_TIME || !self.may_give(now, &beat.id) {
            return;
        }
        let cooldown = self.load.cooldown(now, &beat.id);
        if cooldown.is_some_and(|left| left <= self.timing.heartbeat_interval) {
            // It takes requests again before others would serve its shards.
            return;
        }
        self.divide(now, catalog, &beat.service);
        let Some(division) = self.divisions.get(&beat.service) else {
            return;
        };
        let states_rate = self.load.states_rate(now, &beat.id);
        let (misplaced, excess) = match cooldown {
            Some(_) => (None, division.shares.busy_runs(ownership, &beat.id)),
            None => (
                division.shares.misplaced(ownership, &beat.id),
                division.shares.excess(ownership, &beat.id, states_rate),
            ),
        };
        if misplaced.is_none() && excess.is_empty() {
            return;
        }
        let mut receivers = self.receivers(now, catalog, division, beat);
        let better = misplaced.and_then(|shard| {
            let shares = &division.shares;
            let better = shares.better_for(shard, ownership, &beat.id, &receivers)?;
            Some((better, vec![shard]))
        });
        let weight = |run: &[usize]| division.shares.weight_of(run);
        let given = match better {
            Some(better) => vec![better],
            None => share_out(excess, &mut receivers, Urgency::Optional, weight),
        };
        if given.is_empty() {
            return;
        }
        self.keep_for(&beat.service, &receivers, &given);
        self.withhold(now, &beat.id, given.into_iter().flat_map(|(_, run)| run));
        if let Some(server) = self.servers.get_mut(&beat.id) {
            server.gave_at = now;
        }
    }

    /// Whether a server may be told to give shards away again.
    fn may_give(&self, now: Duration, id: &InstanceId) -> bool {
        let server = self.servers.get(id);
        server.is_some_and(|one| one.releasing.is_empty() && now >= one.gave_at + GIVE_PAUSE)
    }

    /// Servers that send a heartbeat next and can take shards of the one that sent `beat`.
    fn receivers(
        &self,
        now: Duration,
        catalog: &Catalog,
        division: &Division,
        beat: &Heartbeat,
    ) -> Vec<Receiver> {
        let Some(ownership) = catalog.ownership(&beat.service) else {
            return Vec::new();
        };
        let heartbeat = self.timing.heartbeat_interval;
        let others_after = |silence: Duration, next: Duration| {
            let heard = self
                .servers
                .heard_since(&beat.service, now.saturating_sub(silence));
            let others = heard.filter(|(id, _)| **id != beat.id && can_take(catalog, id));
            soonest(now, others.map(|(id, at)| (id, at + next)))
        };
        let mut receivers = others_after(heartbeat.saturating_sub(NEAREST), heartbeat);
        if receivers.is_empty() {
            // All others beat about when this one does, too soon to take over what it lets go now: they do so a heartbeat
            // later, since they keep their phase and the next look would find the same.
            receivers = others_after(heartbeat + NEAREST, heartbeat * 2);
        }
        let receivers = receivers.into_iter();
        receivers
            .map(|(id, expected)| division.receiver(ownership, id, expected))
            .collect()
    }

    /// Keeps shards that are let go for those who are to take them.
    fn keep_for(&mut self, service: &str, receivers: &[Receiver], given: &[(usize, Vec<usize>)]) {
        let reservations = self.reservations.entry(service.to_owned()).or_default();
        for (number, shards) in given {
            let receiver = &receivers[*number];
            reservations.reserve(shards, &receiver.id, receiver.kept_until());
        }
    }

    /// Leaves shards of a leaving server out of its answer, for others that beat soon if there are any.
    pub(super) fn empty(
        &mut self,
        now: Duration,
        catalog: &Catalog,
        beat: &Heartbeat,
        shards: Vec<usize>,
    ) {
        if shards.is_empty() {
            return;
        }
        self.withhold(now, &beat.id, shards.iter().copied());
        self.divide(now, catalog, &beat.service);
        let Some(division) = self.divisions.get(&beat.service) else {
            return;
        };
        let mut receivers = self.receivers(now, catalog, division, beat);
        let weight = |run: &[usize]| division.shares.weight_of(run);
        let runs = runs_of(shards.into_iter());
        let given = share_out(runs, &mut receivers, Urgency::Required, weight);
        self.keep_for(&beat.service, &receivers, &given);
    }
}

/// Whether a server takes shards that are let go now.
fn can_take(catalog: &Catalog, id: &InstanceId) -> bool {
    let instance = catalog.instance(id);
    instance.is_some_and(|instance| catalog.is_usable(instance) && !instance.is_cold)
}
