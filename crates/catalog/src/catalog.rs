//! The whole replicated state and how commands change it.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::command::Command;
use crate::instance::{Instance, InstanceId, InstanceState};
use crate::item::{ItemKey, Service};
use crate::items::{InvalidChange, Items};
use crate::ownership::ShardOwnership;
use crate::quarantine::{Quarantine, QuarantineChange};

/// Servers that ended and are still remembered, so that a late heartbeat can't bring one back.
const REMEMBERED_GONE: usize = 4_096;

/// What a command changed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Effects {
    /// Items that changed.
    pub items: Vec<ItemKey>,
    /// Servers that changed.
    pub instances: Vec<InstanceId>,
    /// Shards that a server lost or got.
    pub shards: Vec<ShardChange>,
    /// Why a change of items was refused.
    pub refused: Option<InvalidChange>,
    /// A zone whose evacuation began or ended.
    pub evacuation: Option<EvacuationChange>,
    /// Requests that are quarantined from now on, or no longer.
    pub quarantine: Vec<QuarantineChange>,
}

/// A zone whose evacuation began or ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationChange {
    /// The zone.
    pub zone: String,
    /// Whether it is evacuated now.
    pub evacuated: bool,
}

/// Shards that a server lost or got.
#[derive(Clone, Debug, PartialEq)]
pub struct ShardChange {
    /// The service.
    pub service: String,
    /// The server.
    pub id: InstanceId,
    /// Whether the server got them.
    pub assigned: bool,
    /// The shards.
    pub shards: Vec<u16>,
    /// Highest fence of the service afterwards.
    pub fence: u64,
}

/// The replicated state.
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
}

impl Catalog {
    /// The configuration's items.
    pub fn items(&self) -> &Items {
        &self.items
    }

    /// Every server known, ended ones included.
    pub fn instances(&self) -> impl Iterator<Item = &Instance> {
        self.instances.values()
    }

    /// How many servers are known, ended ones included.
    pub fn instance_count(&self) -> usize {
        self.instances.len()
    }

    /// One server.
    pub fn instance(&self, id: &InstanceId) -> Option<&Instance> {
        self.instances.get(id)
    }

    /// The latest life of a server of which any is known.
    pub fn latest_incarnation(&self, id: &InstanceId) -> Option<&Instance> {
        let lives = self.instances.range(id.all_lives());
        lives.last().map(|(_, instance)| instance)
    }

    /// Whether a later life of the same server is known, so that this one has ended.
    pub fn is_superseded(&self, id: &InstanceId) -> bool {
        let latest = self.latest_incarnation(id);
        latest.is_some_and(|latest| id.is_earlier_incarnation_of(&latest.id))
    }

    /// Whether a server is known and has not ended.
    pub fn is_live(&self, id: &InstanceId) -> bool {
        let known = self.instance(id);
        known.is_some_and(|known| known.state != InstanceState::Gone)
    }

    /// Whether a server is known to have ended: it left, fell silent, or started anew.
    pub fn has_ended(&self, id: &InstanceId) -> bool {
        let known = self.instance(id);
        known.is_some_and(|known| known.state == InstanceState::Gone) || self.is_superseded(id)
    }

    /// Requests that crash the servers which run them.
    pub fn quarantine(&self) -> &Quarantine {
        &self.quarantine
    }

    /// Zones whose servers get no requests and own no shards.
    pub fn evacuated_zones(&self) -> &BTreeSet<String> {
        &self.evacuated_zones
    }

    /// Whether a server may get new requests and shards: it is ready and its zone is not evacuated.
    pub fn is_usable(&self, instance: &Instance) -> bool {
        instance.state == InstanceState::Ready && !self.evacuated_zones.contains(&instance.zone)
    }

    /// Requests a second that a server of a service bears while it warms up; `None` when warming up bounds
    /// nothing there.
    pub fn warmup_rate(&self, service: &str) -> Option<f64> {
        self.service(service)?.warmup_rate
    }

    /// Whether the keys of a service are owned by shard.
    pub fn is_sharded(&self, service: &str) -> bool {
        self.service(service).is_some_and(|service| service.sharded)
    }

    /// Configuration of a service.
    pub fn service(&self, service: &str) -> Option<&Service> {
        self.items.service(service)
    }

    /// Owners of a service's shards; `None` before the first was assigned.
    pub fn ownership(&self, service: &str) -> Option<&ShardOwnership> {
        self.ownership.get(service)
    }

    /// Owners of the shards of every service that has any.
    pub fn all_ownership(&self) -> impl Iterator<Item = (&String, &ShardOwnership)> {
        self.ownership.iter()
    }

    /// The same without the operators' own texts and owners' handovers, for readers that never give
    /// them on.
    pub fn without_documents(&self) -> Self {
        let mut catalog = self.clone();
        catalog.items.drop_documents();
        for ownership in catalog.ownership.values_mut() {
            ownership.drop_handovers();
        }
        catalog
    }

    /// Applies one command.
    pub fn apply(&mut self, command: &Command) -> Effects {
        let mut effects = Effects::default();
        match command {
            Command::ChangeItems(change) => match self.items.apply(change) {
                Ok(keys) => effects.items = keys,
                Err(error) => effects.refused = Some(error),
            },
            Command::Register(instance) => effects.instances = self.register(instance),
            Command::SetState { id, state } => {
                if self.set_state(id, *state) {
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
            } => {
                if !self.is_live(id) {
                    return effects;
                }
                let ownership = self.ownership.entry(service.clone()).or_default();
                let given = ownership.assign(id, shards);
                effects.shards.push(ShardChange {
                    service: service.clone(),
                    id: id.clone(),
                    assigned: true,
                    shards: given,
                    fence: ownership.last_fence(),
                });
            }
            Command::SetEvacuation { zone, evacuated } => {
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

    /// Begins or ends the evacuation of a zone; whether anything changed.
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

    /// Servers that got nothing for a while may have turned cold since their last heartbeat: each counts as
    /// cold until its next one says otherwise.
    fn assume_cold(&mut self, zone: &str) {
        let items = &self.items;
        let in_zone = self.instances.values_mut().filter(|one| one.zone == zone);
        for instance in in_zone {
            let service = items.service(&instance.service);
            if service.is_some_and(|service| service.warmup_rate.is_some()) {
                instance.is_cold = true;
            }
        }
    }

    /// Takes in a server and ends its earlier lives; those that changed. Its state never goes back, and nothing
    /// is heard of a life that another followed.
    fn register(&mut self, instance: &Instance) -> Vec<InstanceId> {
        if self.has_ended(&instance.id) {
            return Vec::new();
        }
        let known = self.instances.get(&instance.id);
        let mut next = instance.clone();
        if let Some(known) = known {
            next.state = next.state.max(known.state);
        }
        if known == Some(&next) {
            return Vec::new();
        }
        let mut changed = match known {
            Some(_) => Vec::new(),
            None => self.end_earlier_lives(&instance.id),
        };
        changed.push(next.id.clone());
        self.instances.insert(next.id.clone(), next);
        changed
    }

    /// Ends the lives of a server before `id`; those that had not ended.
    fn end_earlier_lives(&mut self, id: &InstanceId) -> Vec<InstanceId> {
        let lives = self.instances.range(id.all_lives());
        let earlier = lives.filter(|(life, _)| life.is_earlier_incarnation_of(id));
        let earlier: Vec<InstanceId> = earlier.map(|(life, _)| life.clone()).collect();
        let ended = earlier.into_iter();
        ended
            .filter(|life| self.set_state(life, InstanceState::Gone))
            .collect()
    }

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
            self.forget_oldest_gone();
        }
        true
    }

    fn forget_oldest_gone(&mut self) {
        if self.gone_order.len() > REMEMBERED_GONE {
            let oldest = self.gone_order.remove(0);
            self.instances.remove(&oldest);
        }
    }
}
