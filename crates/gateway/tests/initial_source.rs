//! A crowd of gateways without a state: spread over the replicas, and none turns away from a state on its way.

use std::collections::BTreeMap;
use std::time::Duration;

use grebepin_directory::link::ReplicaAddress;
use grebepin_gateway::initial_source::InitialSource;
use grebepin_gateway::replicas::Replicas;

fn ms(number: u64) -> Duration {
    Duration::from_millis(number)
}

#[test]
fn a_preferred_replica_is_asked_at_once_and_another_after_a_moment() {
    let mut source = InitialSource::default();
    assert!(source.may_request(ms(10), true));
    assert!(!source.may_request(ms(10), false), "nobody has spoken yet");
    source.note_replica_message(ms(10));
    source.note_replica_message(ms(50));
    assert!(!source.may_request(ms(69), false));
    assert!(
        source.may_request(ms(70), false),
        "counted from the first word"
    );
}

#[test]
fn a_state_on_its_way_is_waited_for_unless_its_replica_is_lost_or_silent() {
    let mut source = InitialSource::default();
    source.note_replica_message(ms(0));
    source.note_state_requested(ms(100));
    assert!(source.is_pending(ms(1_099)));
    assert!(!source.may_request(ms(1_099), true));
    assert!(source.may_request(ms(1_100), true));
    source.note_state_requested(ms(1_100));
    source.note_source_lost();
    assert!(source.may_request(ms(1_101), true));
}

/// Of 984 gateways that know three seeds at first, a seed's zone had one replica for 200 of them.
#[test]
fn a_crowd_takes_its_states_from_all_replicas_alike() {
    let named: Vec<ReplicaAddress> = (0..25)
        .map(|number| ReplicaAddress {
            address: format!("10.{}.0.{}:7600", number % 5, 200 + number),
            zone: format!("z{}", number % 5),
            votes: number < 5,
        })
        .collect();
    let seeds: Vec<String> = named[..3].iter().map(|one| one.address.clone()).collect();
    let mut asked: BTreeMap<String, u32> = BTreeMap::new();
    for number in 0..984 {
        let (node, zone) = (format!("edge-{number}"), format!("z{}", number % 5));
        let mut replicas = Replicas::new(&node, &zone, seeds.clone());
        assert_eq!(replicas.preferred(ms(0)), None, "only seeds are known");
        replicas.note(ms(0), &named);
        let preferred = replicas.preferred(ms(1)).expect("named");
        *asked.entry(preferred).or_default() += 1;
    }
    let most = asked.values().max().copied().unwrap_or_default();
    assert_eq!(asked.len(), 25);
    assert!(most <= 2 * 984 / 25, "{most} at one replica");
}
