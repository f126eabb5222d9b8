//! A fleet of six servers, three on each side, that hold all shards of one service.

use std::time::Duration;

use grebepin_ownership::Guards;

use super::{accept, bundle, ms, server_name, service, Network, World};

pub const SHARDS: u32 = 60;

/// A world in which servers 0 to 5, three on each side, hold all shards of one service.
pub fn settled(shares: [u32; 2]) -> World {
    let mut world = World::new(Network::reliable(), Guards::all());
    for number in 0..6 {
        world.start(server_name(number));
    }
    let first = service("ledger", SHARDS, &[0, 1, 2, 3, 4, 5], shares);
    world.commit(&accept(bundle(1, None, vec![first])).0);
    let end = world.now + ms(3_000);
    let took = world.run_until(end, World::is_settled);
    assert!(
        took.is_some_and(|took| took < ms(700)),
        "settled in {took:?}"
    );
    world.run(ms(1_000));
    world
}

pub fn counts(world: &World) -> Vec<usize> {
    (0..6)
        .map(|number| world.owned(&server_name(number)))
        .collect()
}

pub fn settle_within(world: &mut World, limit: Duration) -> Duration {
    let end = world.now + limit;
    let took = world.run_until(end, World::is_settled);
    took.unwrap_or_else(|| panic!("not settled within {limit:?}: {:?}", counts(world)))
}
