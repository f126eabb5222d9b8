//! Planned moves: drains, new bundles, removals, reachability, load, the platform's list of machines.

mod support;

use grebepin_schema::{
    LoadReport, Machine, MachineList, MachineState, ServerLoad, ServerName, ShardId, ShardLoad,
};
use support::fleet::{counts, settle_within, settled, SHARDS};
use support::{accept, bundle, ms, server_name, service, service_name, World};

#[test]
fn shards_follow_the_shares_of_the_sides() {
    for (shares, old, new) in [
        ([1, 1], 10.0, 10.0),
        ([2, 1], 13.33, 6.67),
        ([0, 5], 0.0, 20.0),
    ] {
        for (number, count) in counts(&settled(shares)).into_iter().enumerate() {
            let share: f64 = [old, new][number % 2];
            let within = (count as f64 - share).abs() < share.min(1.0) || share == count as f64;
            assert!(
                within,
                "{shares:?}: server {number} owns {count}, its share is {share}"
            );
        }
    }
}

#[test]
fn a_drained_server_is_empty_within_a_second_and_told_only_then() {
    let mut world = settled([1, 1]);
    let name = server_name(4);
    world.drain_by_operator(&name, true);
    let end = world.now + ms(1_000);
    let took = world.run_until(end, |world| world.owned(&name) == 0);
    assert!(took.is_some(), "{:?}", counts(&world));
    assert!(!world.process(&name).holder.is_draining());
    settle_within(&mut world, ms(300));
    world.run(ms(500));
    assert!(world.process(&name).holder.is_draining());
    world.drain_by_operator(&name, false);
    world.run(ms(1_000));
    assert!(!world.process(&name).holder.is_draining());
    settle_within(&mut world, ms(30_000));
}

#[test]
fn a_server_that_reports_draining_is_emptied() {
    let mut world = settled([1, 1]);
    let name = server_name(4);
    let now = world.now;
    world.process(&name).holder.drain(now, true);
    let end = world.now + ms(1_300);
    let took = world.run_until(end, |world| world.owned(&name) == 0);
    assert!(took.is_some(), "{:?}", counts(&world));
    settle_within(&mut world, ms(300));
}

#[test]
fn a_drain_survives_a_change_of_leader_between_release_and_commit() {
    let mut world = settled([1, 1]);
    world.drain_by_operator(&server_name(4), true);
    // The releases are answered, and the resulting proposals are lost with the leader.
    world.run(ms(6));
    world.change_leader(ms(50));
    settle_within(&mut world, ms(4_000));
    assert_eq!(world.owned(&server_name(4)), 0);
}

#[test]
fn a_draining_server_keeps_its_shards_without_an_eligible_receiver() {
    let mut world = settled([1, 1]);
    for number in 0..6 {
        world.drain_by_operator(&server_name(number), true);
    }
    world.run(ms(2_000));
    let owned: usize = counts(&world).iter().sum();
    assert_eq!(owned, SHARDS as usize);
    assert!(world.is_settled());
}

#[test]
fn new_shares_move_shards_within_the_limits_on_churn() {
    let mut world = settled([1, 0]);
    world.run(ms(60_000));
    let digest = world
        .state
        .bundle_record()
        .expect("a bundle")
        .digest
        .clone();
    let mut next = service("ledger", SHARDS, &[0, 1, 2, 3, 4, 5], [1, 1]);
    next.churn.moves_per_minute = 12;
    let assignments = world.assignments;
    world.commit(&accept(bundle(2, Some(digest), vec![next])).0);
    world.run(ms(59_000));
    assert_eq!(world.assignments - assignments, 12);
    world.run(ms(120_000));
    assert_eq!(world.assignments - assignments, 30);
    assert_eq!(counts(&world), [10, 10, 10, 10, 10, 10]);
}

#[test]
fn a_removed_server_is_emptied_and_then_no_longer_in_use() {
    let mut world = settled([1, 1]);
    let digest = world
        .state
        .bundle_record()
        .expect("a bundle")
        .digest
        .clone();
    let next = service("ledger", SHARDS, &[0, 1, 2, 3, 4], [1, 1]);
    world.commit(&accept(bundle(2, Some(digest), vec![next])).0);
    assert_eq!(world.owned(&server_name(5)), 10, "still listed for routers");
    settle_within(&mut world, ms(1_500));
    world.run(ms(1_500));
    assert_eq!(world.owned(&server_name(5)), 0);
    let standings = &world.state.table().table.services[0].standings;
    assert_eq!(standings[5], grebepin_schema::ServerStanding::Gone);
}

#[test]
fn shards_of_a_removed_service_are_released() {
    let mut world = settled([1, 1]);
    let digest = world
        .state
        .bundle_record()
        .expect("a bundle")
        .digest
        .clone();
    world.commit(&accept(bundle(2, Some(digest), Vec::new())).0);
    world.run(ms(2_500));
    assert!(world.holders().is_empty());
    assert!(world.state.table().table.services.is_empty());
}

#[test]
fn machines_listed_as_leaving_receive_nothing_and_lose_nothing() {
    let mut world = settled([1, 1]);
    let listed = |number: usize| Machine {
        server: server_name(number),
        state: MachineState::Gone,
    };
    let list = MachineList {
        machines: vec![listed(1), listed(3)],
    };
    world.send_machines(&list);
    world.run(ms(3_000));
    assert_eq!(counts(&world), [10, 10, 10, 10, 10, 10]);
    world.stop(&server_name(5));
    settle_within(&mut world, ms(1_500));
    let after = counts(&world);
    assert_eq!((after[1], after[3], after[5]), (10, 10, 0));
}

fn report(servers: Vec<ServerLoad>, shards: Vec<ShardLoad>, world: &World) -> LoadReport {
    LoadReport {
        group: world.state.group(),
        router: "router-1".parse().expect("a name"),
        incarnation: 1,
        in_force: world.state.table_index(),
        interval_ms: 500,
        servers,
        shards,
    }
}

fn load(server: ServerName, sent: u64, failed: u64, busy_us: u64) -> ServerLoad {
    ServerLoad {
        server,
        sent,
        failed,
        refused: 0,
        busy_us,
    }
}

#[test]
fn a_server_out_of_the_routers_reach_is_emptied_by_planned_moves() {
    let mut world = settled([1, 1]);
    world.run(ms(60_000));
    for _ in 0..20 {
        let failing = vec![
            load(server_name(0), 20, 20, 0),
            load(server_name(1), 20, 0, 0),
        ];
        let report = report(failing, Vec::new(), &world);
        world.send_load_report(&report);
        world.run(ms(500));
    }
    assert_eq!(world.owned(&server_name(0)), 0, "{:?}", counts(&world));
    settle_within(&mut world, ms(500));
}

#[test]
fn a_hot_shard_leaves_its_overloaded_server() {
    let mut world = settled([1, 1]);
    world.run(ms(60_000));
    let of_first = |world: &World| -> Vec<u32> {
        let owners = &world.state.table().table.services[0].owners;
        let shards = owners.iter().enumerate();
        let owned = shards.filter(|(_, owner)| owner.server == Some(0));
        owned.map(|(shard, _)| shard as u32).collect()
    };
    let hot = of_first(&world)[..2].to_vec();
    let assignments = world.assignments;
    for _ in 0..20 {
        let servers = vec![
            load(server_name(0), 100, 0, 400_000),
            load(server_name(2), 100, 0, 50_000),
            load(server_name(4), 100, 0, 20_000),
            load(server_name(1), 100, 0, 157_000),
            load(server_name(3), 100, 0, 157_000),
            load(server_name(5), 100, 0, 157_000),
        ];
        let shards = hot.iter().map(|&shard| ShardLoad {
            service: service_name("ledger"),
            shard: ShardId(shard),
            requests: 50,
            busy_us: 200_000,
        });
        let report = report(servers, shards.collect(), &world);
        world.send_load_report(&report);
        world.run(ms(500));
        if world.assignments > assignments {
            break;
        }
    }
    let still_there = of_first(&world);
    let left = hot.iter().filter(|shard| !still_there.contains(shard));
    assert_eq!(left.count(), 1, "one of the two hot shards stays");
    assert!(
        world.assignments - assignments <= 8,
        "one plan, within concurrent_moves"
    );
}

#[test]
fn a_release_that_a_new_process_answers_frees_nothing_that_the_former_one_holds() {
    for after in [0, 1, 2, 3] {
        let mut world = settled([1, 1]);
        world.drain_by_operator(&server_name(4), true);
        world.run(ms(after));
        // The world panics if a shard gets a second holder while the former process still has its lease.
        world.replace(server_name(4));
        settle_within(&mut world, ms(3_000));
        assert_eq!(world.owned(&server_name(4)), 0);
    }
}

#[test]
fn draining_servers_are_granted_expired_shards_if_no_other_is_eligible() {
    let mut world = settled([1, 0]);
    for number in [0, 2, 4] {
        world.drain_by_operator(&server_name(number), true);
    }
    world.leader_lease_until = Some(world.now);
    world.run(ms(2_000));
    assert!(world.holders().is_empty(), "every lease expired");
    world.leader_lease_until = None;
    world.change_leader(ms(0));
    // The servers of the side without a share are active and have leases, but are not eligible.
    settle_within(&mut world, ms(1_000));
    let owned: usize = counts(&world).iter().sum();
    assert_eq!(owned, SHARDS as usize);
}

#[test]
fn a_drain_just_before_a_long_election_goes_on_at_once_after_it() {
    for before in [0, 1, 2, 4, 8, 12, 20] {
        let mut world = settled([1, 1]);
        let name = server_name(4);
        world.drain_by_operator(&name, true);
        world.run(ms(before));
        world.leader_lease_until = Some(world.now);
        world.run(ms(4_000));
        world.leader_lease_until = None;
        world.change_leader(ms(0));
        let end = world.now + ms(100);
        let took = world.run_until(end, |world| world.owned(&name) == 0);
        assert!(took.is_some(), "{before} ms: {:?}", counts(&world));
    }
}
