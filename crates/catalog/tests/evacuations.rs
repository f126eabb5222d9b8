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
