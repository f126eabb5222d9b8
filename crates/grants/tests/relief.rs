//! Load is moved away from servers that can't process it: servers that state a rate, ask for no
//! requests, or send their heartbeats right before all others.

mod division;
mod support;

use grebepin_catalog::{Catalog, SHARDS};
use grebepin_grants::{LoadSample, ServerSample};

use division::{commands, divided, heartbeat, id, ms, owned, owned_shards, round, timing};
use support::SERVICE;

/// Distance of the shards that get a request a second: about ten for each of four servers, well within
/// their capacity.
const REQUEST_STEP: usize = SHARDS / 40;

/// Requests a second that one of them states to accept.
const STATED_RATE: f32 = 2.5;

/// Load report for a second in which every `request_step`-th shard got one request.
fn sample(request_step: usize, servers: impl Iterator<Item = ServerSample>) -> LoadSample {
    let shards = (0..SHARDS as u16).step_by(request_step);
    LoadSample {
        shards: vec![(SERVICE.to_owned(), shards.map(|shard| (shard, 1)).collect())],
        servers: servers.collect(),
    }
}

/// Requests a second for the shards of server 1.
fn requests_to_server_1(catalog: &Catalog, request_step: usize) -> usize {
    let owned = owned_shards(catalog, 1).into_iter();
    let requests = owned.filter(|shard| usize::from(*shard).is_multiple_of(request_step));
    requests.count()
}

/// A server that states a rate below the load of its shards keeps only shards that fit the rate; the
/// others move to servers with spare capacity.
#[test]
fn a_server_that_states_a_rate_keeps_only_the_shards_that_it_can_serve() {
    let (mut coordinator, mut catalog) = divided(4);
    let before = owned(&catalog, 4);
    let mut second = |range: std::ops::Range<u64>, stated_rate: Option<f32>| {
        for sequence in range {
            let now = ms(sequence * 1_000);
            let servers = (0..4_usize).map(|number| ServerSample {
                id: id(number),
                answers: 10,
                seconds: 0.5,
                stated_rate: stated_rate.filter(|_| number == 1),
                cooldown: None,
                is_leaving: false,
            });
            coordinator.on_load(now, &catalog, &sample(REQUEST_STEP, servers));
            round(&mut coordinator, &mut catalog, now, 4, sequence, false);
        }
        (
            requests_to_server_1(&catalog, REQUEST_STEP),
            owned(&catalog, 4),
        )
    };
    let (requests, before_limit) = second(8..20, None);
    assert!(
        requests as f32 > STATED_RATE * 3.0 && before_limit == before,
        "{requests}, {before:?} became {before_limit:?}"
    );
    let (requests, limited) = second(20..40, Some(STATED_RATE));
    assert!(
        requests as f32 <= STATED_RATE,
        "{requests} requests a second are for its shards"
    );
    let (_, after) = second(40..60, None);
    assert_eq!(after, limited, "nothing moves back while no server is busy");
}

/// Guards against moving an excess a few shards at a time: owners that stated a rate in turn for three
/// seconds each refused a third of all requests in their first two seconds.
#[test]
fn load_above_a_stated_rate_moves_away_at_once() {
    const REQUEST_STEP: usize = SHARDS / 400;
    const STATED_RATE: usize = 25;
    let (mut coordinator, mut catalog) = divided(4);
    for sequence in 8..15_u64 {
        let now = ms(sequence * 1_000);
        let servers = (0..4_usize).map(|number| ServerSample {
            id: id(number),
            answers: 100,
            seconds: 1.0,
            stated_rate: (number == 1 && sequence >= 12).then_some(STATED_RATE as f32),
            cooldown: None,
            is_leaving: false,
        });
        coordinator.on_load(now, &catalog, &sample(REQUEST_STEP, servers));
        round(&mut coordinator, &mut catalog, now, 4, sequence, false);
    }
    let requests = requests_to_server_1(&catalog, REQUEST_STEP);
    assert!(
        requests <= STATED_RATE,
        "{requests} requests a second are for its shards"
    );
}

/// Guards against an owner that asks for no requests for three seconds at a time, repeatedly, and keeps
/// its shards throughout.
#[test]
fn requested_shards_move_away_from_a_server_that_accepts_no_requests() {
    for (cooldown, moves) in [(0.9, false), (30.0, true)] {
        let (mut coordinator, mut catalog) = divided(4);
        for sequence in 8..20_u64 {
            let now = ms(sequence * 1_000);
            let servers = (0..4_usize).map(|number| ServerSample {
                id: id(number),
                answers: if number == 1 { 0 } else { 10 },
                seconds: 0.5,
                stated_rate: None,
                cooldown: (number == 1).then_some(cooldown),
                is_leaving: false,
            });
            coordinator.on_load(now, &catalog, &sample(REQUEST_STEP, servers));
            round(&mut coordinator, &mut catalog, now, 4, sequence, false);
        }
        let requests = requests_to_server_1(&catalog, REQUEST_STEP);
        assert_eq!(
            requests <= 1,
            moves,
            "{cooldown} s: {requests} requests a second are for its shards"
        );
        let all: usize = owned(&catalog, 4).iter().sum();
        assert!(all > SHARDS * 9 / 10, "{all} shards have an owner");
    }
}

/// Guards against a server that states a fraction of its load and keeps all its shards for 13 s, so that
/// every ninth request is refused. It happened when all servers had started together: the server's
/// heartbeat came first and those of the others followed so shortly that none was due late enough,
/// within the search window, to take over a shard.
#[test]
fn a_busy_server_is_relieved_when_all_others_send_heartbeats_right_after_it() {
    let (mut coordinator, mut catalog) = divided(4);
    let before = owned_shards(&catalog, 0).len();
    for sequence in 8..20_u64 {
        let now = ms(sequence * 1_000);
        let servers = (0..4_usize).map(|number| ServerSample {
            id: id(number),
            answers: 40,
            seconds: if number == 0 { 3.6 } else { 0.3 },
            stated_rate: None,
            cooldown: None,
            is_leaving: false,
        });
        coordinator.on_load(now, &catalog, &sample(25, servers));
        for number in 0..4_usize {
            let at = now + ms(20) * number as u32;
            let heartbeat = heartbeat(number, sequence);
            let all = commands(coordinator.on_heartbeat(at, &catalog, &heartbeat));
            all.iter().for_each(|command| _ = catalog.apply(command));
            coordinator.grant(at, &catalog, &heartbeat);
        }
    }
    let after = owned_shards(&catalog, 0).len();
    assert!(after < before * 3 / 4, "{before} shards became {after}");
    let all: usize = owned(&catalog, 4).iter().sum();
    assert!(all > SHARDS * 9 / 10, "{all} shards have an owner");
}

/// Guards against a drain that is counted from the server's next heartbeat: by then gateways had used up a part of
/// the time in which they still send it requests, and its last shards were refused.
#[test]
fn a_drain_that_gateways_report_is_counted_from_their_report() {
    let (mut coordinator, mut catalog) = divided(4);
    let reported = ms(8_000);
    let leaving = ServerSample {
        id: id(1),
        answers: 10,
        seconds: 0.5,
        stated_rate: None,
        cooldown: None,
        is_leaving: true,
    };
    coordinator.on_load(
        reported,
        &catalog,
        &sample(REQUEST_STEP, [leaving].into_iter()),
    );
    let drains = coordinator.tick(reported + ms(100), &catalog);
    drains.iter().for_each(|command| _ = catalog.apply(command));
    let first = reported + ms(900);
    let after_window = reported + timing().drain_window;
    let mut granted = Vec::new();
    for (at, sequence) in [(first, 8), (after_window, 9)] {
        let heartbeat = heartbeat(1, sequence);
        let all = commands(coordinator.on_heartbeat(at, &catalog, &heartbeat));
        all.iter().for_each(|command| _ = catalog.apply(command));
        granted = coordinator
            .grant(at, &catalog, &heartbeat)
            .map_or(Vec::new(), |grant| grant.rows);
    }
    assert_eq!(granted.len(), 0, "rows granted after the drain window");
}
