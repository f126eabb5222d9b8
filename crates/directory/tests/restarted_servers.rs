//! Calls of a server that started again under its name, over a group of replicas.

#[allow(dead_code, reason = "each test file uses a part of the harness")]
mod cluster;

use std::time::Duration;

use cluster::{Cluster, Fault};
use grebepin_catalog::{InstanceId, InstanceState};
use grebepin_directory::call::Call;
use grebepin_grants::Heartbeat;

const SEEDS: std::ops::Range<u64> = 0..8;

fn life(started_ms: u64) -> InstanceId {
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
        holds: Vec::new(),
        freed: Vec::new(),
    })
}

fn state(cluster: &Cluster, id: &InstanceId) -> Option<InstanceState> {
    cluster.instance(id).map(|instance| instance.state)
}

fn cluster_with_two_lives(seed: u64) -> Cluster {
    let mut cluster = Cluster::new(seed, 3);
    cluster.run(Duration::from_secs(3));
    cluster.change_until_acknowledged(1);
    cluster.call_of_server(heartbeat(&life(10), 5));
    cluster.call_of_server(heartbeat(&life(20), 1));
    assert_eq!(state(&cluster, &life(10)), Some(InstanceState::Gone));
    cluster
}

#[test]
fn a_leave_of_the_earlier_life_does_not_drain_the_later_one() {
    let mut cluster = cluster_with_two_lives(1);
    cluster.call_of_server(Call::Leave(life(10)));
    assert_eq!(state(&cluster, &life(20)), Some(InstanceState::Ready));
    cluster.call_of_server(Call::Leave(life(20)));
    assert_eq!(state(&cluster, &life(20)), Some(InstanceState::Draining));
}

#[test]
fn a_leave_that_states_no_start_is_the_latest_life_s() {
    let mut cluster = cluster_with_two_lives(2);
    cluster.call_of_server(Call::Leave(InstanceId::new("i-1")));
    assert_eq!(state(&cluster, &life(20)), Some(InstanceState::Draining));
}

#[test]
fn lives_are_told_apart_by_the_next_leader_and_after_all_power_was_lost() {
    for fault in [Fault::CutLeader, Fault::PowerOffAll] {
        for seed in SEEDS {
            let mut cluster = cluster_with_two_lives(seed);
            cluster.strike(fault);
            cluster.run(Duration::from_secs(9));
            cluster.change_until_acknowledged(2);
            cluster.call_of_server(heartbeat(&life(10), 6));
            let states = [state(&cluster, &life(10)), state(&cluster, &life(20))];
            let wanted = [Some(InstanceState::Gone), Some(InstanceState::Ready)];
            assert_eq!(states, wanted, "{fault:?}, seed {seed}");
        }
    }
}
