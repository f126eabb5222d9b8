//! Frames between directory replicas, and between them and the gateways, over one internal port.

use grebepin_catalog::{Entry, InstanceId};
use grebepin_grants::{LoadSample, Permit};
use grebepin_reactor::{compress, decompress, encode_frame, take_frame, FrameError};
use grebepin_schema::PeerFrame;
use serde::{Deserialize, Serialize};

use crate::call::{Call, Reply};
use crate::crashes::CrashReport;
use crate::fleet::{FleetSummary, ReplicaReport};

/// Frame that the side which opened a connection sends.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ToReplica {
    /// Between replicas: consensus and joining.
    Peer(PeerFrame),
    /// Between replicas: answer this call in the sender's place.
    Relay {
        /// Names the call on this connection.
        id: u64,
        /// The call.
        call: Call,
    },
    /// A gateway asks for everything after a log index, and for what follows.
    Follow(Follow),
    /// A gateway tells that it is there, with what it counted.
    Report(GatewayReport),
    /// Between replicas: what the sender's gateways told, for the leader.
    ReplicaReport(ReplicaReport),
    /// A gateway that has no state yet, and hears no leader, asks for the whole state as it is applied here,
    /// once.
    FetchState,
    /// A gateway asks to send a request to a server that states a rate; a replica passes it on to the leader.
    TakePermit(PermitRequest),
}

/// A gateway asks to send one request to a server that states how many it takes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Names the request on this connection.
    pub id: u64,
    /// The server.
    pub server: InstanceId,
    /// Requests a second that the server stated last, as the gateway knows it.
    pub stated_rate: f64,
}

/// A gateway's wish to follow.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Follow {
    /// Name of the gateway's machine.
    pub node: String,
    /// Highest log index that it has applied; 0 for none.
    pub applied: u64,
}

/// What a gateway tells about itself.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct GatewayReport {
    /// Name of the gateway's machine.
    pub node: String,
    /// Internal address at which it gives the state on to others, `IP:PORT`; empty for none.
    pub relay: String,
    /// What it saw of load since its last report.
    pub load: LoadSample,
    /// Crashes of late, told again with each report.
    #[serde(default)]
    pub crashes: Vec<CrashReport>,
}

/// Frame that a replica, or a gateway that gives the state on, sends back on a connection opened by the
/// other side.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum FromReplica {
    /// Outcome of a relayed call.
    Relayed {
        /// Names the call on this connection.
        id: u64,
        /// Its outcome.
        reply: Reply,
    },
    /// The leader's answer to a replica's report.
    Fleet(FleetSummary),
    /// What this replica is at present.
    Head(Head),
    /// The whole state at a log index, encoded as [`grebepin_catalog::Catalog`].
    Whole {
        /// The log index.
        index: u64,
        /// The state.
        #[serde(with = "serde_bytes")]
        state: Vec<u8>,
    },
    /// The answer to a request for a permit.
    Permit {
        /// Names the request on this connection.
        id: u64,
        /// The leader's answer; `None` when none can be reached.
        permit: Option<Permit>,
    },
    /// Entries in the order of the log, without a gap.
    Entries(Vec<(u64, Entry)>),
    /// Another frame of this kind with its length, compressed.
    Packed(#[serde(with = "serde_bytes")] Vec<u8>),
}

/// Longest frame that a packed one may hold, in bytes.
const UNPACKED_LIMIT: usize = 128 << 20;

/// Length in bytes above which a frame is packed.
const PACKED_FROM: usize = 2_048;

impl FromReplica {
    /// The frame with its length, packed when it is long.
    ///
    /// # Errors
    /// It can't be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, FrameError> {
        let mut bytes = Vec::new();
        encode_frame(self, &mut bytes)?;
        if bytes.len() < PACKED_FROM {
            return Ok(bytes);
        }
        let Ok(packed) = compress(&bytes) else {
            return Ok(bytes);
        };
        let mut frame = Vec::new();
        encode_frame(&Self::Packed(packed), &mut frame)?;
        Ok(frame)
    }

    /// The frame itself, out of a packed one.
    ///
    /// # Errors
    /// The packed bytes hold no frame.
    pub fn unpacked(self) -> Result<Self, FrameError> {
        let Self::Packed(packed) = self else {
            return Ok(self);
        };
        let Ok(mut bytes) = decompress(&packed, UNPACKED_LIMIT) else {
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

/// Where a replica is reached, and what it counts for.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaAddress {
    /// Internal address, `IP:PORT`.
    pub address: String,
    /// Zone that it stands in.
    pub zone: String,
    /// Whether it is a voter of the group.
    pub votes: bool,
}

/// What a replica, or a gateway that gives the state on, is at present.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Consensus term.
    pub term: u64,
    /// Whether it leads and is sure of it.
    pub leads: bool,
    /// Log index that it has applied.
    pub applied: u64,
    /// All replicas.
    pub replicas: Vec<ReplicaAddress>,
    /// Gateways that follow any replica, as the leader last counted them; 0 when that is not known.
    pub gateways: u32,
    /// Whether what it gives on is fresh: it leads, or it holds what a leader that speaks to it has committed.
    pub is_fed: bool,
    /// Internal addresses of some gateways that give the state on, `IP:PORT`.
    pub relays: Vec<String>,
    /// Whether it is a voter of the group: what it ever acknowledged is on its disk.
    pub votes: bool,
}
