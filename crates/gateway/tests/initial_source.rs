//! Initial snapshots of many gateways: spread over the replicas, and no pending transfer is abandoned.

use std::collections::BTreeMap;
use std::time::Duration;

use grebepin_directory::link::ReplicaAddress;
use grebepin_gateway::initial_source::InitialSource;
use grebepin_gateway::replicas::Replicas;

fn ms(number: u64) -> Duration {
    Duration::from_millis(number)
}

#[test]
fn the_preferred_replica_is_asked_at_once_and_others_after_a_delay() {
    let mut source = InitialSource::default();
    assert!(source.may_request(ms(10), true));
    assert!(
        !source.may_request(ms(10), false),
        "no replica has sent a message yet"
    );
    source.note_replica_message(ms(10));
    source.note_replica_message(ms(50));
    assert!(!source.may_request(ms(69), false));
    assert!(
        source.may_request(ms(70), false),
        "counted from the first message"
    );
}

#[test]
fn a_pending_transfer_is_awaited_until_its_replica_is_lost_or_it_times_out() {
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

/// Guards against a choice among the seeds only: of 984 gateways that know three seeds at first, 200 then shared
/// the one replica known in their zone.
#[test]
fn simultaneous_starts_spread_transfers_over_all_replicas() {
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
    assert!(most <= 2 * 984 / 25, "{most} gateways at one replica");
}
