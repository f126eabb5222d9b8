//! Configuration of one replica.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use grebepin_consensus::{Config, Guards};
use grebepin_grants::Timing;
use grebepin_schema::{GroupId, Member, MemberRole, ReplicaId, SocketAddress, ZoneName};
use serde::Deserialize;

/// The directory has one control group.
pub(super) const GROUP: GroupId = GroupId(0);

/// Durations of one replica; the same in the whole group.
#[derive(Clone, Copy, Debug)]
pub struct NodeTiming {
    /// Least time without a leader's message before an election.
    pub election_timeout: Duration,
    /// Time between a leader's rounds.
    pub round: Duration,
    /// Least time between two messages with news to one learner, and so what it adds to the age of what the learner's
    /// gateways hold.
    pub learner_pause: Duration,
    /// Time between two looks at leases and members.
    pub tick: Duration,
    /// Silence after which a voter is replaced by a learner that has caught up.
    pub replace_after: Duration,
    /// Entries after which a snapshot is saved.
    pub snapshot_every: u64,
    /// Durations of servers' leases.
    pub leases: Timing,
}

impl NodeTiming {
    /// Durations for a group on one region's network, with these leases.
    pub fn regional(leases: Timing) -> Self {
        Self {
            election_timeout: Duration::from_millis(250),
            round: Duration::from_millis(60),
            learner_pause: Duration::from_millis(25),
            tick: Duration::from_millis(100),
            replace_after: Duration::from_millis(2_500),
            snapshot_every: 4_000,
            leases,
        }
    }
}

/// What may be lost at the same time without losing anything acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct FaultTolerance {
    /// Machines that replicas stand on, with their disks.
    pub machines: usize,
    /// Zones, each whole.
    pub zones: usize,
    /// Regions, each whole.
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
    /// Voters of a whole group: a majority of them is left when as many as may be lost at once are gone.
    /// Spread evenly, one zone or region holds no more of them than one loss may take.
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
    /// Zones of the deployment, which an evacuation may name; any may be named when this is empty.
    pub zones: BTreeSet<String>,
    /// Internal address.
    pub link_address: SocketAddr,
    /// Address for operators and servers.
    pub control_address: SocketAddr,
    /// Internal addresses of the seeds.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time.
    pub bootstrap: bool,
    /// Identity to take in an empty folder that is not founded; never used before.
    pub fresh_replica: ReplicaId,
    /// What the group must be able to lose at once.
    pub fault_tolerance: FaultTolerance,
    /// Whether this machine is one of those whose losses are bounded; any other only observes.
    pub may_vote: bool,
    /// Seed of the random waits.
    pub random_seed: u64,
    /// Durations.
    pub timing: NodeTiming,
}

impl NodeConfig {
    pub(super) fn consensus(&self, replica: ReplicaId) -> Config {
        Config {
            group: GROUP,
            id: replica,
            election_timeout: self.timing.election_timeout,
            heartbeat: self.timing.round,
            learner_send_interval: self.timing.learner_pause,
            drift_percent: 2,
            seed: self.random_seed,
            guards: Guards::all(),
        }
    }

    /// Whether an evacuation may name a zone.
    pub(super) fn knows_zone(&self, zone: &str) -> bool {
        self.zones.is_empty() || self.zones.contains(zone)
    }

    /// This replica as it asks to be taken in.
    pub(super) fn newcomer(&self, replica: ReplicaId) -> Member {
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

/// A member with these addresses.
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

/// Zone of a founder until it tells its own: seeds are known by their addresses only.
pub(super) const UNKNOWN_ZONE: &str = "unknown";

pub(super) fn socket_address(address: SocketAddr) -> SocketAddress {
    let text = address.to_string();
    SocketAddress::try_from(text.as_str()).expect("an address with a port is well formed")
}

pub(super) fn zone_name(zone: &str) -> ZoneName {
    let unknown = || ZoneName::try_from(UNKNOWN_ZONE).expect("the name is well formed");
    ZoneName::try_from(zone).unwrap_or_else(|_| unknown())
}
