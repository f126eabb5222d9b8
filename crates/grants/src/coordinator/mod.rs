//! One leader's time: heartbeats in, commands and grants out.

mod assignment;
mod expiry;
mod rebalancing;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use grebepin_catalog::{Catalog, Command, FreedShard, InstanceId};

use crate::addresses::Addresses;
use crate::division::Division;
use crate::heartbeat::{Grant, Heartbeat};
use crate::load::{LoadBook, LoadSample};
use crate::registration::{freed, is_leaving, must_release, registration};
use crate::rows::{granted_rows, withhold_surplus};
use crate::servers::Servers;
use crate::timing::Timing;
use crate::transfer::Reservations;

/// Time between two looks for servers of which nothing need be known any more.
const LOOK_EVERY: Duration = Duration::from_millis(1_000);

/// What a heartbeat leads to.
#[derive(Clone, Debug, PartialEq)]
pub enum HeartbeatOutcome {
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
    addresses: Addresses,
    /// When the first heartbeat for a service came.
    first_beats: BTreeMap<String, Duration>,
    /// Since when some shard of a service has had no owner.
    unowned_since: BTreeMap<String, Duration>,
    load: LoadBook,
    /// Servers that told gateways that they leave, until the state says so.
    reported_leaving: BTreeSet<InstanceId>,
    next_look: Duration,
    /// When every lease that an earlier leader gave has ended; `None` once servers were looked at after it.
    earlier_leases_end: Option<Duration>,
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
            addresses: Addresses::default(),
            first_beats: BTreeMap::new(),
            unowned_since: BTreeMap::new(),
            load: LoadBook::default(),
            reported_leaving: BTreeSet::new(),
            next_look: since + LOOK_EVERY,
            earlier_leases_end: Some(timing.lease_end(since)),
            reservations: BTreeMap::new(),
            divisions: BTreeMap::new(),
        }
    }

    /// Takes in a heartbeat.
    pub fn on_heartbeat(
        &mut self,
        now: Duration,
        catalog: &Catalog,
        beat: &Heartbeat,
    ) -> HeartbeatOutcome {
        if catalog.has_ended(&beat.id) {
            return HeartbeatOutcome::Stale;
        }
        if !self.servers.note_beat(now, beat) {
            return HeartbeatOutcome::Stale;
        }
        if !self.first_beats.contains_key(&beat.service) {
            self.first_beats.insert(beat.service.clone(), now);
        }
        let mut commands = registration(catalog, &mut self.addresses, beat);
        if catalog.is_sharded(&beat.service) {
            self.release(now, catalog, beat, &mut commands);
            if !must_release(catalog, beat) {
                self.relieve(now, catalog, beat);
                self.assign(now, catalog, beat, &mut commands);
            }
        }
        HeartbeatOutcome::Fresh(commands)
    }

    /// What the server of a heartbeat is to hold, once the commands it led to are applied; `None`
    /// for a server of a service that is not sharded. Call it only inside the leader's own lease,
    /// and send the answer at once.
    pub fn grant(&mut self, now: Duration, catalog: &Catalog, beat: &Heartbeat) -> Option<Grant> {
        // It may have ended while the commands of its heartbeat were on their way.
        if !catalog.is_sharded(&beat.service) || catalog.has_ended(&beat.id) {
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
        let leaving = sample.servers.iter().filter(|server| server.is_leaving);
        self.reported_leaving
            .extend(leaving.map(|server| server.id.clone()));
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

    /// Frees shards that the server provably holds no longer, and tells a draining one to release more.
    fn release(
        &mut self,
        now: Duration,
        catalog: &Catalog,
        beat: &Heartbeat,
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
        if must_release(catalog, beat) {
            let window = match is_leaving(catalog, beat) {
                true => self.timing.drain_window,
                false => self.timing.evacuation_window,
            };
            let quota = server.release_quota(now, owned.len(), window);
            let (_, total) = server.drain.unwrap_or((now, owned.len()));
            let kept = total.saturating_sub(quota);
            let holding: Vec<usize> = owned
                .iter()
                .copied()
                .filter(|shard| !server.releasing.contains_key(shard))
                .collect();
            let excess = holding.len().saturating_sub(kept);
            leaving = holding.into_iter().take(excess).collect();
        } else {
            server.drain = None;
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
}
