//! Reports that replicas exchange about the gateways that follow them.

use std::time::Duration;

use grebepin_catalog::InstanceId;
use grebepin_directory::fleet::{Fleet, FleetSummary, LoadBuffer, ReplicaReport};
use grebepin_grants::{LoadSample, ServerSample};

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn report(replica: &str, gateways: u32, relays: &[&str]) -> ReplicaReport {
    ReplicaReport {
        replica: replica.to_owned(),
        gateways,
        relays: relays.iter().map(ToString::to_string).collect(),
        load: LoadSample::default(),
        crashes: Vec::new(),
        ..ReplicaReport::default()
    }
}

fn load(shard: u16, count: u16, answers: u32) -> LoadSample {
    LoadSample {
        shards: vec![("s".to_owned(), vec![(shard, count)])],
        servers: vec![ServerSample {
            id: InstanceId::new("i"),
            answers,
            seconds: 0.5,
            stated_rate: None,
            cooldown: None,
            is_leaving: false,
        }],
    }
}

#[test]
fn the_leader_counts_the_gateways_of_all_replicas() {
    let mut fleet = Fleet::default();
    fleet.record_report(at(0), &report("a", 17, &[]));
    fleet.record_report(at(0), &report("b", 16, &[]));
    fleet.record_report(at(100), &report("a", 15, &[]));
    assert_eq!(fleet.gateways(at(200), true, 14), 45);
    assert_eq!(
        fleet.gateways(at(3_050), true, 14),
        29,
        "a replica that tells nothing counts for none"
    );
}

#[test]
fn other_replicas_use_the_leaders_count() {
    let mut fleet = Fleet::default();
    assert_eq!(fleet.gateways(at(0), false, 3), 3);
    let summary = FleetSummary {
        gateways: 282,
        relays: Vec::new(),
        ..FleetSummary::default()
    };
    fleet.record_summary(at(0), &summary);
    assert_eq!(fleet.gateways(at(0), false, 16), 282);
}

#[test]
fn relays_of_every_replica_are_selected_in_rotation() {
    let mut fleet = Fleet::default();
    fleet.record_report(at(0), &report("a", 2, &["g1", "g2", ""]));
    fleet.record_report(at(0), &report("b", 2, &["g3", "g4", "g5"]));
    let mut selected: Vec<String> = (0..5)
        .flat_map(|round| fleet.select_relays(round))
        .collect();
    assert_eq!(fleet.select_relays(0).len(), 3);
    selected.sort();
    selected.dedup();
    assert_eq!(selected, ["g1", "g2", "g3", "g4", "g5"]);
}

#[test]
fn load_samples_are_summed_up_and_reported_soon() {
    let mut load_buffer = LoadBuffer::default();
    load_buffer.add(&load(7, 2, 3));
    load_buffer.add(&load(7, 4, 1));
    load_buffer.add(&load(9, 1, 0));
    assert!(!load_buffer.is_due(at(100), false));
    assert!(load_buffer.is_due(at(150), false));
    let mut idle = LoadBuffer::default();
    idle.take(at(0));
    assert!(!idle.is_due(at(400), false) && idle.is_due(at(400), true));
    let sum = load_buffer.take(at(150));
    assert_eq!(sum.shards, [("s".to_owned(), vec![(7, 6), (9, 1)])]);
    assert_eq!(sum.servers[0].answers, 4);
    assert!((sum.servers[0].seconds - 1.5).abs() < 1e-6);
    assert!(
        !load_buffer.is_due(at(400), false),
        "nothing new: the count can wait"
    );
    assert!(load_buffer.is_due(at(650), false));
}
