//! Evacuations as replicated state: idempotent, each zone by itself, with servers that may be cold afterwards.

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

fn set(zone: &str, evacuated: bool) -> Command {
    Command::SetEvacuation {
        zone: zone.to_owned(),
        evacuated,
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
    let usable = catalog.instances().filter(|one| catalog.is_usable(one));
    usable.map(|one| one.id.name()).collect()
}

fn cold(catalog: &Catalog) -> Vec<&str> {
    let cold = catalog.instances().filter(|one| one.is_cold);
    cold.map(|one| one.id.name()).collect()
}

#[test]
fn an_evacuation_bars_its_zone_alone_and_the_same_order_again_changes_nothing() {
    let mut catalog = catalog(None);
    let begun = Some(EvacuationChange {
        zone: "east".to_owned(),
        evacuated: true,
    });
    assert_eq!(catalog.apply(&set("east", true)).evacuation, begun);
    assert_eq!(catalog.apply(&set("east", true)).evacuation, None);
    assert_eq!(usable(&catalog), vec!["b"]);
    catalog.apply(&server("c", "east"));
    assert_eq!(
        usable(&catalog),
        vec!["b"],
        "a newcomer there is barred as well"
    );
    assert_eq!(catalog.apply(&set("west", false)).evacuation, None);
    catalog.apply(&set("west", true));
    assert!(
        usable(&catalog).is_empty(),
        "all zones at once leave nobody"
    );
    assert!(catalog.apply(&set("east", false)).evacuation.is_some());
    assert_eq!(usable(&catalog), vec!["a", "c"]);
}

#[test]
fn after_an_evacuation_servers_count_as_cold_until_they_say_otherwise() {
    let mut catalog = catalog(Some(6.7));
    catalog.apply(&set("east", true));
    assert!(cold(&catalog).is_empty());
    catalog.apply(&set("east", false));
    assert_eq!(cold(&catalog), vec!["a"]);
    catalog.apply(&server("a", "east"));
    assert!(cold(&catalog).is_empty());
}

#[test]
fn where_warming_up_bounds_nothing_no_server_counts_as_cold() {
    let mut catalog = catalog(None);
    catalog.apply(&set("east", true));
    catalog.apply(&set("east", false));
    assert!(cold(&catalog).is_empty());
}
