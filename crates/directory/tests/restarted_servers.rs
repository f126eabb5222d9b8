//! Calls of a server that was restarted under the same name, handled by a group of replicas.

#[allow(dead_code, reason = "each test file uses a part of the harness")]
mod cluster;

use std::time::Duration;

use cluster::{Cluster, Fault};
use grebepin_catalog::{InstanceId, InstanceState};
use grebepin_directory::call::Call;
use grebepin_grants::Heartbeat;

const SEEDS: std::ops::Range<u64> = 0..8;

fn incarnation(started_ms: u64) -> InstanceId {
    InstanceId::started_at("i-1", started_ms)
}

fn heartbeat(id: &InstanceId, sequence: u64) -> Call {
    Call::Heartbeat(Heartbeat {
        id: id.clone(),
        service: "s".to_owned(),
        address: "10.1.0.1:80".to_owned(),
        zone: "z0".to_owned(),
        slots: 2,
        draining: false,
        warmup_left: Duration::ZERO,
        sequence,
        holds: Some(Vec::new()),
        freed: Vec::new(),
    })
}

fn state(cluster: &Cluster, id: &InstanceId) -> Option<InstanceState> {
    cluster.instance(id).map(|instance| instance.state)
}

fn cluster_with_two_incarnations(seed: u64) -> Cluster {
    let mut cluster = Cluster::new(seed, 3);
    cluster.run(Duration::from_secs(3));
    cluster.change_until_acknowledged(1);
    cluster.send_server_call(heartbeat(&incarnation(10), 5));
    cluster.send_server_call(heartbeat(&incarnation(20), 1));
    assert_eq!(state(&cluster, &incarnation(10)), Some(InstanceState::Gone));
    cluster
}

#[test]
fn a_leave_of_the_earlier_incarnation_does_not_drain_the_later_one() {
    let mut cluster = cluster_with_two_incarnations(1);
    cluster.send_server_call(Call::Leave(incarnation(10)));
    assert_eq!(
        state(&cluster, &incarnation(20)),
        Some(InstanceState::Ready)
    );
    cluster.send_server_call(Call::Leave(incarnation(20)));
    assert_eq!(
        state(&cluster, &incarnation(20)),
        Some(InstanceState::Draining)
    );
}

#[test]
fn a_leave_without_a_start_time_applies_to_the_latest_incarnation() {
    let mut cluster = cluster_with_two_incarnations(2);
    cluster.send_server_call(Call::Leave(InstanceId::new("i-1")));
    assert_eq!(
        state(&cluster, &incarnation(20)),
        Some(InstanceState::Draining)
    );
}

#[test]
fn incarnations_are_distinguished_after_a_leader_change_and_a_power_loss() {
    for fault in [Fault::PartitionLeader, Fault::PowerOffAll] {
        for seed in SEEDS {
            let mut cluster = cluster_with_two_incarnations(seed);
            cluster.inject(fault);
            cluster.run(Duration::from_secs(9));
            cluster.change_until_acknowledged(2);
            cluster.send_server_call(heartbeat(&incarnation(10), 6));
            let states = [
                state(&cluster, &incarnation(10)),
                state(&cluster, &incarnation(20)),
            ];
            let wanted = [Some(InstanceState::Gone), Some(InstanceState::Ready)];
            assert_eq!(states, wanted, "{fault:?}, seed {seed}");
        }
    }
}
