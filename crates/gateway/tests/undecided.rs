//! What a gateway without contact to a leader serves, refuses and avoids while changes are undecided.

use std::time::Duration;

use grebepin_catalog::{
    Catalog, Command, Entry, Fingerprint, Instance, InstanceId, InstanceState, Item, ItemChange,
    ItemContent, ItemKey, ItemKind, Limits, Removal, RequestKind, Route, Service, Version,
    WeightedService,
};
use grebepin_gateway::table::Table;
use grebepin_gateway::undecided::UndecidedChanges;

const HOST: &str = "shop.example";
const INDEX: u64 = 10;

fn route(name: &str, prefix: &str, service: &str, version: u64) -> Item {
    let target = WeightedService {
        service: service.to_owned(),
        weight: 1,
    };
    item(
        name,
        version,
        ItemContent::Route(Route {
            host: HOST.to_owned(),
            prefix: prefix.to_owned(),
            kind: RequestKind::Safe,
            target_latency: Duration::from_millis(300),
            timeout: Duration::from_secs(1),
            maximum_attempts: 2,
            priority: 0,
            targets: vec![target],
        }),
    )
}

fn service(name: &str, version: u64) -> Item {
    let service = Service {
        maximum_connections: 10,
        sharded: false,
        warmup_rate: Some(5.0),
    };
    item(name, version, ItemContent::Service(service))
}

fn limits(body_bytes: u64, idle_seconds: u64, version: u64) -> Item {
    let limits = Limits {
        header_bytes: 1_000,
        body_bytes,
        header_timeout: Duration::from_secs(1),
        idle_timeout: Duration::from_secs(idle_seconds),
    };
    item("", version, ItemContent::Limits(limits))
}

fn item(name: &str, version: u64, content: ItemContent) -> Item {
    Item {
        name: name.to_owned(),
        version: Version(version),
        content,
        document: String::new(),
    }
}

fn set(items: Vec<Item>) -> Command {
    Command::ChangeItems(ItemChange {
        upserts: items,
        removals: Vec::new(),
    })
}

fn remove_route(name: &str) -> Command {
    Command::ChangeItems(ItemChange {
        upserts: Vec::new(),
        removals: vec![Removal {
            key: ItemKey {
                kind: ItemKind::Route,
                name: name.to_owned(),
            },
            version: Version(9),
        }],
    })
}

fn server(name: &str, zone: &str) -> Instance {
    Instance {
        id: InstanceId::new(name),
        service: "a".to_owned(),
        address: "10.0.0.1:80".to_owned(),
        zone: zone.to_owned(),
        slots: 2,
        state: InstanceState::Ready,
        is_cold: false,
    }
}

fn state() -> Catalog {
    let mut catalog = Catalog::default();
    let items = vec![
        service("a", 1),
        service("b", 1),
        limits(500, 4, 1),
        route("outer", "/shop/", "a", 1),
        route("inner", "/shop/cart/", "a", 1),
        route("other", "/other/", "b", 1),
    ];
    let servers = [server("a1", "east"), server("a2", "west")];
    let registrations = servers.map(Command::Register);
    for command in [set(items)].iter().chain(&registrations) {
        assert_eq!(catalog.apply(command).refused, None);
    }
    catalog
}

fn table(undecided: &[Command]) -> Table {
    let mut table = Table::new("gateway", "east");
    table.replace(INDEX, state(), UndecidedChanges::of(undecided));
    table
}

fn is_undecided(table: &Table, path: &str) -> bool {
    let found = table.route(HOST, path);
    let route = found.map(|found| (found.name.as_str(), &*found.route));
    table.undecided().touches_request(HOST, path, route)
}

fn usable(table: &Table) -> Vec<String> {
    let servers = table.usable_servers("a");
    let mut names: Vec<String> = servers.map(|server| server.id.to_string()).collect();
    names.sort();
    names
}

#[test]
fn a_request_is_undecided_only_if_a_change_may_give_it_another_route_or_service() {
    let cases: [(Command, &[&str]); 6] = [
        (set(vec![route("new", "/new/", "b", 9)]), &["/new/x"]),
        (remove_route("inner"), &["/shop/cart/x", "/shop/cart/pay/x"]),
        (set(vec![route("outer", "/shop/", "b", 9)]), &["/shop/x"]),
        (
            set(vec![route("deep", "/shop/cart/pay/", "b", 9)]),
            &["/shop/cart/pay/x"],
        ),
        (set(vec![service("b", 9)]), &["/other/x"]),
        (
            Command::SetEvacuation {
                zone: "east".to_owned(),
                evacuated: true,
                known_call: None,
            },
            &[],
        ),
    ];
    let paths = [
        "/new/x",
        "/shop/x",
        "/shop/cart/x",
        "/shop/cart/pay/x",
        "/other/x",
        "/nothing/x",
    ];
    for (command, touched) in cases {
        let table = table(std::slice::from_ref(&command));
        let undecided = paths.iter().filter(|path| is_undecided(&table, path));
        let undecided: Vec<&str> = undecided.copied().collect();
        assert_eq!(undecided, touched, "{command:?}");
    }
}

#[test]
fn a_server_that_may_be_leaving_or_evacuated_is_not_used() {
    let leaves = Command::SetState {
        id: InstanceId::new("a1"),
        state: InstanceState::Draining,
    };
    let says_so_itself = Command::Register(Instance {
        state: InstanceState::Draining,
        ..server("a1", "east")
    });
    let evacuated = Command::SetEvacuation {
        zone: "east".to_owned(),
        evacuated: true,
        known_call: None,
    };
    assert_eq!(usable(&table(&[])), ["a1", "a2"]);
    for command in [leaves, says_so_itself, evacuated] {
        assert_eq!(usable(&table(&[command])), ["a2"]);
    }
}

/// A drain that may have begun before the gateway started must not give the server its whole drain time.
#[test]
fn a_drain_that_was_undecided_is_not_counted_from_its_decision() {
    let leaves = Command::SetState {
        id: InstanceId::new("a1"),
        state: InstanceState::Draining,
    };
    let entry = Entry {
        commands: vec![leaves.clone()],
    };
    let decided = [(INDEX + 1, entry)];
    assert_eq!(table(&[]).apply(&decided).draining, [InstanceId::new("a1")]);
    assert_eq!(table(&[leaves]).apply(&decided).draining, []);
}

#[test]
fn a_server_that_may_be_cold_and_a_request_that_may_be_quarantined_are_treated_as_such() {
    let fingerprint = Fingerprint::from_hash(7);
    let cold = Instance {
        is_cold: true,
        ..server("a2", "west")
    };
    let quarantine = Command::SetQuarantine {
        fingerprint,
        quarantined: true,
    };
    let table = table(&[Command::Register(cold), quarantine]);
    let cold: Vec<String> = table.cold_servers().map(ToString::to_string).collect();
    assert_eq!(cold, ["a2"]);
    assert!(table.is_cold(&server("a2", "west")) && !table.is_cold(&server("a1", "east")));
    assert!(table.has_quarantined() && table.is_quarantined(fingerprint));
}

#[test]
fn the_more_generous_of_two_limits_applies() {
    let table = table(&[set(vec![limits(300, 8, 9)])]);
    let limits = table.limits().expect("limits");
    let expected = (500, Duration::from_secs(8));
    assert_eq!((limits.body_bytes, limits.idle_timeout), expected);
}

#[test]
fn nothing_is_undecided_once_a_leader_has_decided() {
    let commands = [
        set(vec![route("new", "/new/", "b", 9), limits(300, 8, 9)]),
        Command::SetEvacuation {
            zone: "east".to_owned(),
            evacuated: true,
            known_call: None,
        },
    ];
    let mut table = table(&commands);
    let entry = Entry {
        commands: commands[..1].to_vec(),
    };
    table.apply(&[(INDEX + 1, entry)]);
    table.end_undecided();
    assert!(!is_undecided(&table, "/new/x"));
    assert!(table.route(HOST, "/new/x").is_some());
    assert_eq!(
        usable(&table),
        ["a1", "a2"],
        "the evacuation was not decided"
    );
    assert_eq!(table.limits().map(|limits| limits.body_bytes), Some(300));
}

/// Guards against a gateway that has reached the index of the requested state another way, and serves what the undecided
/// changes after it touch.
#[test]
fn undecided_changes_of_a_state_that_came_too_late_apply() {
    let mut table = table(&[]);
    let entry = Entry {
        commands: Vec::new(),
    };
    table.apply(&[(INDEX + 1, entry)]);
    let change = set(vec![route("new", "/new/", "a", 2)]);
    table.replace(INDEX, state(), UndecidedChanges::of([&change]));
    assert_eq!(table.applied(), INDEX + 1);
    assert!(is_undecided(&table, "/new/x"));
}
