//! A service whose shards are distributed among servers over rounds of heartbeats.

use std::time::Duration;

use grebepin_catalog::{Catalog, Command, InstanceId};
use grebepin_grants::{Coordinator, Heartbeat, HeartbeatOutcome, Timing};

use super::support::{self, sharded_service, SERVICE};

pub fn ms(number: u64) -> Duration {
    Duration::from_millis(number)
}

pub fn timing() -> Timing {
    Timing {
        lease: ms(5_000),
        heartbeat_interval: ms(1_000),
        drain_window: ms(1_000),
        evacuation_window: ms(1_500),
        server_timeout: ms(10_000),
    }
}

pub fn catalog() -> Catalog {
    sharded_service(Some(6.7))
}

pub fn id(number: usize) -> InstanceId {
    InstanceId::new(&format!("i-{number}"))
}

pub fn heartbeat(number: usize, sequence: u64) -> Heartbeat {
    support::heartbeat(&id(number), number as u64, sequence)
}

pub fn commands(outcome: HeartbeatOutcome) -> Vec<Command> {
    match outcome {
        HeartbeatOutcome::Fresh(commands) => commands,
        HeartbeatOutcome::Stale | HeartbeatOutcome::Incomplete => Vec::new(),
    }
}

/// Sends one heartbeat of each server: in turn, over half an interval, or all at one time when
/// `together`. In that case their commands are applied together afterwards, as under load.
pub fn round(
    coordinator: &mut Coordinator,
    catalog: &mut Catalog,
    now: Duration,
    count: usize,
    sequence: u64,
    together: bool,
) -> Vec<Command> {
    let due = coordinator.tick(now, catalog);
    due.iter().for_each(|command| _ = catalog.apply(command));
    let mut all = Vec::new();
    let at = |number: usize| match together {
        true => now,
        false => now + timing().heartbeat_interval * number as u32 / (2 * count as u32),
    };
    for number in 0..count {
        let outcome = coordinator.on_heartbeat(at(number), catalog, &heartbeat(number, sequence));
        let one = commands(outcome);
        if !together {
            one.iter().for_each(|command| _ = catalog.apply(command));
        }
        all.extend(one);
    }
    if together {
        all.iter().for_each(|command| _ = catalog.apply(command));
    }
    for number in 0..count {
        let grant = coordinator.grant(at(number), catalog, &heartbeat(number, sequence));
        assert!(
            grant.is_some(),
            "a server of a sharded service gets a grant"
        );
    }
    all
}

/// A service whose shards were distributed among `count` servers over seven rounds of heartbeats.
pub fn divided(count: usize) -> (Coordinator, Catalog) {
    let (mut coordinator, mut catalog) = (Coordinator::new(timing(), ms(0)), catalog());
    for sequence in 1..8 {
        let now = ms(sequence * 1_000);
        round(&mut coordinator, &mut catalog, now, count, sequence, false);
    }
    (coordinator, catalog)
}

pub fn owned(catalog: &Catalog, count: usize) -> Vec<usize> {
    let ownership = catalog.ownership(SERVICE).expect("assigned");
    (0..count)
        .map(|number| ownership.owned_count(&id(number)))
        .collect()
}

pub fn owned_shards(catalog: &Catalog, number: usize) -> Vec<u16> {
    let ownership = catalog.ownership(SERVICE).expect("assigned");
    let shards = ownership.owned_by(&id(number));
    shards.map(|shard| shard as u16).collect()
}
