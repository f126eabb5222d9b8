//! One leader's time: heartbeats in, commands and grants out.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use grebepin_catalog::{
    Catalog, Command, FreedShard, Instance, InstanceId, InstanceState, ShardOwnership,
};

use crate::beat::{Beat, Grant};
use crate::division::Division;
use crate::load::{LoadBook, LoadSample};
use crate::placement::choose;
use crate::registration::{freed, is_leaving, is_sharded, registration};
use crate::rows::{granted_rows, withhold_surplus};
use crate::servers::Servers;
use crate::shares::runs_of;
use crate::timing::Timing;
use crate::transfer::{share_out, soonest, Receiver, Reservations, Urgency, NEAREST};

/// Time in which a new leader only learns the load, since it knows nothing of it.
const LEARNING_TIME: Duration = Duration::from_millis(4_000);

/// Time between two looks for servers of which nothing need be known any more.
const LOOK_EVERY: Duration = Duration::from_millis(1_000);

/// How long a shard that a command assigns is kept from other servers while it has no owner yet.
const PROMISE_LIFETIME: Duration = Duration::from_millis(1_000);

/// Least time between two times at which a server is told to give shards away.
const GIVE_PAUSE: Duration = Duration::from_millis(1_000);

/// What a heartbeat leads to.
#[derive(Clone, Debug, PartialEq)]
pub enum BeatOutcome {
    /// It is older than one already seen, or of a server that ended: acknowledge it, grant nothing.
    Stale,
    /// Apply the commands, then ask for the grant.
    Fresh(Vec<Command>),
}

/// Keeps the leases of one leader's time.
#[derive(Debug)]
pub struct Coordinator {
    timing: Timing,
    since: Duration,
    servers: Servers,
    /// When the first heartbeat for a service came.
    first_beats: BTreeMap<String, Duration>,
    /// Since when some shard of a service has had no owner.
    unowned_since: BTreeMap<String, Duration>,
    load: LoadBook,
    next_look: Duration,
    /// Shards that are kept for servers, by service.
    reservations: BTreeMap<String, Reservations>,
    /// How each service's load should be divided, as of the last look.
    divisions: BTreeMap<String, Division>,
}

impl Coordinator {
    /// A leader whose time began at `since`, in which nobody else leads.
    pub fn new(timing: Timing, since: Duration) -> Self {
        Self {
            timing,
            since,
            servers: Servers::default(),
            first_beats: BTreeMap::new(),
            unowned_since: BTreeMap::new(),
            load: LoadBook::default(),
            next_look: since + LOOK_EVERY,
            reservations: BTreeMap::new(),
            divisions: BTreeMap::new(),
        }
    }

    /// Takes in a heartbeat.
    pub fn on_beat(&mut self, now: Duration, catalog: &Catalog, beat: &Beat) -> BeatOutcome {
        let known = catalog.instance(&beat.id);
        if known.is_some_and(|known| known.state == InstanceState::Gone) {
            return BeatOutcome::Stale;
        }
        if !self.servers.note_beat(now, beat) {
            return BeatOutcome::Stale;
        }
        if !self.first_beats.contains_key(&beat.service) {
            self.first_beats.insert(beat.service.clone(), now);
        }
        let mut commands = registration(catalog, beat);
        if is_sharded(catalog, &beat.service) {
            self.release(now, catalog, beat, &mut commands);
            if !beat.draining && !is_leaving(catalog, &beat.id) {
                self.relieve(now, catalog, beat);
            }
            self.assign(now, catalog, beat, &mut commands);
        }
        BeatOutcome::Fresh(commands)
    }

    /// What the server of a heartbeat is to hold, once the commands it led to are applied; `None`
    /// for a server of a service that is not sharded. Call it only inside the leader's own lease,
    /// and send the answer at once.
    pub fn grant(&mut self, now: Duration, catalog: &Catalog, beat: &Beat) -> Option<Grant> {
        if !is_sharded(catalog, &beat.service) {
            return None;
        }
        let server = self.servers.get_mut(&beat.id)?;
        let rows = match catalog.ownership(&beat.service) {
            Some(ownership) => {
                withhold_surplus(ownership, server, beat.sequence, &beat.id);
                granted_rows(ownership, server, beat)
            }
            None => Vec::new(),
        };
        server.lease_end = server.lease_end.max(self.timing.lease_end(now));
        Some(Grant {
            rows,
            lease: self.timing.lease,
        })
    }

    /// Takes in what a gateway saw of load.
    pub fn on_load(&mut self, now: Duration, catalog: &Catalog, sample: &LoadSample) {
        let slots = |id: &InstanceId| catalog.instance(id).map(|instance| instance.slots);
        self.load.note(now, sample, slots);
    }

    /// Works out how a service's load should be divided, unless that was done lately.
    fn divide(&mut self, now: Duration, catalog: &Catalog, service: &str) {
        let division = self.divisions.get(service);
        if division.is_some_and(|division| division.is_fresh(now)) {
            return;
        }
        let eligible = self.eligible(now, catalog, service);
        self.load.estimate(now, &eligible);
        let division = Division::new(now, &self.load, service, &eligible);
        self.divisions.insert(service.to_owned(), division);
    }

    /// Plans which shards of a busy server go to others, and leaves them out of its answer.
    fn relieve(&mut self, now: Duration, catalog: &Catalog, beat: &Beat) {
        let Some(ownership) = catalog.ownership(&beat.service) else {
            return;
        };
        if now < self.since + LEARNING_TIME || !self.may_give(now, &beat.id) {
            return;
        }
        self.divide(now, catalog, &beat.service);
        let Some(division) = self.divisions.get(&beat.service) else {
            return;
        };
        let misplaced = division.shares.misplaced(ownership, &beat.id);
        let excess = division.shares.excess(ownership, &beat.id);
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
        beat: &Beat,
    ) -> Vec<Receiver> {
        let Some(ownership) = catalog.ownership(&beat.service) else {
            return Vec::new();
        };
        let since = (now + NEAREST).saturating_sub(self.timing.heartbeat);
        let heard = self.servers.heard_since(&beat.service, since);
        let expected = heard.map(|(id, at)| (id, at + self.timing.heartbeat));
        let others = expected.filter(|(id, _)| **id != beat.id && can_take(catalog, id));
        let receivers = soonest(now, others).into_iter();
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

    /// Commands that the passing of time asks for: shards of leases that ran out, servers that ended.
    pub fn tick(&mut self, now: Duration, catalog: &Catalog) -> Vec<Command> {
        for (service, ownership) in catalog.all_ownership() {
            self.note_unowned(now, service, ownership);
        }
        let silent = match self.looks_at_all(now) {
            true => {
                self.next_look = now + LOOK_EVERY;
                self.load.retain(|id| is_live(catalog, id));
                catalog
                    .instances()
                    .map(|instance| &instance.id)
                    .cloned()
                    .collect()
            }
            false => self.silent(now),
        };
        let mut commands = Vec::new();
        for id in silent {
            self.end_lease(now, catalog, &id, &mut commands);
            self.end_server(now, catalog, &id, &mut commands);
        }
        commands
    }

    /// Whether every server is looked at now: those that this leader never heard stand in no order, and
    /// their leases end soon after its time began.
    fn looks_at_all(&self, now: Duration) -> bool {
        now >= self.next_look || now < self.since + self.timing.lease * 2
    }

    /// Servers whose lease may be over, or that may have ended, by their silence.
    fn silent(&self, now: Duration) -> Vec<InstanceId> {
        let least = self.timing.lease.min(self.timing.forget_after);
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
        if is_live(catalog, id) {
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

    /// When the lease of a server has certainly ended, whoever gave it.
    pub fn lease_end(&self, id: &InstanceId) -> Duration {
        let given_before = self.timing.lease_end(self.since);
        let given_here = self.servers.get(id).map(|server| server.lease_end);
        given_before.max(given_here.unwrap_or_default())
    }

    /// Leaves shards out of every grant from now on: they are let go, or about to be freed.
    fn withhold(&mut self, now: Duration, id: &InstanceId, shards: impl Iterator<Item = usize>) {
        let server = self.servers.get_or_silent(id, now);
        let sequence = server.sequence;
        for shard in shards {
            server.releasing.entry(shard).or_insert(sequence);
        }
    }

    fn is_forgotten(&self, now: Duration, id: &InstanceId) -> bool {
        let heard = self.servers.get(id).map(|server| server.last_beat);
        now.saturating_sub(heard.unwrap_or(self.since)) > self.timing.forget_after
    }

    /// Frees shards that the server provably holds no longer, and tells a draining one to release more.
    fn release(
        &mut self,
        now: Duration,
        catalog: &Catalog,
        beat: &Beat,
        commands: &mut Vec<Command>,
    ) {
        let Some(ownership) = catalog.ownership(&beat.service) else {
            return;
        };
        let Some(server) = self.servers.get_mut(&beat.id) else {
            return;
        };
        let owned: BTreeSet<usize> = ownership.owned_by(&beat.id).collect();
        server.releasing.retain(|shard, _| owned.contains(shard));
        let old_answers_over = now >= self.since + self.timing.answer_lifetime();
        let released: Vec<FreedShard> = server
            .releasing
            .iter()
            .filter(|(shard, told_at)| {
                old_answers_over && beat.sequence > **told_at && beat.fence_of(**shard).is_none()
            })
            .map(|(shard, _)| freed(ownership, *shard, beat.handover_of(*shard)))
            .collect();
        let mut leaving: Vec<usize> = Vec::new();
        if beat.draining || is_leaving(catalog, &beat.id) {
            let quota = server.release_quota(now, owned.len(), self.timing.drain_window);
            let (_, total) = server.drain.unwrap_or((now, owned.len()));
            let kept = total.saturating_sub(quota);
            let holding: Vec<usize> = owned
                .iter()
                .copied()
                .filter(|shard| !server.releasing.contains_key(shard))
                .collect();
            let excess = holding.len().saturating_sub(kept);
            leaving = holding.into_iter().take(excess).collect();
        }
        if !released.is_empty() {
            commands.push(Command::FreeShards {
                service: beat.service.clone(),
                id: beat.id.clone(),
                shards: released,
            });
        }
        self.empty(now, catalog, beat, leaving);
    }

    /// Leaves shards of a leaving server out of its answer, for others that beat soon if there are any.
    fn empty(&mut self, now: Duration, catalog: &Catalog, beat: &Beat, shards: Vec<usize>) {
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

    /// Lets the server take shards that nobody holds.
    fn assign(
        &mut self,
        now: Duration,
        catalog: &Catalog,
        beat: &Beat,
        commands: &mut Vec<Command>,
    ) {
        if beat.draining || is_leaving(catalog, &beat.id) {
            return;
        }
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
        if ownership.unowned().is_empty() {
            return;
        }
        self.divide(now, catalog, &beat.service);
        let Some(division) = self.divisions.get(&beat.service) else {
            return;
        };
        let overdue = self
            .unowned_since
            .get(&beat.service)
            .is_some_and(|since| now > *since + self.timing.heartbeat / 2);
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

    fn is_settled(&self, now: Duration, service: &str) -> bool {
        let first = self.first_beats.get(service);
        first.is_some_and(|first| now >= *first + self.timing.settle())
    }

    /// Servers of a service that can take shards.
    fn eligible<'a>(
        &self,
        now: Duration,
        catalog: &'a Catalog,
        service: &str,
    ) -> Vec<&'a InstanceId> {
        let recent = self.timing.recent();
        let is_recent = |instance: &&Instance| {
            let heard = self.servers.get(&instance.id);
            let heard = heard.map_or(self.since, |server| server.last_beat);
            now.saturating_sub(heard) <= recent
        };
        catalog
            .instances()
            .filter(|instance| instance.service == service)
            .filter(|instance| instance.state == InstanceState::Ready)
            .filter(is_recent)
            .map(|instance| &instance.id)
            .collect()
    }

    fn note_unowned(&mut self, now: Duration, service: &str, ownership: &ShardOwnership) {
        if ownership.unowned().is_empty() {
            self.unowned_since.remove(service);
        } else if !self.unowned_since.contains_key(service) {
            self.unowned_since.insert(service.to_owned(), now);
        }
    }
}

/// Whether a server has not ended, as far as the group knows.
fn is_live(catalog: &Catalog, id: &InstanceId) -> bool {
    let instance = catalog.instance(id);
    instance.is_some_and(|instance| instance.state != InstanceState::Gone)
}

/// Whether a server takes shards.
fn can_take(catalog: &Catalog, id: &InstanceId) -> bool {
    let instance = catalog.instance(id);
    instance.is_some_and(|instance| instance.state == InstanceState::Ready)
}
