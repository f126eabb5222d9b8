//! Evacuation of zones: commands are idempotent, zones are independent, and servers may be cold afterwards.

use grebepin_catalog::{
    Catalog, Command, EvacuationChange, Instance, InstanceId, InstanceState, Item, ItemChange,
    ItemContent, Service, Version,
};

fn service(warmup_rate: Option<f64>) -> Command {
    Command::ChangeItems(ItemChange {
        upserts: vec![Item {
            name: "s".to_owned(),
            version: Version(1),
            content: ItemContent::Service(Service {
                maximum_connections: 100,
                sharded: false,
                warmup_rate,
            }),
            document: String::new(),
        }],
        removals: Vec::new(),
    })
}

fn server(name: &str, zone: &str) -> Command {
    Command::Register(Instance {
        id: InstanceId::new(name),
        service: "s".to_owned(),
        address: "10.0.0.1:80".to_owned(),
        zone: zone.to_owned(),
        slots: 2,
        state: InstanceState::Ready,
        is_cold: false,
    })
}

fn set_evacuation(zone: &str, evacuated: bool) -> Command {
    Command::SetEvacuation {
        zone: zone.to_owned(),
        evacuated,
        known_call: None,
    }
}

fn catalog(warmup_rate: Option<f64>) -> Catalog {
    let mut catalog = Catalog::default();
    for command in [
        service(warmup_rate),
        server("a", "east"),
        server("b", "west"),
    ] {
        catalog.apply(&command);
    }
    catalog
}

fn usable(catalog: &Catalog) -> Vec<&str> {
    let usable = catalog
        .instances()
        .filter(|instance| catalog.is_usable(instance));
    usable.map(|instance| instance.id.name()).collect()
}

fn cold(catalog: &Catalog) -> Vec<&str> {
    let cold = catalog.instances().filter(|instance| instance.is_cold);
    cold.map(|instance| instance.id.name()).collect()
}

#[test]
fn an_evacuation_affects_only_its_zone_and_repeating_it_changes_nothing() {
    let mut catalog = catalog(None);
    let started = Some(EvacuationChange {
        zone: "east".to_owned(),
        evacuated: true,
    });
    assert_eq!(
        catalog.apply(&set_evacuation("east", true)).evacuation,
        started
    );
    assert_eq!(
        catalog.apply(&set_evacuation("east", true)).evacuation,
        None
    );
    assert_eq!(usable(&catalog), vec!["b"]);
    catalog.apply(&server("c", "east"));
    assert_eq!(
        usable(&catalog),
        vec!["b"],
        "a server that registers during the evacuation is not usable either"
    );
    assert_eq!(
        catalog.apply(&set_evacuation("west", false)).evacuation,
        None
    );
    catalog.apply(&set_evacuation("west", true));
    assert!(
        usable(&catalog).is_empty(),
        "no server is usable while all zones are evacuated"
    );
    assert!(catalog
        .apply(&set_evacuation("east", false))
        .evacuation
        .is_some());
    assert_eq!(usable(&catalog), vec!["a", "c"]);
}

#[test]
fn after_an_evacuation_servers_count_as_cold_until_their_next_heartbeat() {
    let mut catalog = catalog(Some(6.7));
    catalog.apply(&set_evacuation("east", true));
    assert!(cold(&catalog).is_empty());
    catalog.apply(&set_evacuation("east", false));
    assert_eq!(cold(&catalog), vec!["a"]);
    catalog.apply(&server("a", "east"));
    assert!(cold(&catalog).is_empty());
}

#[test]
fn without_a_warmup_rate_no_server_counts_as_cold() {
    let mut catalog = catalog(None);
    catalog.apply(&set_evacuation("east", true));
    catalog.apply(&set_evacuation("east", false));
    assert!(cold(&catalog).is_empty());
}

fn call(evacuated: bool, known_call: u64) -> Command {
    Command::SetEvacuation {
        zone: "east".to_owned(),
        evacuated,
        known_call: Some(known_call),
    }
}

/// Guards against an old call to end an evacuation that undoes a later start.
#[test]
fn a_call_that_did_not_know_of_a_later_one_for_its_zone_changes_nothing() {
    let mut catalog = catalog(None);
    catalog.apply(&call(true, 0));
    let known_to_late_call = catalog.last_evacuation_call();
    catalog.apply(&call(false, known_to_late_call));
    catalog.apply(&call(true, catalog.last_evacuation_call()));
    let before = catalog.clone();
    let effects = catalog.apply(&call(false, known_to_late_call));
    assert!(effects.is_superseded);
    assert_eq!(effects.evacuation, None);
    assert_eq!(catalog, before);
    let repeated = catalog.apply(&call(false, catalog.last_evacuation_call()));
    assert!(
        repeated.evacuation.is_some(),
        "repeated with what is known now"
    );
}

/// Guards against an old call that undoes a later one which changed nothing when it was acknowledged.
#[test]
fn a_call_that_was_in_force_already_counts_as_later_too() {
    let mut catalog = catalog(None);
    catalog.apply(&call(true, 0));
    let known_to_late_call = catalog.last_evacuation_call();
    catalog.apply(&call(true, known_to_late_call));
    assert!(
        catalog
            .apply(&call(false, known_to_late_call))
            .is_superseded
    );
    assert_eq!(usable(&catalog), vec!["b"]);
}

#[test]
fn a_repeated_call_is_acknowledged_however_little_its_receiver_knew() {
    let mut catalog = catalog(None);
    for _ in 0..3 {
        let effects = catalog.apply(&call(true, 0));
        assert!(!effects.is_superseded);
    }
}

#[test]
fn calls_for_other_zones_supersede_nothing() {
    let mut catalog = catalog(None);
    catalog.apply(&set_evacuation("west", true));
    catalog.apply(&set_evacuation("west", false));
    assert!(catalog.apply(&call(true, 0)).evacuation.is_some());
}
