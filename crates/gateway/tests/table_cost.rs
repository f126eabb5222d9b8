//! The cost of applying a change, and a gateway's order of preference of servers.

use grebepin_catalog::{Catalog, Command, Entry, Instance, InstanceId, InstanceState};
use grebepin_gateway::server_index::{LOCAL_FIRST, REMOTE_FIRST};
use grebepin_gateway::table::Table;
use grebepin_gateway::undecided::UndecidedChanges;

fn instance(number: usize, zone: &str, state: InstanceState) -> Instance {
    Instance {
        id: InstanceId::new(&format!("i-{number}")),
        service: "s".to_owned(),
        address: format!("10.0.{}.{}:80", number / 250, number % 250),
        zone: zone.to_owned(),
        slots: 2,
        state,
        is_cold: false,
    }
}

/// Table of a gateway in zone `a` with servers alternately in zones `a` and `b`.
fn table_of(node: &str, servers: usize) -> Table {
    let mut catalog = Catalog::default();
    for number in 0..servers {
        let zone = ["a", "b"][number % 2];
        let ready = instance(number, zone, InstanceState::Ready);
        catalog.apply(&Command::Register(ready));
    }
    let mut table = Table::new(node, "a");
    table.replace(1, catalog, UndecidedChanges::default());
    table
}

fn entry(commands: Vec<Command>) -> Entry {
    Entry { commands }
}

fn names(table: &Table) -> Vec<String> {
    let servers = table.usable_servers("s");
    servers.map(|one| one.id.name().to_owned()).collect()
}

#[test]
fn a_draining_server_costs_the_same_work_however_many_there_are() {
    let work = [1_000, 2_000, 4_000].map(|servers| {
        let mut table = table_of("g", servers);
        let before = table.server_updates();
        let drain = Command::SetState {
            id: InstanceId::new("i-7"),
            state: InstanceState::Draining,
        };
        let change = table.apply(&[(2, entry(vec![drain]))]);
        assert!(change.servers && change.owners);
        assert_eq!(names(&table).len(), servers - 1);
        table.server_updates() - before
    });
    assert_eq!(work, [1, 1, 1]);
}

#[test]
fn changes_one_by_one_and_a_whole_state_lead_to_the_same_order() {
    let whole = table_of("g", 60);
    let mut table = Table::new("g", "a");
    for number in (0..60).rev() {
        let zone = ["a", "b"][number % 2];
        let early = instance(number, "b", InstanceState::Ready);
        let later = instance(number, zone, InstanceState::Ready);
        let commands = vec![Command::Register(early), Command::Register(later)];
        let index = table.applied() + 1;
        table.apply(&[(index, entry(commands))]);
    }
    assert_eq!(names(&table), names(&whole));
}

#[test]
fn an_evacuated_zone_is_not_used_until_it_ends() {
    let mut table = table_of("g", 10);
    let set = |evacuated| Command::SetEvacuation {
        zone: "a".to_owned(),
        evacuated,
        known_call: None,
    };
    let before = names(&table);
    table.apply(&[(2, entry(vec![set(true)]))]);
    assert_eq!(names(&table).len(), 5);
    table.apply(&[(3, entry(vec![set(false)]))]);
    assert_eq!(names(&table), before);
}

#[test]
fn the_own_zone_comes_first_and_gateways_prefer_different_servers() {
    let order = names(&table_of("g-1", 200));
    let number = |name: &String| name[2..].parse::<usize>().expect("a number");
    let is_local = |name: &String| number(name).is_multiple_of(2);
    assert!(order[..LOCAL_FIRST].iter().all(is_local));
    let first = LOCAL_FIRST + REMOTE_FIRST;
    assert!(!order[LOCAL_FIRST..first].iter().any(is_local));
    assert!(order[first..100 + REMOTE_FIRST].iter().all(is_local));
    assert_ne!(order, names(&table_of("g-2", 200)));
    // A server that joins does not change the order of the others.
    let more = names(&table_of("g-1", 201));
    let others: Vec<String> = more.into_iter().filter(|name| name != "i-200").collect();
    assert_eq!(others, order);
}
