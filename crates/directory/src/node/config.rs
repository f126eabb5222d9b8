//! Configuration of one replica.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use grebepin_consensus::{Config, Guards};
use grebepin_grants::Timing;
use grebepin_schema::{GroupId, Member, MemberRole, ReplicaId, SocketAddress, ZoneName};
use serde::Deserialize;

/// The directory has a single consensus group.
pub(super) const GROUP: GroupId = GroupId(0);

/// Timing of one replica; identical in the whole group.
#[derive(Clone, Copy, Debug)]
pub struct NodeTiming {
    /// Minimum time without a message from a leader before a replica starts an election.
    pub election_timeout: Duration,
    /// Interval of the leader's heartbeats to the other members.
    pub heartbeat_interval: Duration,
    /// Minimum time between two messages with new entries to one learner. It adds as much to the age of the
    /// state that the learner's gateways hold.
    pub learner_send_interval: Duration,
    /// Interval at which the leader checks leases and members.
    pub tick: Duration,
    /// How long a voter may be unresponsive before a caught-up learner replaces it.
    pub replace_after: Duration,
    /// Number of applied entries after which a snapshot is saved.
    pub snapshot_every: u64,
    /// Timing of server leases.
    pub leases: Timing,
}

impl NodeTiming {
    /// Timing for a group within one region, with the given lease timing.
    pub fn regional(leases: Timing) -> Self {
        Self {
            election_timeout: Duration::from_millis(250),
            heartbeat_interval: Duration::from_millis(60),
            learner_send_interval: Duration::from_millis(25),
            tick: Duration::from_millis(100),
            replace_after: Duration::from_millis(2_500),
            snapshot_every: 4_000,
            leases,
        }
    }
}

/// What may be lost at the same time without losing acknowledged data.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct FaultTolerance {
    /// Number of machines that host replicas, including their disks.
    pub machines: usize,
    /// Number of complete zones.
    pub zones: usize,
    /// Number of complete regions.
    pub regions: usize,
}

impl Default for FaultTolerance {
    fn default() -> Self {
        Self {
            machines: 1,
            zones: 0,
            regions: 0,
        }
    }
}

impl FaultTolerance {
    /// Number of voters the group should have: after the maximum tolerated loss, a majority of them remains.
    /// If they are spread evenly, a zone or region holds no more of them than one loss may take.
    pub fn wanted_voters(self) -> usize {
        let losses = self.machines.max(self.zones).max(self.regions);
        2 * losses.max(1) + 1
    }
}

/// Configuration of one replica.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// Zone of the replica.
    pub zone: String,
    /// Zones of the deployment that an evacuation may name; if empty, any zone may be named.
    pub zones: BTreeSet<String>,
    /// Internal address.
    pub link_address: SocketAddr,
    /// Address for operators and servers.
    pub control_address: SocketAddr,
    /// Internal addresses of the seeds.
    pub seeds: Vec<SocketAddr>,
    /// Whether this is the first start of the whole system.
    pub bootstrap: bool,
    /// Identity for an empty data folder that does not found the group; must never have been used before.
    pub new_replica_id: ReplicaId,
    /// What the group must be able to lose at the same time.
    pub fault_tolerance: FaultTolerance,
    /// Whether this machine counts towards the tolerated losses; a replica on any other machine is an
    /// observer.
    pub may_vote: bool,
    /// Seed of the randomized timeouts.
    pub random_seed: u64,
    /// Timing.
    pub timing: NodeTiming,
}

impl NodeConfig {
    pub(super) fn consensus(&self, replica: ReplicaId) -> Config {
        Config {
            group: GROUP,
            id: replica,
            election_timeout: self.timing.election_timeout,
            heartbeat: self.timing.heartbeat_interval,
            learner_send_interval: self.timing.learner_send_interval,
            drift_percent: 2,
            seed: self.random_seed,
            guards: Guards::all(),
        }
    }

    /// Whether an evacuation may name this zone.
    pub(super) fn is_known_zone(&self, zone: &str) -> bool {
        self.zones.is_empty() || self.zones.contains(zone)
    }

    /// This replica as described in its join requests.
    pub(super) fn joining_member(&self, replica: ReplicaId) -> Member {
        let role = match self.may_vote {
            true => MemberRole::Learner,
            false => MemberRole::Observer,
        };
        member(
            replica,
            role,
            self.link_address,
            self.control_address,
            &self.zone,
        )
    }
}

pub(super) fn member(
    replica: ReplicaId,
    role: MemberRole,
    link: SocketAddr,
    control: SocketAddr,
    zone: &str,
) -> Member {
    Member {
        admin_address: socket_address(control),
        peer_address: socket_address(link),
        router_address: socket_address(link),
        replica,
        role,
        zone: zone_name(zone),
    }
}

/// Zone of a founder until it reports its own: founders know each other only by the addresses of the seeds.
pub(super) const UNKNOWN_ZONE: &str = "unknown";

pub(super) fn socket_address(address: SocketAddr) -> SocketAddress {
    let text = address.to_string();
    SocketAddress::try_from(text.as_str()).expect("an address with a port is well formed")
}

pub(super) fn zone_name(zone: &str) -> ZoneName {
    let unknown = || ZoneName::try_from(UNKNOWN_ZONE).expect("the name is well formed");
    ZoneName::try_from(zone).unwrap_or_else(|_| unknown())
}
