//! Planned moves under load: shard counts are balanced within the churn limits, and then no more moves
//! start.

mod support;

use std::num::NonZeroU32;
use std::time::Duration;

use grebepin_ownership::Guards;
use grebepin_schema::{LoadReport, ServerLoad, ShardId, ShardLoad};
use support::{accept, bundle, ms, server_name, service, service_name, Network, World};

const SHARDS: u32 = 256;

/// Servers of the only side with a share.
const SERVERS: [usize; 3] = [0, 2, 4];

const MOVES_PER_MINUTE: u32 = 300;
const IMBALANCE_PERCENT: usize = 20;

/// Interval between load reports.
const REPORT: Duration = Duration::from_millis(500);

/// Busy time of a shard other than the hot one in a report, in microseconds.
const USUAL_BUSY_US: u64 = 2_000;

/// Why servers 2 and 4 lost their shards.
#[derive(Clone, Copy, Debug)]
enum Absence {
    Drained,
    Frozen,
}

#[derive(Clone, Copy, Debug)]
struct Case {
    absence: Absence,
    /// Load of shard 0, as a multiple of another shard's load.
    hot: u64,
}

const CASES: [Case; 4] = [
    Case {
        absence: Absence::Drained,
        hot: 1,
    },
    Case {
        absence: Absence::Drained,
        hot: 60,
    },
    Case {
        absence: Absence::Frozen,
        hot: 1,
    },
    Case {
        absence: Absence::Frozen,
        hot: 60,
    },
];

impl Case {
    fn busy_us(self, shard: usize) -> u64 {
        match shard {
            0 => USUAL_BUSY_US * self.hot,
            _ => USUAL_BUSY_US,
        }
    }

    /// The load report of a router: all servers, and the hot shard.
    fn report(self, world: &World) -> LoadReport {
        let owners = owners(world);
        let servers = SERVERS.into_iter().map(|number| {
            let owned = (0..owners.len()).filter(|&shard| owners[shard] == Some(number));
            ServerLoad {
                server: server_name(number),
                sent: 100,
                failed: 0,
                refused: 0,
                busy_us: owned.map(|shard| self.busy_us(shard)).sum(),
            }
        });
        let hottest = ShardLoad {
            service: service_name("ledger"),
            shard: ShardId(0),
            requests: 50,
            busy_us: self.busy_us(0),
        };
        LoadReport {
            group: world.state.group(),
            router: "router-1".parse().expect("a name"),
            incarnation: 1,
            in_force: world.state.table_index(),
            interval_ms: REPORT.as_millis() as u64,
            servers: servers.collect(),
            shards: vec![hottest],
        }
    }

    fn run_under_load(self, world: &mut World, length: Duration) {
        let end = world.now + length;
        while world.now < end {
            world.run(REPORT);
            let report = self.report(world);
            world.send_load_report(&report);
        }
    }

    /// Runs until `done` holds; returns the elapsed time, or `None` after `limit`.
    fn run_until(
        self,
        world: &mut World,
        limit: Duration,
        done: impl Fn(&World) -> bool,
    ) -> Option<Duration> {
        let start = world.now;
        while !done(world) {
            if world.now >= start + limit {
                return None;
            }
            self.run_under_load(world, REPORT);
        }
        Some(world.now - start)
    }

    /// A world under load in which servers 2 and 4 have just become available again and own no shards.
    fn returned(self) -> World {
        let mut world = fleet();
        self.run_under_load(&mut world, ms(60_000));
        for number in [2, 4] {
            match self.absence {
                Absence::Drained => drop(world.drain_by_operator(&server_name(number), true)),
                Absence::Frozen => world.freeze(&server_name(number), ms(10_000)),
            }
        }
        self.run_under_load(&mut world, ms(10_000));
        assert_eq!(counts(&world), [SHARDS as usize, 0, 0], "{self:?}");
        if let Absence::Drained = self.absence {
            world.drain_by_operator(&server_name(2), false);
            world.drain_by_operator(&server_name(4), false);
        }
        world
    }
}

fn fleet() -> World {
    let mut world = World::new(Network::reliable(), Guards::all());
    SERVERS
        .into_iter()
        .for_each(|number| world.start(server_name(number)));
    let mut ledger = service("ledger", SHARDS, &SERVERS, [1, 0]);
    ledger.churn.moves_per_minute = MOVES_PER_MINUTE;
    ledger.churn.concurrent_moves = NonZeroU32::new(8).expect("not 0");
    ledger.churn.imbalance_percent = IMBALANCE_PERCENT as u32;
    world.commit(&accept(bundle(1, None, vec![ledger])).0);
    world
}

/// Number of each shard's owner.
fn owners(world: &World) -> Vec<Option<usize>> {
    let table = world.state.table().table;
    let owners = table.services[0].owners.iter();
    owners
        .map(|owner| owner.server.map(|position| SERVERS[position as usize]))
        .collect()
}

fn counts(world: &World) -> [usize; 3] {
    SERVERS.map(|number| world.owned(&server_name(number)))
}

/// Whether no server exceeds its share by more than the policy allows.
fn is_level(world: &World) -> bool {
    let most = SHARDS as usize * (100 + IMBALANCE_PERCENT) / (100 * SERVERS.len());
    counts(world).into_iter().all(|count| count <= most)
}

/// Time to fill both servers up to their shares at the bundle's limit on moves.
fn time_allowed() -> Duration {
    let moves = SHARDS * 2 / 3;
    Duration::from_secs(60) * moves / MOVES_PER_MINUTE
}

#[test]
fn counts_level_out_under_load_as_fast_as_the_limit_on_moves_allows() {
    for case in CASES {
        let mut world = case.returned();
        let moves = world.assignments;
        let took = case.run_until(&mut world, ms(300_000), is_level);
        println!(
            "{case:?}: level after {took:?} and {} moves: {:?}",
            world.assignments - moves,
            counts(&world)
        );
        assert!(
            took.is_some_and(|took| took <= time_allowed()),
            "{case:?}: level after {took:?}, allowed are {:?}: {:?}",
            time_allowed(),
            counts(&world)
        );
    }
}

#[test]
fn nothing_moves_any_more_once_level_under_constant_load() {
    for case in CASES {
        let mut world = case.returned();
        let first = world.assignments;
        let level = case.run_until(&mut world, ms(300_000), is_level);
        assert!(level.is_some(), "{case:?}: {:?}", counts(&world));
        // Moves away from the server with the hot shard wait for new load counts.
        case.run_under_load(&mut world, ms(30_000));
        let before = world.assignments;
        println!(
            "{case:?}: {} moves until rest: {:?}",
            before - first,
            counts(&world)
        );
        case.run_under_load(&mut world, ms(60_000));
        assert_eq!(world.assignments, before, "{case:?}: {:?}", counts(&world));
    }
}

#[test]
fn a_hot_server_gets_no_shards_back_while_the_others_level_out() {
    let case = Case {
        absence: Absence::Drained,
        hot: 150,
    };
    let mut world = fleet();
    case.run_under_load(&mut world, ms(120_000));
    world.drain_by_operator(&server_name(4), true);
    case.run_under_load(&mut world, ms(30_000));
    let hot_owner = owners(&world)[0];
    let shards_of_hot = |world: &World| world.owned(&server_name(hot_owner.expect("an owner")));
    let while_away = (shards_of_hot(&world), counts(&world));
    let before = world.assignments;
    world.drain_by_operator(&server_name(4), false);
    let mut most = 0;
    for _ in 0..80 {
        case.run_under_load(&mut world, REPORT);
        most = most.max(shards_of_hot(&world));
    }
    println!(
        "{while_away:?}, then {:?} after {} moves, most {most}",
        counts(&world),
        world.assignments - before
    );
    assert_eq!(owners(&world)[0], hot_owner);
    assert!(most <= while_away.0, "{while_away:?}, then {most}");
}

#[test]
fn a_new_leader_moves_nothing_before_it_counted_load() {
    for hot in [60, 150] {
        let case = Case {
            absence: Absence::Drained,
            hot,
        };
        let mut world = fleet();
        case.run_under_load(&mut world, ms(120_000));
        let before = (world.assignments, counts(&world));
        world.change_leader(ms(0));
        case.run_under_load(&mut world, ms(60_000));
        let after = (world.assignments, counts(&world));
        assert_eq!(before, after, "{hot}");
    }
}
