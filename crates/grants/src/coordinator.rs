//! One leader's time: heartbeats in, commands and grants out.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use grebepin_catalog::{
    Catalog, Command, FreedShard, Instance, InstanceId, InstanceState, ShardOwnership, SHARDS,
};

use crate::beat::{Beat, Grant};
use crate::load::{LoadBook, LoadSample};
use crate::placement::{choose, Demand};
use crate::registration::{freed, is_leaving, is_sharded, registration};
use crate::rows::{granted_rows, withhold_surplus};
use crate::server::Server;
use crate::shares::Shares;
use crate::timing::Timing;

/// Time in which a new leader only learns the load, since it knows nothing of it.
const LEARNING_TIME: Duration = Duration::from_millis(4_000);

/// Time between two looks at the balance of load.
const LOOK_EVERY: Duration = Duration::from_millis(1_000);

/// How long a shard that a command assigns is kept from other servers while it has no owner yet.
const PROMISE_LIFETIME: Duration = Duration::from_millis(1_000);

/// How long a division of load is kept.
const DIVISION_LIFETIME: Duration = Duration::from_millis(700);

/// Least time between two times at which a server is told to give shards away.
const GIVE_PAUSE: Duration = Duration::from_millis(2_500);

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
    servers: BTreeMap<InstanceId, Server>,
    /// When the first heartbeat for a service came.
    first_beats: BTreeMap<String, Duration>,
    /// Since when some shard of a service has had no owner.
    unowned_since: BTreeMap<String, Duration>,
    load: LoadBook,
    next_look: Duration,
    /// Shards that commands under way assign, by service, each with the time of the command.
    promised: BTreeMap<String, BTreeMap<usize, Duration>>,
    /// How each service's load should be divided, as of the last look.
    divisions: BTreeMap<String, Division>,
}

/// How a service's load should be divided, as of a moment. Working it out touches every shard, so it
/// is kept for a while.
#[derive(Debug)]
struct Division {
    at: Duration,
    shares: Shares,
    eligible: Vec<InstanceId>,
}

impl Coordinator {
    /// A leader whose time began at `since`, in which nobody else leads.
    pub fn new(timing: Timing, since: Duration) -> Self {
        Self {
            timing,
            since,
            servers: BTreeMap::new(),
            first_beats: BTreeMap::new(),
            unowned_since: BTreeMap::new(),
            load: LoadBook::default(),
            next_look: since + LEARNING_TIME,
            promised: BTreeMap::new(),
            divisions: BTreeMap::new(),
        }
    }

    /// Takes in a heartbeat.
    pub fn on_beat(&mut self, now: Duration, catalog: &Catalog, beat: &Beat) -> BeatOutcome {
        let known = catalog.instance(&beat.id);
        if known.is_some_and(|known| known.state == InstanceState::Gone) {
            return BeatOutcome::Stale;
        }
        let server = self
            .servers
            .entry(beat.id.clone())
            .or_insert_with(|| Server::new(now));
        if beat.sequence <= server.sequence && server.sequence > 0 {
            return BeatOutcome::Stale;
        }
        server.sequence = beat.sequence;
        server.last_beat = now;
        self.first_beats.entry(beat.service.clone()).or_insert(now);
        let mut commands = registration(catalog, beat);
        if is_sharded(catalog, &beat.service) {
            self.release(now, catalog, beat, &mut commands);
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

    /// Tells busy servers to give shards away that others have room for.
    fn look_at_balance(&mut self, now: Duration, catalog: &Catalog) {
        if now < self.next_look {
            return;
        }
        self.next_look = now + LOOK_EVERY;
        let servers = &self.servers;
        self.load.retain(|id| servers.contains_key(id));
        for (service, ownership) in catalog.all_ownership() {
            self.divide(now, catalog, service);
            let Some(division) = self.divisions.get(service) else {
                continue;
            };
            let excess: Vec<(InstanceId, Vec<usize>)> = division
                .eligible
                .iter()
                .map(|id| (id.clone(), division.shares.excess(ownership, id)))
                .filter(|(_, shards)| !shards.is_empty())
                .collect();
            for (id, shards) in excess {
                self.give_away(now, &id, &shards);
            }
        }
    }

    /// Works out how a service's load should be divided, unless that was done lately.
    fn divide(&mut self, now: Duration, catalog: &Catalog, service: &str) {
        let division = self.divisions.get(service);
        if division.is_some_and(|division| now < division.at + DIVISION_LIFETIME) {
            return;
        }
        let eligible = self.eligible(now, catalog, service);
        let division = Division {
            at: now,
            shares: Shares::new(now, &self.load, service, &eligible),
            eligible: eligible.into_iter().cloned().collect(),
        };
        self.divisions.insert(service.to_owned(), division);
    }

    /// Leaves shards out of a server's next answers; whoever has room takes them once they are free.
    fn give_away(&mut self, now: Duration, id: &InstanceId, shards: &[usize]) {
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        let is_busy_with_it = !server.releasing.is_empty() || now < server.gave_at + GIVE_PAUSE;
        if is_busy_with_it {
            return;
        }
        server.gave_at = now;
        // The answer to the next heartbeat is the first to leave them out.
        let next = server.sequence + 1;
        server
            .releasing
            .extend(shards.iter().map(|shard| (*shard, next)));
    }

    /// Commands that the passing of time asks for: shards of leases that ran out, servers that ended.
    pub fn tick(&mut self, now: Duration, catalog: &Catalog) -> Vec<Command> {
        let mut commands = Vec::new();
        self.look_at_balance(now, catalog);
        for (service, ownership) in catalog.all_ownership() {
            self.note_unowned(now, service, ownership);
            for (id, shards) in ownership.owners() {
                if now > self.lease_end(id) {
                    self.withhold(now, id, shards);
                    commands.push(Command::FreeShards {
                        service: service.clone(),
                        id: id.clone(),
                        shards: shards
                            .iter()
                            .map(|shard| freed(ownership, usize::from(*shard), String::new()))
                            .collect(),
                    });
                }
            }
        }
        for instance in catalog.instances() {
            if instance.state != InstanceState::Gone && self.is_forgotten(now, &instance.id) {
                commands.push(Command::SetState {
                    id: instance.id.clone(),
                    state: InstanceState::Gone,
                });
            }
        }
        commands
    }

    /// When the lease of a server has certainly ended, whoever gave it.
    pub fn lease_end(&self, id: &InstanceId) -> Duration {
        let given_before = self.timing.lease_end(self.since);
        let given_here = self.servers.get(id).map(|server| server.lease_end);
        given_before.max(given_here.unwrap_or_default())
    }

    /// Leaves shards out of every grant from now on, since they are about to be freed.
    fn withhold(&mut self, now: Duration, id: &InstanceId, shards: &BTreeSet<u16>) {
        let server = self
            .servers
            .entry(id.clone())
            .or_insert_with(|| Server::silent_since(now));
        let sequence = server.sequence;
        for shard in shards {
            let shard = usize::from(*shard);
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
        let leaves = beat.draining || is_leaving(catalog, &beat.id);
        if leaves {
            let quota = server.release_quota(now, owned.len(), self.timing.drain_window);
            let (_, total) = server.drain.unwrap_or((now, owned.len()));
            let kept = total.saturating_sub(quota);
            let holding: Vec<usize> = owned
                .iter()
                .copied()
                .filter(|shard| !server.releasing.contains_key(shard))
                .collect();
            let excess = holding.len().saturating_sub(kept);
            for shard in holding.into_iter().take(excess) {
                server.releasing.insert(shard, beat.sequence);
            }
        }
        if !released.is_empty() {
            commands.push(Command::FreeShards {
                service: beat.service.clone(),
                id: beat.id.clone(),
                shards: released,
            });
        }
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
        if room <= 0.0 && !overdue {
            return;
        }
        let is_empty = |id: &&InstanceId| ownership.count_of(id) == 0;
        let owned = ownership.count_of(&beat.id);
        let demand = Demand {
            total: SHARDS,
            owned,
            rows: ownership.rows(ownership.owned_by(&beat.id)).len(),
            room,
            eligible: division.eligible.len(),
            empty: match owned {
                0 => division.eligible.iter().filter(is_empty).count(),
                _ => 0,
            },
            overdue,
        };
        let promised = self.promised.entry(beat.service.clone()).or_default();
        promised.retain(|shard, at| {
            now < *at + PROMISE_LIFETIME && ownership.unowned().contains(&(*shard as u16))
        });
        let unowned = ownership.unowned().iter().map(|shard| usize::from(*shard));
        let unowned: Vec<usize> = unowned
            .filter(|shard| !promised.contains_key(shard))
            .collect();
        let shards: Vec<u16> = choose(demand, &unowned, |shard| division.shares.weight(shard))
            .into_iter()
            .map(|shard| shard as u16)
            .collect();
        promised.extend(shards.iter().map(|shard| (usize::from(*shard), now)));
        if !shards.is_empty() {
            commands.push(Command::AssignShards {
                service: beat.service.clone(),
                id: beat.id.clone(),
                shards,
            });
        }
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
