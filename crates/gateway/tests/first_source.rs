//! A crowd of gateways without a state: spread over the replicas, and none turns away from a state on its way.

use std::collections::BTreeMap;
use std::time::Duration;

use grebepin_directory::link::ReplicaAddress;
use grebepin_gateway::first_source::FirstSource;
use grebepin_gateway::replicas::Replicas;

fn ms(number: u64) -> Duration {
    Duration::from_millis(number)
}

#[test]
fn a_preferred_replica_is_asked_at_once_and_another_after_a_moment() {
    let mut source = FirstSource::default();
    assert!(source.may_ask(ms(10), true));
    assert!(!source.may_ask(ms(10), false), "nobody has spoken yet");
    source.heard(ms(10));
    source.heard(ms(50));
    assert!(!source.may_ask(ms(69), false));
    assert!(source.may_ask(ms(70), false), "counted from the first word");
}

#[test]
fn a_state_on_its_way_is_waited_for_unless_its_replica_is_lost_or_silent() {
    let mut source = FirstSource::default();
    source.heard(ms(0));
    source.asked(ms(100));
    assert!(source.is_under_way(ms(1_099)));
    assert!(!source.may_ask(ms(1_099), true));
    assert!(source.may_ask(ms(1_100), true));
    source.asked(ms(1_100));
    source.lost();
    assert!(source.may_ask(ms(1_101), true));
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
