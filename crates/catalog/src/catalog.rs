//! The whole replicated state and how commands change it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::command::Command;
use crate::instance::{Instance, InstanceId, InstanceState};
use crate::item::ItemKey;
use crate::items::{InvalidChange, Items};
use crate::ownership::ShardOwnership;

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
            Command::Register(instance) => {
                if self.register(instance) {
                    effects.instances.push(instance.id.clone());
                }
            }
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
        }
        effects
    }

    /// Takes in a server; whether anything changed. Its state never goes back.
    fn register(&mut self, instance: &Instance) -> bool {
        let known = self.instances.get(&instance.id);
        if known.is_some_and(|known| known.state == InstanceState::Gone) {
            return false;
        }
        let mut next = instance.clone();
        if let Some(known) = known {
            next.state = next.state.max(known.state);
        }
        if known == Some(&next) {
            return false;
        }
        self.instances.insert(next.id.clone(), next);
        true
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
