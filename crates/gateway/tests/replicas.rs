//! Which replicas of the directory a gateway opens links to.

use std::collections::BTreeMap;
use std::time::Duration;

use grebepin_directory::link::ReplicaAddress;
use grebepin_gateway::replicas::Replicas;

const ZONES: usize = 6;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn address(number: usize) -> String {
    format!("10.{}.0.{}:7000", number % ZONES, number)
}

fn zone(number: usize) -> String {
    format!("z{}", number % ZONES)
}

/// Replicas 0 to `count`, spread over the zones.
fn replicas(count: usize) -> Vec<ReplicaAddress> {
    let one = |number| ReplicaAddress {
        address: address(number),
        zone: zone(number),
        votes: number < 5,
    };
    (0..count).map(one).collect()
}

fn gateway(name: &str, zone: &str, count: usize) -> Replicas {
    let mut known = Replicas::new(name, zone, vec![address(0), address(1), address(2)]);
    known.note(at(0), &replicas(count));
    known
}

#[test]
fn two_replicas_of_the_own_zone_are_linked() {
    let known = gateway("g", "z3", 18);
    let wanted = known.wanted(at(1), true);
    assert_eq!(wanted.len(), 2);
    assert!(
        wanted.iter().all(|one| known.zone_of(one) == "z3"),
        "{wanted:?}"
    );
}

#[test]
fn gateways_of_a_zone_spread_over_its_replicas() {
    let mut first: BTreeMap<String, u32> = BTreeMap::new();
    for number in 0..60 {
        let known = gateway(&format!("g{number}"), "z3", 18);
        *first
            .entry(known.wanted(at(1), true)[0].clone())
            .or_default() += 1;
    }
    assert_eq!(first.len(), 3, "{first:?}");
    assert!(first.values().all(|count| *count >= 10), "{first:?}");
}

#[test]
fn a_zone_with_one_replica_has_its_standby_link_in_another() {
    let known = gateway("g", "z1", ZONES);
    let wanted = known.wanted(at(1), true);
    assert_eq!(known.zone_of(&wanted[0]), "z1");
    assert_ne!(known.zone_of(&wanted[1]), "z1");
}

#[test]
fn seeds_are_linked_before_anything_else_is_known() {
    let known = Replicas::new("g", "z1", vec!["a".to_owned(), "b".to_owned()]);
    let mut wanted = known.wanted(at(1), false);
    wanted.sort();
    assert_eq!(wanted, ["a", "b"]);
}

/// A network partition may leave half of the replicas without a leader. The others must be found, whichever
/// they are.
#[test]
fn avoided_replicas_are_replaced_until_all_were_tried() {
    let mut known = gateway("g", "z3", 18);
    let mut tried = Vec::new();
    for round in 0..5 {
        for address in known.wanted(at(1 + round), false) {
            known.avoid(at(1 + round), &address, at(1_000));
            tried.push(address);
        }
    }
    tried.sort();
    tried.dedup();
    assert_eq!(tried.len(), 18);
    assert!(known.wanted(at(10), false).is_empty());
    assert_eq!(known.wanted(at(1_100), false).len(), 4, "tried again later");
    known.avoid(at(1_200), &address(3), at(1_000));
    known.stop_avoiding(&address(3));
    assert!(known.wanted(at(1_200), false).contains(&address(3)));
}

#[test]
fn voters_and_seeds_are_asked_for_an_initial_state() {
    let known = gateway("g", "z3", 18);
    let mut candidates = known.state_candidates(at(1));
    candidates.sort();
    let mut voters: Vec<String> = (0..5).map(address).collect();
    voters.sort();
    assert_eq!(candidates, voters);
}

#[test]
fn replicas_that_are_no_longer_named_are_dropped() {
    let mut known = gateway("g", "z3", 18);
    known.note(at(20_000), &replicas(12));
    known.forget_expired(at(31_000));
    let all = known.wanted(at(31_000), false);
    assert!(!all.contains(&address(15)), "{all:?}");
    assert!(all.contains(&address(9)), "{all:?}");
}
