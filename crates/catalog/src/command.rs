//! Commands of the replicated log.

use serde::{Deserialize, Serialize};

use crate::instance::{Instance, InstanceId, InstanceState};
use crate::item::ItemChange;
use crate::quarantine::Fingerprint;

/// A shard that its owner no longer holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FreedShard {
    /// The shard.
    pub shard: u16,
    /// Fence under which it was held.
    pub fence: u64,
    /// What the next owner is given so that it starts warm; empty without one.
    pub handover: String,
}

/// One change of the replicated state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Changes configuration items.
    ChangeItems(ItemChange),
    /// Takes in a server, or its new particulars.
    Register(Instance),
    /// Moves a server on to a later state.
    SetState {
        /// The server.
        id: InstanceId,
        /// Its new state.
        state: InstanceState,
    },
    /// Takes shards from a server that provably holds them no longer.
    FreeShards {
        /// The sharded service.
        service: String,
        /// The owner.
        id: InstanceId,
        /// The shards; one that the owner holds under another fence by now is left alone.
        shards: Vec<FreedShard>,
    },
    /// Gives shards without an owner to a server.
    AssignShards {
        /// The sharded service.
        service: String,
        /// The new owner.
        id: InstanceId,
        /// The shards.
        shards: Vec<u16>,
    },
    /// Evacuates a zone, so that its servers get no requests and own no shards, or ends that.
    SetEvacuation {
        /// The zone.
        zone: String,
        /// Whether it is evacuated from now on.
        evacuated: bool,
    },
    /// Keeps a request that crashes its servers from all of them, or no longer.
    SetQuarantine {
        /// The request.
        fingerprint: Fingerprint,
        /// Whether it is quarantined from now on.
        quarantined: bool,
    },
}

/// What one log entry holds: commands that are applied together, in order.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The commands.
    pub commands: Vec<Command>,
}

impl Entry {
    /// The same without the operators' own texts, for readers that never give them back.
    pub fn without_documents(&self) -> Self {
        let commands = self.commands.iter().map(|command| match command {
            Command::ChangeItems(change) => Command::ChangeItems(change.without_documents()),
            other => other.clone(),
        });
        Self {
            commands: commands.collect(),
        }
    }
}
