//! State of one leader, from heartbeats to commands and grants.

mod assignment;
mod expiry;
mod rebalancing;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use grebepin_catalog::{Catalog, Command, FreedShard, InstanceId};

use crate::address_claims::{names_unknown_service, AddressReports};
use crate::addresses::AddressIndex;
use crate::division::Division;
use crate::heartbeat::{Grant, Heartbeat};
use crate::load::{LoadSample, LoadTracker};
use crate::registration::{freed_shard, is_leaving, must_release, registration_commands};
use crate::rows::{granted_rows, grants_unlisted, withhold_surplus};
use crate::servers::Servers;
use crate::timing::Timing;
use crate::transfer::Reservations;

/// Interval between checks of all servers.
const FULL_SCAN_INTERVAL: Duration = Duration::from_millis(1_000);

/// Result of a heartbeat.
#[derive(Clone, Debug, PartialEq)]
pub enum HeartbeatOutcome {
    /// The heartbeat is older than one already received, by this or an earlier leader, its server is gone, or another
    /// server has its address. It is to be acknowledged without a grant.
    Stale,
    /// The service is sharded and the heartbeat does not say what the server holds. It has no effect.
    Incomplete,
    /// Commands to apply before the grant is requested.
    Fresh(Vec<Command>),
}

/// Manages the leases while one replica leads.
#[derive(Debug)]
pub struct Coordinator {
    pub(crate) timing: Timing,
    pub(crate) leader_since: Duration,
    pub(crate) servers: Servers,
    pub(crate) addresses: AddressIndex,
    pub(crate) address_reports: AddressReports,
    /// Time of the first heartbeat for each service.
    first_heartbeats: BTreeMap<String, Duration>,
    /// Time since which some shard of a service has had no owner.
    unowned_since: BTreeMap<String, Duration>,
    load: LoadTracker,
    /// Servers that gateways report as leaving, until the replicated state has them as draining.
    reported_leaving: BTreeSet<InstanceId>,
    next_full_scan: Duration,
    /// When all leases granted by earlier leaders have expired; `None` after the first check of all
    /// servers past that time.
    earlier_leases_end: Option<Duration>,
    /// Shards that are reserved for servers, by service.
    reservations: BTreeMap<String, Reservations>,
    /// Latest target distribution of each service's load.
    divisions: BTreeMap<String, Division>,
}

impl Coordinator {
    /// Coordinator of a leader that has led since `leader_since`, with no other leader since then.
    pub fn new(timing: Timing, leader_since: Duration) -> Self {
        Self {
            timing,
            leader_since,
            servers: Servers::default(),
            addresses: AddressIndex::default(),
            address_reports: AddressReports::default(),
            first_heartbeats: BTreeMap::new(),
            unowned_since: BTreeMap::new(),
            load: LoadTracker::default(),
            reported_leaving: BTreeSet::new(),
            next_full_scan: leader_since + FULL_SCAN_INTERVAL,
            earlier_leases_end: Some(timing.lease_end(leader_since)),
            reservations: BTreeMap::new(),
            divisions: BTreeMap::new(),
        }
    }

    /// Processes a heartbeat: registers the server, frees the shards that it released, and assigns shards to
    /// it. Nothing is granted until [`Self::grant`] is called.
    pub fn on_heartbeat(
        &mut self,
        now: Duration,
        catalog: &Catalog,
        heartbeat: &Heartbeat,
    ) -> HeartbeatOutcome {
        if heartbeat.holds.is_none() && catalog.is_sharded(&heartbeat.service) {
            return HeartbeatOutcome::Incomplete;
        }
        if catalog.has_ended(&heartbeat.id) || precedes_last_grant(catalog, heartbeat) {
            return HeartbeatOutcome::Stale;
        }
        if names_unknown_service(catalog, heartbeat) {
            return HeartbeatOutcome::Stale;
        }
        let Ok(replaced) = self.claim_address(now, catalog, heartbeat) else {
            return HeartbeatOutcome::Stale;
        };
        if !self.servers.record_heartbeat(now, heartbeat) {
            return HeartbeatOutcome::Stale;
        }
        if !self.first_heartbeats.contains_key(&heartbeat.service) {
            self.first_heartbeats.insert(heartbeat.service.clone(), now);
        }
        let mut commands = registration_commands(catalog, heartbeat, replaced);
        if !commands.is_empty() {
            self.addresses.record(&heartbeat.address, &heartbeat.id);
        }
        if catalog.is_sharded(&heartbeat.service) {
            self.release(now, catalog, heartbeat, &mut commands);
            if !must_release(catalog, heartbeat) {
                self.rebalance(now, catalog, heartbeat);
                self.assign(now, catalog, heartbeat, &mut commands);
            }
            self.record_grant(catalog, heartbeat, &mut commands);
        }
        HeartbeatOutcome::Fresh(commands)
    }

    /// Records the grant of shards that the server owns and does not list, because a response was lost or its
    /// lease expired. New assignments record their grants themselves.
    fn record_grant(&self, catalog: &Catalog, heartbeat: &Heartbeat, commands: &mut Vec<Command>) {
        let is_recorded = |one: &Command| matches!(one, Command::AssignShards { .. });
        let (Some(ownership), Some(server)) = (
            catalog.ownership(&heartbeat.service),
            self.servers.get(&heartbeat.id),
        ) else {
            return;
        };
        if commands.iter().any(is_recorded) || !grants_unlisted(ownership, server, heartbeat) {
            return;
        }
        commands.push(Command::RecordGrant {
            service: heartbeat.service.clone(),
            id: heartbeat.id.clone(),
            sequence: heartbeat.sequence,
        });
    }

    /// Grant for the server that sent a heartbeat, once the commands of that heartbeat are applied;
    /// `None` for a server of a service that isn't sharded or for one that is gone. Must be called only
    /// within the leader's own lease, and the response must be sent at once.
    pub fn grant(
        &mut self,
        now: Duration,
        catalog: &Catalog,
        heartbeat: &Heartbeat,
    ) -> Option<Grant> {
        // The server may have been marked as gone while the commands of its heartbeat were being
        // committed.
        if !catalog.is_sharded(&heartbeat.service) || catalog.has_ended(&heartbeat.id) {
            return None;
        }
        let server = self.servers.get_mut(&heartbeat.id)?;
        let rows = match catalog.ownership(&heartbeat.service) {
            Some(ownership) => {
                withhold_surplus(ownership, server, heartbeat.sequence, &heartbeat.id);
                granted_rows(ownership, server, heartbeat)
            }
            None => Vec::new(),
        };
        server.lease_end = server.lease_end.max(self.timing.lease_end(now));
        Some(Grant {
            rows,
            lease: self.timing.lease,
        })
    }

    /// Processes a load report of a gateway.
    pub fn on_load(&mut self, now: Duration, catalog: &Catalog, sample: &LoadSample) {
        let slots = |id: &InstanceId| catalog.instance(id).map(|instance| instance.slots);
        self.load.record(now, sample, slots);
        for server in sample.servers.iter().filter(|server| server.is_leaving) {
            if self.reported_leaving.insert(server.id.clone()) {
                let known = self.servers.get_or_insert(&server.id, now);
                known.reported_leaving.get_or_insert(now);
            }
        }
    }

    /// Computes the target distribution of a service's load unless a recent one is cached.
    fn refresh_division(&mut self, now: Duration, catalog: &Catalog, service: &str) {
        let division = self.divisions.get(service);
        if division.is_some_and(|division| division.is_fresh(now)) {
            return;
        }
        let eligible = self.eligible(now, catalog, service);
        self.load.estimate(now, &eligible);
        let division = Division::new(now, &self.load, service, &eligible);
        self.divisions.insert(service.to_owned(), division);
    }

    /// Latest time at which the lease of a server can end, whichever leader granted it.
    pub fn lease_end(&self, id: &InstanceId) -> Duration {
        let given_before = self.timing.lease_end(self.leader_since);
        let given_here = self.servers.get(id).map(|server| server.lease_end);
        given_before.max(given_here.unwrap_or_default())
    }

    /// Omits shards from all further grants to a server because they are being released or freed.
    fn withhold(&mut self, now: Duration, id: &InstanceId, shards: impl Iterator<Item = usize>) {
        let server = self.servers.get_or_insert(id, now);
        let sequence = server.sequence;
        for shard in shards {
            server.releasing.entry(shard).or_insert(sequence);
        }
    }

    /// Frees shards that the server has confirmed as released, and withholds more from a server that
    /// must give up its shards.
    fn release(
        &mut self,
        now: Duration,
        catalog: &Catalog,
        heartbeat: &Heartbeat,
        commands: &mut Vec<Command>,
    ) {
        let Some(ownership) = catalog.ownership(&heartbeat.service) else {
            return;
        };
        let Some(server) = self.servers.get_mut(&heartbeat.id) else {
            return;
        };
        let owned: BTreeSet<usize> = ownership.owned_by(&heartbeat.id).collect();
        server.releasing.retain(|shard, _| owned.contains(shard));
        let old_responses_expired = now >= self.leader_since + self.timing.response_lifetime();
        // Without a record the shards may have been granted after this heartbeat was sent, by a leader whose
        // leases have not expired yet.
        let follows_last_grant = match ownership.last_grant(&heartbeat.id) {
            Some(last_grant) => heartbeat.sequence > last_grant,
            None => now > self.timing.lease_end(self.leader_since),
        };
        let released: Vec<FreedShard> = server
            .releasing
            .iter()
            .filter(|(shard, first_withheld)| {
                old_responses_expired
                    && follows_last_grant
                    && heartbeat.sequence > **first_withheld
                    && heartbeat.fence_of(**shard).is_none()
            })
            .map(|(shard, _)| freed_shard(ownership, *shard, heartbeat.handover_of(*shard)))
            .collect();
        let mut leaving: Vec<usize> = Vec::new();
        if must_release(catalog, heartbeat) {
            let window = match is_leaving(catalog, heartbeat) {
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
                service: heartbeat.service.clone(),
                id: heartbeat.id.clone(),
                shards: released,
            });
        }
        self.move_away(now, catalog, heartbeat, leaving);
    }
}

/// Whether a heartbeat was sent before the server could take the last grant that is recorded.
fn precedes_last_grant(catalog: &Catalog, heartbeat: &Heartbeat) -> bool {
    let ownership = catalog.ownership(&heartbeat.service);
    let last_grant = ownership.and_then(|ownership| ownership.last_grant(&heartbeat.id));
    last_grant.is_some_and(|last_grant| heartbeat.sequence <= last_grant)
}
