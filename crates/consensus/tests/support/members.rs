//! Memberships and replica configurations for tests.

use std::time::Duration;

use grebepin_consensus::{Config, Guards};
use grebepin_schema::{GroupId, Member, MemberRole, Membership, ReplicaId};

pub const ELECTION_TIMEOUT: Duration = Duration::from_millis(1000);
pub const HEARTBEAT: Duration = Duration::from_millis(200);
pub const DRIFT_PERCENT: u32 = 5;

pub fn member(replica: u64, role: MemberRole) -> Member {
    let address = |port: u64| format!("127.0.0.1:{}", port + replica).parse().unwrap();
    Member {
        replica: ReplicaId(replica),
        role,
        zone: format!("zone-{}", replica % 3).parse().unwrap(),
        peer_address: address(1000),
        router_address: address(2000),
        admin_address: address(3000),
    }
}

pub fn membership(voters: &[u64], learners: &[u64]) -> Membership {
    let voters = voters.iter().map(|id| member(*id, MemberRole::Voter));
    let learners = learners.iter().map(|id| member(*id, MemberRole::Learner));
    Membership {
        members: voters.chain(learners).collect(),
    }
}

pub fn config(replica: u64, seed: u64, guards: Guards) -> Config {
    Config {
        group: GroupId(7),
        id: ReplicaId(replica),
        election_timeout: ELECTION_TIMEOUT,
        heartbeat: HEARTBEAT,
        learner_send_interval: Duration::ZERO,
        drift_percent: DRIFT_PERCENT,
        seed,
        guards,
    }
}
