//! The replicated state and how commands change it.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::command::Command;
use crate::evacuation::{EvacuationCalls, EvacuationChange};
use crate::instance::{Instance, InstanceId, InstanceState};
use crate::item::Service;
use crate::items::{ChangedItem, InvalidChange, Items};
use crate::ownership::ShardOwnership;
use crate::quarantine::{Quarantine, QuarantineChange};

/// Maximum number of ended servers that are kept, so that a late heartbeat does not register one again.
const MAX_GONE_INSTANCES: usize = 4_096;

/// Maximum number of leaves that are kept of servers which are not registered. The oldest ones are dropped: a
/// heartbeat that follows a leave comes within seconds.
const MAX_EARLY_LEAVES: usize = 1_024;

/// Changes made by one command.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Effects {
    /// Items set or removed.
    pub items: Vec<ChangedItem>,
    /// Servers that were registered, updated or moved to another state.
    pub instances: Vec<InstanceId>,
    /// Shards that were assigned or freed.
    pub shards: Vec<ShardChange>,
    /// Why an item change was refused; `None` unless it was.
    pub refused: Option<InvalidChange>,
    /// Evacuation that started or ended.
    pub evacuation: Option<EvacuationChange>,
    /// Whether a call to start or end an evacuation was ignored, since a later one for the same zone took effect before.
    pub is_superseded: bool,
    /// Requests added to or removed from the quarantine.
    pub quarantine: Vec<QuarantineChange>,
}

/// Shards that were assigned to a server or freed from it.
#[derive(Clone, Debug, PartialEq)]
pub struct ShardChange {
    /// Name of the sharded service.
    pub service: String,
    /// The server that gained or lost the shards.
    pub id: InstanceId,
    /// True if the shards were assigned, false if they were freed.
    pub assigned: bool,
    /// Numbers of the shards.
    pub shards: Vec<u16>,
    /// Highest fence of the service after the command.
    pub fence: u64,
}

/// The replicated state machine: configuration items, servers, shard owners, evacuations and quarantine.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    items: Items,
    instances: BTreeMap<InstanceId, Instance>,
    gone_order: Vec<InstanceId>,
    ownership: BTreeMap<String, ShardOwnership>,
    #[serde(default)]
    evacuated_zones: BTreeSet<String>,
    #[serde(default)]
    quarantine: Quarantine,
    /// Servers that are gone only because their heartbeats stopped or another server took over their address.
    #[serde(default)]
    suspended: BTreeSet<InstanceId>,
    /// Servers that left before they were registered, the oldest first.
    #[serde(default)]
    early_leaves: Vec<InstanceId>,
    #[serde(default)]
    evacuation_calls: EvacuationCalls,
}

impl Catalog {
    /// Returns the configuration items.
    pub fn items(&self) -> &Items {
        &self.items
    }

    /// Iterates over all known servers, including ended ones.
    pub fn instances(&self) -> impl Iterator<Item = &Instance> {
        self.instances.values()
    }

    /// Returns the number of known servers, including ended ones.
    pub fn instance_count(&self) -> usize {
        self.instances.len()
    }

    /// Returns a server; `None` if it is unknown or ended too long ago to be kept.
    pub fn instance(&self, id: &InstanceId) -> Option<&Instance> {
        self.instances.get(id)
    }

    /// Returns the latest known incarnation of the server that `id` names; `None` if none is known.
    pub fn latest_incarnation(&self, id: &InstanceId) -> Option<&Instance> {
        let incarnations = self.instances.range(id.all_incarnations());
        incarnations.last().map(|(_, instance)| instance)
    }

    /// Returns whether a later incarnation of the same server is known, which means that this one has ended.
    pub fn is_superseded(&self, id: &InstanceId) -> bool {
        let latest = self.latest_incarnation(id);
        latest.is_some_and(|latest| id.is_earlier_incarnation_of(&latest.id))
    }

    /// Returns whether a server is known and has not ended.
    pub fn is_live(&self, id: &InstanceId) -> bool {
        let known = self.instance(id);
        known.is_some_and(|known| known.state != InstanceState::Gone)
    }

    /// Returns whether a server is known to have ended for good: it left, or restarted. A server that is only
    /// suspended has not, even if another server has registered with its address since: a heartbeat does not prove that
    /// its sender runs there.
    pub fn has_ended(&self, id: &InstanceId) -> bool {
        let known = self.instance(id);
        let is_gone = known.is_some_and(|known| known.state == InstanceState::Gone);
        (is_gone && !self.is_suspended(id)) || self.is_superseded(id)
    }

    /// Returns whether a server is gone only because its heartbeats stopped, or another server took over its address.
    pub fn is_suspended(&self, id: &InstanceId) -> bool {
        self.suspended.contains(id)
    }

    /// Returns whether a server left before it was registered or while it was suspended.
    pub fn left_early(&self, id: &InstanceId) -> bool {
        self.early_leave_of(id).is_some()
    }

    /// Returns the quarantined requests.
    pub fn quarantine(&self) -> &Quarantine {
        &self.quarantine
    }

    /// Returns the evacuated zones, whose servers get no requests and own no shards.
    pub fn evacuated_zones(&self) -> &BTreeSet<String> {
        &self.evacuated_zones
    }

    /// Returns the number of the last call that started or ended an evacuation.
    pub fn last_evacuation_call(&self) -> u64 {
        self.evacuation_calls.last()
    }

    /// Returns whether a server may get new requests and shards: it is ready and its zone is not evacuated.
    pub fn is_usable(&self, instance: &Instance) -> bool {
        instance.state == InstanceState::Ready && !self.evacuated_zones.contains(&instance.zone)
    }

    /// Returns the requests per second that a server of a service handles while it warms up; `None` if the
    /// service is unknown or warming up does not limit its servers.
    pub fn warmup_rate(&self, service: &str) -> Option<f64> {
        self.service(service)?.warmup_rate
    }

    /// Returns whether a service is sharded, so that its keys have exclusive owners.
    pub fn is_sharded(&self, service: &str) -> bool {
        self.service(service).is_some_and(|service| service.sharded)
    }

    /// Returns the active configuration of a service.
    pub fn service(&self, service: &str) -> Option<&Service> {
        self.items.service(service)
    }

    /// Returns the owners of a service's shards; `None` before the first command that assigned or freed any.
    pub fn ownership(&self, service: &str) -> Option<&ShardOwnership> {
        self.ownership.get(service)
    }

    /// Iterates over the services that have shard ownership, by name.
    pub fn all_ownership(&self) -> impl Iterator<Item = (&String, &ShardOwnership)> {
        self.ownership.iter()
    }

    /// Returns a copy without item documents and handovers, for readers that never pass them on.
    pub fn without_documents(&self) -> Self {
        let mut catalog = self.clone();
        catalog.items.drop_documents();
        for ownership in catalog.ownership.values_mut() {
            ownership.drop_handovers();
        }
        catalog
    }

    /// Applies one command and returns what it changed. Applying the same commands in the same order to equal
    /// states gives equal states.
    pub fn apply(&mut self, command: &Command) -> Effects {
        let mut effects = Effects::default();
        match command {
            Command::ChangeItems(change) => match self.items.apply(change) {
                Ok(changed) => effects.items = changed,
                Err(error) => effects.refused = Some(error),
            },
            Command::Register(instance) => effects.instances = self.register(instance),
            Command::SetState { id, state } => {
                if self.set_state(id, *state) {
                    effects.instances.push(id.clone());
                }
            }
            Command::RecordLeave { id } => effects.instances = self.record_leave(id),
            Command::Suspend { id } => {
                if self.suspend(id) {
                    effects.instances.push(id.clone());
                }
            }
            Command::FreeShards {
                service,
                id,
                shards,
            } => {
                let ownership = self.ownership.entry(service.clone()).or_default();
                let freed = ownership.free(id, shards);
                effects.shards.push(ShardChange {
                    service: service.clone(),
                    id: id.clone(),
                    assigned: false,
                    shards: freed,
                    fence: ownership.last_fence(),
                });
            }
            Command::AssignShards {
                service,
                id,
                shards,
                sequence,
            } => {
                if !self.is_live(id) {
                    return effects;
                }
                let ownership = self.ownership.entry(service.clone()).or_default();
                let assigned = ownership.assign(id, shards);
                if let Some(sequence) = sequence {
                    ownership.record_grant(id, *sequence);
                }
                effects.shards.push(ShardChange {
                    service: service.clone(),
                    id: id.clone(),
                    assigned: true,
                    shards: assigned,
                    fence: ownership.last_fence(),
                });
            }
            Command::RecordGrant {
                service,
                id,
                sequence,
            } => {
                if let Some(ownership) = self.ownership.get_mut(service) {
                    ownership.record_grant(id, *sequence);
                }
            }
            Command::SetEvacuation {
                zone,
                evacuated,
                known_call,
            } => {
                if self.undoes_later_call(zone, *evacuated, *known_call) {
                    effects.is_superseded = true;
                    return effects;
                }
                self.evacuation_calls.record(zone);
                if self.set_evacuation(zone, *evacuated) {
                    effects.evacuation = Some(EvacuationChange {
                        zone: zone.clone(),
                        evacuated: *evacuated,
                    });
                }
            }
            Command::SetQuarantine {
                fingerprint,
                quarantined,
            } => effects.quarantine = self.quarantine.set(*fingerprint, *quarantined),
        }
        effects
    }

    /// Returns whether a call to start or end an evacuation would undo one that took effect after the call was sent. One
    /// that is in force already is acknowledged again however old it is.
    fn undoes_later_call(&self, zone: &str, evacuated: bool, known_call: Option<u64>) -> bool {
        let is_in_force = self.evacuated_zones.contains(zone) == evacuated;
        let calls = &self.evacuation_calls;
        !is_in_force && known_call.is_some_and(|number| calls.has_later(zone, number))
    }

    /// Starts or ends the evacuation of a zone. Returns whether anything changed.
    fn set_evacuation(&mut self, zone: &str, evacuated: bool) -> bool {
        if evacuated {
            return self.evacuated_zones.insert(zone.to_owned());
        }
        let was_evacuated = self.evacuated_zones.remove(zone);
        if was_evacuated {
            self.assume_cold(zone);
        }
        was_evacuated
    }

    /// Marks the servers of a zone as cold. They got no requests during the evacuation and may have become
    /// cold since their last heartbeat; the next heartbeat of each server reports its actual state.
    fn assume_cold(&mut self, zone: &str) {
        let items = &self.items;
        let in_zone = self
            .instances
            .values_mut()
            .filter(|instance| instance.zone == zone);
        for instance in in_zone {
            let service = items.service(&instance.service);
            if service.is_some_and(|service| service.warmup_rate.is_some()) {
                instance.is_cold = true;
            }
        }
    }

    /// Adds or updates a server, ends its earlier incarnations and returns the servers that changed. The
    /// state of a server never goes back. Registrations of ended or superseded incarnations are ignored.
    fn register(&mut self, instance: &Instance) -> Vec<InstanceId> {
        if self.has_ended(&instance.id) {
            return Vec::new();
        }
        if self.suspended.remove(&instance.id) {
            self.gone_order.retain(|gone| *gone != instance.id);
            self.instances.remove(&instance.id);
        }
        let has_left = self.take_early_leave(&instance.id);
        let known = self.instances.get(&instance.id);
        let mut next = instance.clone();
        if has_left {
            next.state = next.state.max(InstanceState::Draining);
        }
        if let Some(known) = known {
            next.state = next.state.max(known.state);
        }
        if known == Some(&next) {
            return Vec::new();
        }
        let mut changed = match known {
            Some(_) => Vec::new(),
            None => self.end_earlier_incarnations(&instance.id),
        };
        changed.push(next.id.clone());
        self.instances.insert(next.id.clone(), next);
        changed
    }

    /// Ends the incarnations of a server before `id` and returns those that had not ended yet.
    fn end_earlier_incarnations(&mut self, id: &InstanceId) -> Vec<InstanceId> {
        let incarnations = self.instances.range(id.all_incarnations());
        let earlier = incarnations.filter(|(other, _)| other.is_earlier_incarnation_of(id));
        let earlier: Vec<InstanceId> = earlier.map(|(other, _)| other.clone()).collect();
        let ended = earlier.into_iter();
        ended
            .filter(|other| self.set_state(other, InstanceState::Gone))
            .collect()
    }

    /// Records the leave of a server that is not live and returns the servers that changed.
    fn record_leave(&mut self, id: &InstanceId) -> Vec<InstanceId> {
        if self.is_live(id) {
            let has_changed = self.set_state(id, InstanceState::Draining);
            return has_changed.then(|| id.clone()).into_iter().collect();
        }
        if !self.has_ended(id) && !self.early_leaves.contains(id) {
            if self.early_leaves.len() >= MAX_EARLY_LEAVES {
                self.early_leaves.remove(0);
            }
            self.early_leaves.push(id.clone());
        }
        Vec::new()
    }

    /// Removes the leave of a server that registers; returns whether there was one.
    fn take_early_leave(&mut self, id: &InstanceId) -> bool {
        let position = self.early_leave_of(id);
        position.map(|at| self.early_leaves.remove(at)).is_some()
    }

    fn early_leave_of(&self, id: &InstanceId) -> Option<usize> {
        let of_name = InstanceId::new(id.name());
        let mut leaves = self.early_leaves.iter();
        leaves.position(|one| one == id || *one == of_name)
    }

    /// Ends a server whose heartbeats stopped or whose address another server took over. A draining server never returns,
    /// since it ends anyway. Returns whether its state changed.
    fn suspend(&mut self, id: &InstanceId) -> bool {
        let known = self.instance(id);
        let was_ready = known.is_some_and(|known| known.state == InstanceState::Ready);
        if was_ready {
            self.suspended.insert(id.clone());
        }
        self.set_state(id, InstanceState::Gone)
    }

    /// Advances a server to a later state. Returns whether its state changed.
    fn set_state(&mut self, id: &InstanceId, state: InstanceState) -> bool {
        let Some(instance) = self.instances.get_mut(id) else {
            return false;
        };
        if instance.state >= state {
            return false;
        }
        instance.state = state;
        if state == InstanceState::Gone {
            self.gone_order.push(id.clone());
            self.remove_oldest_gone();
        }
        true
    }

    fn remove_oldest_gone(&mut self) {
        if self.gone_order.len() > MAX_GONE_INSTANCES {
            let oldest = self.gone_order.remove(0);
            self.instances.remove(&oldest);
            self.suspended.remove(&oldest);
        }
    }
}
