//! Frames exchanged between directory replicas, and between replicas and gateways, over the internal port.

use grebepin_catalog::{Command, Entry, InstanceId};
use grebepin_grants::{LoadSample, Permit};
use grebepin_reactor::{compress, decompress, encode_frame, take_frame, FrameError};
use grebepin_schema::PeerFrame;
use serde::{Deserialize, Serialize};

use crate::call::{Call, CallBasis, Reply};
use crate::confirmed_state::Confirmation;
use crate::crashes::CrashReport;
use crate::fleet::{FleetSummary, ReplicaReport};

/// Frame sent by the side that opened the connection.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ToReplica {
    /// Between replicas: consensus messages and join requests.
    Peer(PeerFrame),
    /// Between replicas: a call that the receiver answers on behalf of the sender.
    Relay {
        /// Identifies the call on this connection.
        id: u64,
        /// The call.
        call: Call,
        /// What the sender knew before the call can have been sent.
        #[serde(default)]
        basis: CallBasis,
    },
    /// A gateway subscribes to all entries after a log index.
    Follow(Follow),
    /// A gateway announces itself and reports its measurements.
    Report(GatewayReport),
    /// Between replicas: the reports of the sender's gateways, for the leader.
    ReplicaReport(ReplicaReport),
    /// A gateway that has no state yet and cannot reach a leader requests the complete state that this
    /// replica has applied, once.
    FetchState,
    /// A gateway requests permission to send a request to a server that states a rate; a replica that does
    /// not lead relays it to the leader.
    TakePermit(PermitRequest),
}

/// Request for permission to send one request to a server that states the rate of requests it accepts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Identifies the permit request on this connection.
    pub id: u64,
    /// The server that would receive the request.
    pub server: InstanceId,
    /// Requests per second that the server last stated, as known to the gateway.
    pub stated_rate: f64,
}

/// Subscription of a gateway to the state.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Follow {
    /// Name of the gateway's machine.
    pub node: String,
    /// Highest log index that the gateway has applied; 0 for none.
    pub applied: u64,
}

/// Periodic report of a gateway.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct GatewayReport {
    /// Name of the gateway's machine.
    pub node: String,
    /// Internal address at which the gateway relays the state to others, `IP:PORT`; empty if it does not.
    pub relay: String,
    /// Load that it measured since its last report.
    pub load: LoadSample,
    /// Recent crashes, repeated in each report.
    #[serde(default)]
    pub crashes: Vec<CrashReport>,
    /// When the report was sent, in milliseconds of the gateway's clock.
    #[serde(default)]
    pub sent_at_ms: u64,
}

/// Frame sent by the side that accepted the connection: a replica, or a gateway that relays the state.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum FromReplica {
    /// Outcome of a relayed call.
    Relayed {
        /// Identifies the call on this connection.
        id: u64,
        /// The outcome.
        reply: Reply,
    },
    /// The leader's answer to a replica's report.
    Fleet(FleetSummary),
    /// Current status of the sender.
    Head(SourceStatus),
    /// The complete state at a log index, encoded as [`grebepin_catalog::Catalog`].
    Whole {
        /// Log index of the state.
        index: u64,
        /// The encoded state.
        #[serde(with = "serde_bytes")]
        state: Vec<u8>,
    },
    /// Answer to a permit request.
    Permit {
        /// Identifies the permit request on this connection.
        id: u64,
        /// The leader's decision; `None` if no leader can be reached.
        permit: Option<Permit>,
    },
    /// Consecutive log entries with their indices.
    Entries(Vec<(u64, Entry)>),
    /// Answer to a gateway's report: how old the sender's state is.
    Confirmed(Confirmation),
    /// Another frame of this type with its length prefix, compressed.
    Packed(#[serde(with = "serde_bytes")] Vec<u8>),
}

/// Maximum size of a decompressed frame, in bytes.
const MAX_UNPACKED_BYTES: usize = 128 << 20;

/// Size in bytes from which a frame is compressed.
const COMPRESSION_THRESHOLD: usize = 2_048;

impl FromReplica {
    /// Encodes the frame with its length prefix, compressed if it is large.
    ///
    /// # Errors
    /// The frame cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, FrameError> {
        let mut bytes = Vec::new();
        encode_frame(self, &mut bytes)?;
        if bytes.len() < COMPRESSION_THRESHOLD {
            return Ok(bytes);
        }
        let Ok(packed) = compress(&bytes) else {
            return Ok(bytes);
        };
        let mut frame = Vec::new();
        encode_frame(&Self::Packed(packed), &mut frame)?;
        Ok(frame)
    }

    /// Decompresses a packed frame; returns any other frame unchanged.
    ///
    /// # Errors
    /// The packed bytes do not contain a frame.
    pub fn unpacked(self) -> Result<Self, FrameError> {
        let Self::Packed(packed) = self else {
            return Ok(self);
        };
        let Ok(mut bytes) = decompress(&packed, MAX_UNPACKED_BYTES) else {
            return Err(FrameError::TooLong {
                bytes: packed.len(),
            });
        };
        match take_frame(&mut bytes)? {
            Some(frame) => Ok(frame),
            None => Err(FrameError::TooLong {
                bytes: packed.len(),
            }),
        }
    }
}

/// Address, zone and role of a replica.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaAddress {
    /// Internal address, `IP:PORT`.
    pub address: String,
    /// Zone of the replica.
    pub zone: String,
    /// Whether it is a voter of the group.
    pub votes: bool,
}

/// Commands in a voter's log after its applied state. They may be acknowledged, although the voter does not
/// know that they are committed.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OpenEntries {
    /// Commands that gateways must obey, each with the log index of its entry.
    pub commands: Vec<(u64, Command)>,
    /// Whether commands are left out, because they are too large or cannot be decoded.
    pub is_truncated: bool,
}

/// Current status of a replica, or of a gateway that relays the state.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SourceStatus {
    /// Consensus term.
    pub term: u64,
    /// Whether it leads and holds a valid leader lease.
    pub leads: bool,
    /// Highest log index that it has applied.
    pub applied: u64,
    /// All replicas of the group.
    pub replicas: Vec<ReplicaAddress>,
    /// Number of gateways that follow any replica, as last counted by the leader; 0 if unknown.
    pub gateways: u32,
    /// Whether the state that it serves is fresh: it leads, or it has applied everything that a leader in
    /// contact with it has committed.
    pub is_fed: bool,
    /// Internal addresses of some gateways that relay the state, `IP:PORT`.
    pub relays: Vec<String>,
    /// Whether it is a voter of the group: everything that it ever acknowledged is on its disk.
    pub votes: bool,
    /// The end of its log, while it is a voter whose state is not fresh.
    #[serde(default)]
    pub open_entries: OpenEntries,
}
