//! The replicated state: compare-and-set on epochs, deltas, snapshots, determinism.

mod support;

use proptest::prelude::*;

use grebepin_ownership::{AssignmentRefusal, Guard, Guards, Outcome, OwnershipState, RestoreError};
use grebepin_schema::{
    AssignShards, Assignment, Command, Epoch, GroupId, LogIndex, RegisterBoot, ServerStanding,
    SetStanding, ShardId, StandingOrigin, TableDelta, TableSnapshot,
};
use support::{accept, bundle, server_name, service, service_name};

const SHARDS: u32 = 6;
const SERVERS: usize = 4;

fn assignment(shard: u32, expected: u64, server: Option<usize>) -> Assignment {
    Assignment {
        service: service_name("ledger"),
        shard: ShardId(shard),
        expected_epoch: Epoch(expected),
        server: server.map(server_name),
        released: shard.is_multiple_of(2),
    }
}

fn assign(assignments: Vec<Assignment>) -> Command {
    Command::Assign(AssignShards { assignments })
}

fn set_standing(server: usize, standing: ServerStanding) -> Command {
    Command::SetStanding(SetStanding {
        server: server_name(server),
        standing,
        origin: StandingOrigin::Operator,
    })
}

fn state(guards: Guards) -> OwnershipState {
    let mut state = OwnershipState::with_guards(GroupId(0), guards);
    let ledger = service("ledger", SHARDS, &[0, 1, 2], [1, 1]);
    let other = service("other", SHARDS, &[3], [1, 1]);
    state.apply(LogIndex(1), &accept(bundle(1, None, vec![ledger, other])).0);
    state.apply(LogIndex(2), &assign(vec![assignment(0, 0, Some(0))]));
    state.apply(LogIndex(3), &set_standing(2, ServerStanding::Draining));
    state
}

fn refusal(state: &mut OwnershipState, assignment: Assignment) -> Option<AssignmentRefusal> {
    let applied = state.apply(LogIndex(9), &assign(vec![assignment]));
    let Outcome::Assigned(assigned) = applied.outcome else {
        panic!("not assignments");
    };
    assigned.refused.first().map(|refused| refused.reason)
}

#[test]
fn assignments_stand_only_at_the_expected_epoch_and_to_servers_that_may_receive() {
    let mut unknown = assignment(1, 0, Some(1));
    unknown.service = service_name("none");
    let stale = AssignmentRefusal::EpochMismatch { current: Epoch(2) };
    let cases = [
        (assignment(0, 2, Some(1)), None),
        (assignment(0, 2, None), None),
        (assignment(1, 0, Some(1)), None),
        (assignment(0, 0, Some(1)), Some(stale)),
        (assignment(0, 3, Some(1)), Some(stale)),
        (unknown, Some(AssignmentRefusal::UnknownService)),
        (
            assignment(SHARDS, 0, Some(1)),
            Some(AssignmentRefusal::UnknownShard),
        ),
        (
            assignment(1, 0, Some(7)),
            Some(AssignmentRefusal::UnknownServer),
        ),
        (
            assignment(1, 0, Some(3)),
            Some(AssignmentRefusal::UnknownServer),
        ),
        (
            assignment(1, 0, Some(2)),
            Some(AssignmentRefusal::ServerNotActive),
        ),
    ];
    for (assignment, expected) in cases {
        let what = format!("{assignment:?}");
        assert_eq!(
            refusal(&mut state(Guards::all()), assignment),
            expected,
            "{what}"
        );
    }
}

#[test]
fn without_compare_and_set_a_stale_assignment_stands() {
    let mut state = state(Guards::without(Guard::CompareAndSet));
    assert_eq!(refusal(&mut state, assignment(0, 0, Some(1))), None);
}

#[test]
fn a_new_boot_gives_every_shard_of_the_server_a_fresh_epoch() {
    let mut state = state(Guards::all());
    let boot = |expected_boot, boot| {
        Command::RegisterBoot(RegisterBoot {
            server: server_name(0),
            expected_boot,
            boot,
        })
    };
    let epoch = |state: &OwnershipState| {
        let owner = state.owner(&service_name("ledger"), ShardId(0));
        owner.expect("a shard").epoch
    };
    state.apply(LogIndex(10), &boot(None, 77));
    assert_eq!(epoch(&state), Epoch(10));
    state.apply(LogIndex(11), &boot(None, 78));
    assert_eq!(
        epoch(&state),
        Epoch(10),
        "another boot was recorded meanwhile"
    );
    state.apply(LogIndex(12), &boot(Some(77), 78));
    assert_eq!(epoch(&state), Epoch(12));
}

#[test]
fn deltas_reach_back_only_to_what_is_kept() {
    let mut state = state(Guards::all());
    assert!(
        state.delta_since(LogIndex(0)).is_none(),
        "before the bundle"
    );
    assert!(
        state.delta_since(LogIndex(4)).is_none(),
        "ahead of this replica"
    );
    let empty = state.delta_since(LogIndex(3)).expect("kept");
    assert!(empty.owners.is_empty() && empty.standings.is_empty());
    let mut restored = OwnershipState::new(GroupId(0));
    restored
        .restore(&state.snapshot())
        .expect("a valid snapshot");
    assert!(
        restored.delta_since(LogIndex(2)).is_none(),
        "before the snapshot"
    );
    state.skip(LogIndex(5));
    let ahead = state
        .delta_since(LogIndex(5))
        .expect("nothing changed since");
    assert_eq!(ahead.index, LogIndex(5));
}

#[test]
fn damaged_snapshots_are_refused_and_change_nothing() {
    let whole = state(Guards::all()).snapshot();
    let mut other = OwnershipState::new(GroupId(1));
    let refused = other.restore(&whole);
    assert!(matches!(refused, Err(RestoreError::OtherGroup { .. })));
    let mut state = state(Guards::all());
    for length in 0..whole.len() {
        assert!(state.restore(&whole[..length]).is_err(), "cut at {length}");
    }
    for position in 0..whole.len() {
        let mut damaged = whole.clone();
        damaged[position] ^= 0x55;
        let _ = state.restore(&damaged);
    }
    state.restore(&whole).expect("a valid snapshot");
    assert_eq!(state.snapshot(), whole);
}

/// Applies a delta to a table, as a router does.
fn patched(mut table: TableSnapshot, delta: &TableDelta) -> TableSnapshot {
    assert_eq!(table.index, delta.previous);
    for service in &mut table.table.services {
        for change in delta
            .owners
            .iter()
            .filter(|change| change.service == service.service.name)
        {
            service.owners[change.shard.0 as usize] = change.owner.clone();
        }
        for change in delta
            .standings
            .iter()
            .filter(|it| it.service == service.service.name)
        {
            let servers = &service.service.servers;
            let position = servers
                .iter()
                .position(|server| server.name == change.server);
            service.standings[position.expect("a listed server")] = change.standing;
        }
    }
    table.index = delta.index;
    table
}

fn command() -> impl Strategy<Value = Vec<(u32, Option<usize>, u8)>> {
    let one = (0..SHARDS, proptest::option::of(0..SERVERS), 0u8..12);
    proptest::collection::vec(one, 1..4)
}

/// Maps random numbers to a command for the state, mostly assignments at the current epoch.
fn command_for(state: &OwnershipState, picks: &[(u32, Option<usize>, u8)]) -> Command {
    let (shard, server, kind) = picks[0];
    let number = server.unwrap_or(shard as usize % SERVERS);
    match kind {
        0 => set_standing(number, ServerStanding::Draining),
        1 => set_standing(number, ServerStanding::Active),
        2 => Command::RegisterBoot(RegisterBoot {
            server: server_name(number),
            expected_boot: None,
            boot: 5,
        }),
        3 => {
            let record = state.bundle_record().expect("in force");
            let listed = [vec![0, 1, 2], vec![0, 2], vec![1, 2], vec![2, 1, 0]];
            let ledger = service("ledger", SHARDS, &listed[number % 4], [1, 1]);
            let other = service("other", SHARDS, &[3], [1, 1]);
            let services = [vec![ledger.clone(), other], vec![ledger]];
            let services = services[shard as usize % 2].clone();
            accept(bundle(
                record.version + 1,
                Some(record.digest.clone()),
                services,
            ))
            .0
        }
        _ => assign(
            picks
                .iter()
                .map(|&(shard, server, kind)| {
                    let name = service_name(if kind > 10 { "other" } else { "ledger" });
                    let owner = state.owner(&name, ShardId(shard));
                    let epoch = owner.map_or(0, |owner| owner.epoch.0);
                    Assignment {
                        service: name,
                        ..assignment(shard, epoch, server)
                    }
                })
                .collect(),
        ),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn deltas_equal_the_difference_of_tables_and_snapshots_equal_the_state(
        commands in proptest::collection::vec(command(), 1..40),
        router_every in 1usize..6,
    ) {
        let mut state = state(Guards::all());
        let mut twin = OwnershipState::new(GroupId(0));
        twin.restore(&state.snapshot()).expect("a valid snapshot");
        let mut router = state.table();
        for (number, picks) in commands.iter().enumerate() {
            let index = LogIndex(10 + number as u64);
            let command = command_for(&state, picks);
            let applied = state.apply(index, &command);
            prop_assert_eq!(&applied, &twin.apply(index, &command));
            prop_assert_eq!(state.snapshot(), twin.snapshot());
            if number % 7 == 6 {
                let snapshot = state.snapshot();
                twin = OwnershipState::new(GroupId(0));
                twin.restore(&snapshot).expect("a valid snapshot");
                prop_assert_eq!(twin.snapshot(), snapshot);
                prop_assert_eq!(twin.table(), state.table());
            }
            if number % router_every == 0 {
                router = match state.delta_since(router.index) {
                    Some(delta) => patched(router, &delta),
                    None => state.table(),
                };
                prop_assert_eq!(&router, &state.table());
            }
        }
    }
}
