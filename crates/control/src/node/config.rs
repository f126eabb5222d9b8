//! What a control node is told at its start.
//!
//! Invariant: nothing here changes while the node runs.

use std::time::Duration;

use grebepin_schema::{
    GroupId, Member, MemberRole, ReplicaId, SocketAddress, TrustedOperator, ZoneName,
};
use grebepin_settings::{ControlSettings, ControlTiming};

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
    /// Seed of the election timeouts; a fresh one at each start.
    pub seed: u64,
    /// Guards in force.
    pub guards: NodeGuards,
}

/// The guards of the parts that a node is made of.
#[derive(Clone, Copy, Debug, Default)]
pub struct NodeGuards {
    /// Of the replicated log.
    pub consensus: grebepin_consensus::Guards,
    /// Of the disk.
    pub storage: grebepin_storage::Guards,
    /// Of the ownership state and its leases.
    pub ownership: grebepin_ownership::Guards,
}

impl NodeConfig {
    /// Configuration from checked settings, a fresh identity and a seed.
    pub fn from_settings(settings: &ControlSettings, fresh_replica: ReplicaId, seed: u64) -> Self {
        Self {
            group: settings.group,
            fresh_replica,
            zone: settings.zone.clone(),
            peer_address: schema_address(settings.peer_address),
            router_address: schema_address(settings.router_address),
            admin_address: schema_address(settings.admin_address),
            peers: settings.peers.iter().copied().map(schema_address).collect(),
            operators: settings.operators.clone(),
            required_signatures: settings.required_signatures,
            timing: settings.timing.clone(),
            seed,
            guards: NodeGuards::default(),
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

    pub(super) fn consensus(&self, id: ReplicaId) -> grebepin_consensus::Config {
        grebepin_consensus::Config {
            group: self.group,
            id,
            election_timeout: self.timing.election_timeout,
            heartbeat: self.timing.replica_heartbeat,
            learner_send_interval: Duration::ZERO,
            drift_percent: self.timing.drift_percent,
            seed: self.seed,
            guards: self.guards.consensus,
        }
    }

    /// Silence after which a member or a server counts as lost in reports.
    pub(super) fn silence_limit(&self) -> Duration {
        self.timing.election_timeout * 2
    }
}

/// An address of the operating system as the schema writes it.
pub fn schema_address(address: std::net::SocketAddr) -> SocketAddress {
    address
        .to_string()
        .parse()
        .expect("an IP number and a port are an address of the schema")
}
