//! Commands and entries of the replicated log.

use serde::{Deserialize, Serialize};

use crate::instance::{Instance, InstanceId, InstanceState};
use crate::item::ItemChange;
use crate::quarantine::Fingerprint;

/// A shard to take from its owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FreedShard {
    /// Number of the shard.
    pub shard: u16,
    /// Fence under which the owner held the shard.
    pub fence: u64,
    /// Warm-up data from the owner for the next one; empty if there is none.
    pub handover: String,
}

/// One change to the replicated state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Sets and removes configuration items.
    ChangeItems(ItemChange),
    /// Adds a server or updates its attributes.
    Register(Instance),
    /// Advances a server to a later state. States never go back.
    SetState {
        /// Server whose state changes.
        id: InstanceId,
        /// State to set; ignored unless it is later than the current one.
        state: InstanceState,
    },
    /// Records the leave of a server that is not registered, or suspended. It drains from its registration on.
    RecordLeave {
        /// Server that leaves. Without a start time, the next incarnation of this name that registers.
        id: InstanceId,
    },
    /// Ends a server whose heartbeats stopped, or whose address another server took over. If it was ready, its next
    /// registration makes it live again, unless a later incarnation has registered by then.
    Suspend {
        /// Server that ends.
        id: InstanceId,
    },
    /// Takes shards from a server that provably no longer holds them.
    FreeShards {
        /// Name of the sharded service.
        service: String,
        /// Server that owned the shards.
        id: InstanceId,
        /// Shards to free; a shard that the server now holds under another fence is skipped.
        shards: Vec<FreedShard>,
    },
    /// Assigns unowned shards to a server.
    AssignShards {
        /// Name of the sharded service.
        service: String,
        /// Server that becomes the owner.
        id: InstanceId,
        /// Numbers of the shards; a shard that has an owner is skipped.
        shards: Vec<u16>,
        /// Sequence number of the heartbeat whose response grants them first.
        #[serde(default)]
        sequence: Option<u64>,
    },
    /// Records that the response to a heartbeat grants shards that the heartbeat does not list.
    RecordGrant {
        /// Name of the sharded service.
        service: String,
        /// Server that sent the heartbeat.
        id: InstanceId,
        /// Sequence number of the heartbeat.
        sequence: u64,
    },
    /// Starts or ends the evacuation of a zone. Servers in an evacuated zone get no requests and own no
    /// shards.
    SetEvacuation {
        /// Name of the zone.
        zone: String,
        /// True to start the evacuation, false to end it.
        evacuated: bool,
        /// Number of the last such call that the receiver knew of before this call can have been sent. The command is
        /// ignored if it would undo a later one for its zone; without a number it never is.
        #[serde(default)]
        known_call: Option<u64>,
    },
    /// Adds a request that crashes servers to the quarantine, or removes it. Quarantined requests are sent to
    /// no server.
    SetQuarantine {
        /// Identifies the request.
        fingerprint: Fingerprint,
        /// True to add the request, false to remove it.
        quarantined: bool,
    },
}

/// Payload of one log entry: commands that are applied together, in order.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Commands in the order of application.
    pub commands: Vec<Command>,
}

impl Entry {
    /// Clears the item documents, for readers that never return them to an operator.
    pub fn drop_documents(&mut self) {
        for command in &mut self.commands {
            if let Command::ChangeItems(change) = command {
                change.drop_documents();
            }
        }
    }
}
