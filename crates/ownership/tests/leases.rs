//! Leases, loss and restart of servers and changes of leader, with the real holder and a network without
//! faults.

mod support;

use support::fleet::{settle_within, settled, SHARDS};
use support::{accept, bundle, ms, server_name, service};

#[test]
fn a_steady_fleet_moves_nothing_and_grants_nothing() {
    let mut world = settled([1, 1]);
    let (grants, assignments) = (world.sent["grant"], world.assignments);
    world.run(ms(60_000));
    assert_eq!(world.sent["grant"], grants);
    assert_eq!(world.assignments, assignments);
    assert_eq!(world.sent.get("holdings"), None);
}

#[test]
fn a_lost_server_is_replaced_within_two_seconds_and_not_before_its_lease_ended() {
    for offset in [0, 50, 100, 150, 199] {
        let mut world = settled([1, 1]);
        world.run(ms(offset));
        world.stop(&server_name(2));
        let lost = world.assignments;
        world.run(ms(790));
        assert_eq!(world.assignments, lost, "its lease may still be valid");
        let took = settle_within(&mut world, ms(1_210));
        assert!(took + ms(790) < ms(1_500), "{took:?}");
        assert_eq!(world.owned(&server_name(2)), 0);
        assert_eq!(
            world.assignments,
            lost + 10,
            "only the lost server's shards moved"
        );
    }
}

#[test]
fn a_server_that_returns_within_its_lease_loses_nothing() {
    let mut world = settled([1, 1]);
    let assignments = world.assignments;
    world.freeze(&server_name(1), ms(600));
    world.run(ms(3_000));
    assert_eq!(world.assignments, assignments);
    assert!(world.is_settled());
}

#[test]
fn a_server_frozen_beyond_its_lease_returns_without_shards() {
    let mut world = settled([1, 1]);
    world.freeze(&server_name(1), ms(4_000));
    world.run(ms(3_900));
    assert_eq!(world.owned(&server_name(1)), 0);
    world.run(ms(200));
    settle_within(&mut world, ms(1_000));
}

#[test]
fn a_new_leader_keeps_leases_and_owners() {
    for offset in [0, 70, 140] {
        let mut world = settled([1, 1]);
        world.run(ms(offset));
        let (assignments, grants) = (world.assignments, world.sent["grant"]);
        // Leases are not renewed during the election.
        world.leader_lease_until = Some(world.now);
        world.run(ms(380));
        world.leader_lease_until = None;
        world.change_leader(ms(0));
        world.run(ms(5_000));
        assert_eq!(world.assignments, assignments, "no shard changed its owner");
        assert_eq!(world.sent["grant"], grants, "no lease expired");
        assert!(world.is_settled());
    }
}

#[test]
fn a_long_election_costs_leases_but_no_owners() {
    let mut world = settled([1, 1]);
    let assignments = world.assignments;
    world.leader_lease_until = Some(world.now);
    world.run(ms(4_000));
    assert!(world.holders().is_empty(), "every lease expired");
    world.leader_lease_until = None;
    world.change_leader(ms(0));
    settle_within(&mut world, ms(200));
    assert_eq!(world.assignments, assignments);
}

#[test]
fn a_leader_without_its_lease_renews_nothing() {
    let mut world = settled([1, 1]);
    world.leader_lease_until = Some(world.now);
    world.run(ms(1_100));
    assert!(world.holders().is_empty());
}

#[test]
fn a_restarted_server_gets_its_shards_back_at_fresh_epochs() {
    let mut world = settled([1, 1]);
    let before = world.state.table();
    world.replace(server_name(3));
    let took = settle_within(&mut world, ms(1_500));
    assert!(
        took > ms(600),
        "the former process may go on until its lease ends: {took:?}"
    );
    assert_eq!(world.owned(&server_name(3)), 10);
    let owners = |table: &grebepin_schema::TableSnapshot| table.table.services[0].owners.clone();
    let after = world.state.table();
    let pairs: Vec<_> = owners(&before).into_iter().zip(owners(&after)).collect();
    let changed = pairs.iter().filter(|(old, new)| old.epoch != new.epoch);
    assert_eq!(changed.count(), 10);
    assert!(pairs.iter().all(|(old, new)| old.server == new.server));
}

#[test]
fn a_restart_across_a_change_of_leader_gets_fresh_epochs_too() {
    let mut world = settled([1, 1]);
    let before = world.state.table().table.services[0].owners.clone();
    world.replace(server_name(3));
    world.change_leader(ms(100));
    settle_within(&mut world, ms(2_000));
    let after = world.state.table().table.services[0].owners.clone();
    let changed = before
        .iter()
        .zip(&after)
        .filter(|(old, new)| old.epoch != new.epoch);
    assert_eq!(changed.count(), 10);
}

#[test]
fn a_changed_address_waits_for_the_lease_at_the_former_one() {
    let mut world = settled([1, 1]);
    let digest = world
        .state
        .bundle_record()
        .expect("a bundle")
        .digest
        .clone();
    let mut next = service("ledger", SHARDS, &[0, 1, 2, 3, 4, 5], [1, 1]);
    next.servers[2].address = "127.0.0.1:9999".parse().expect("an address");
    world.commit(&accept(bundle(2, Some(digest), vec![next])).0);
    world.replace(server_name(2));
    let took = settle_within(&mut world, ms(1_500));
    assert!(took > ms(700), "{took:?}");
}

#[test]
fn a_paused_leader_takes_nothing_from_servers_that_live() {
    let mut world = settled([1, 1]);
    let assignments = world.assignments;
    world.now += ms(5_000);
    world.run(ms(3_000));
    assert_eq!(world.assignments, assignments);
    settle_within(&mut world, ms(500));
}
