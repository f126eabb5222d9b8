//! What a control node is told at its start.
//!
//! Invariant: nothing here changes while the node runs.

use std::time::Duration;

use grebepin_schema::{
    ControlSettings, ControlTiming, GroupId, Member, MemberRole, ReplicaId, SocketAddress,
    TrustedOperator, ZoneName,
};

/// Settings of one control node, with everything random already drawn.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// Group of this replica.
    pub group: GroupId,
    /// Identity taken if the folder turns out to be empty; never used by any other folder.
    pub fresh_replica: ReplicaId,
    /// Zone of this replica.
    pub zone: ZoneName,
    /// Where other replicas reach this one.
    pub peer_address: SocketAddress,
    /// Where routers reach this replica.
    pub router_address: SocketAddress,
    /// Where operators reach this replica.
    pub admin_address: SocketAddress,
    /// Peer addresses of the group's other replicas.
    pub peers: Vec<SocketAddress>,
    /// Operators whose signatures count.
    pub operators: Vec<TrustedOperator>,
    /// Sign-offs that a bundle needs.
    pub required_signatures: u32,
    /// Times of the group.
    pub timing: ControlTiming,
    /// Seed of the election timeouts.
    pub seed: u64,
}

impl NodeConfig {
    /// Configuration from a checked settings file, a fresh identity and a seed.
    pub fn from_settings(settings: &ControlSettings, fresh_replica: ReplicaId, seed: u64) -> Self {
        Self {
            group: GroupId(settings.group),
            fresh_replica,
            zone: settings.zone.clone(),
            peer_address: settings.peer_address.clone(),
            router_address: settings.router_address.clone(),
            admin_address: settings.admin_address.clone(),
            peers: settings.peers.clone(),
            operators: settings.operators.clone(),
            required_signatures: settings.required_signatures.get(),
            timing: settings.timing.clone().unwrap_or_else(default_timing),
            seed,
        }
    }

    /// This replica as a member with the given identity and role.
    pub fn member(&self, replica: ReplicaId, role: MemberRole) -> Member {
        Member {
            replica,
            role,
            zone: self.zone.clone(),
            peer_address: self.peer_address.clone(),
            router_address: self.router_address.clone(),
            admin_address: self.admin_address.clone(),
        }
    }

    /// Least silence of a leader before an election; also the leader lease before drift.
    pub fn election_timeout(&self) -> Duration {
        Duration::from_millis(self.timing.election_timeout_ms)
    }

    /// Time between a leader's rounds.
    pub fn replica_heartbeat(&self) -> Duration {
        Duration::from_millis(self.timing.replica_heartbeat_ms)
    }

    /// Time between heartbeats to a server, and between `current` frames to a router.
    pub fn server_heartbeat(&self) -> Duration {
        Duration::from_millis(self.timing.server_heartbeat_ms)
    }

    /// Lease of a server.
    pub fn server_lease(&self) -> Duration {
        Duration::from_millis(self.timing.server_lease_ms)
    }
}

/// The timing of a settings file that states none: every default of the schema.
pub fn default_timing() -> ControlTiming {
    let empty = serde::de::value::MapDeserializer::<_, serde::de::value::Error>::new(
        std::iter::empty::<(String, u64)>(),
    );
    serde::Deserialize::deserialize(empty).expect("every field of the timing has a default")
}
