use grebepin_catalog::Command;

use super::*;

fn instance(number: u32, address: &str) -> Instance {
    Instance {
        id: InstanceId::new(&format!("i-{number}")),
        service: "s".to_owned(),
        address: address.to_owned(),
        zone: "z".to_owned(),
        slots: 2,
        state: InstanceState::Ready,
        is_cold: false,
    }
}

fn register(
    catalog: &mut Catalog,
    addresses: &mut Addresses,
    instance: Instance,
) -> Vec<InstanceId> {
    let replaced = addresses.live_at(catalog, &instance.address);
    addresses.note(&instance.address, &instance.id);
    catalog.apply(&Command::Register(instance));
    replaced
}

#[test]
fn newcomers_cost_work_that_grows_with_their_number_and_not_its_square() {
    let work = |newcomers: u32| {
        let (mut catalog, mut addresses) = (Catalog::default(), Addresses::default());
        for number in 0..newcomers {
            let address = format!("10.0.{}.{}:80", number / 250, number % 250);
            let replaced = register(&mut catalog, &mut addresses, instance(number, &address));
            assert_eq!(replaced, []);
        }
        addresses.looked_at()
    };
    for newcomers in [500, 1_000, 2_000] {
        assert!(work(newcomers) <= u64::from(newcomers));
    }
}

#[test]
fn the_server_before_at_an_address_is_found_whoever_registered_it() {
    let (mut catalog, mut addresses) = (Catalog::default(), Addresses::default());
    catalog.apply(&Command::Register(instance(1, "10.0.0.1:80")));
    let replaced = register(&mut catalog, &mut addresses, instance(2, "10.0.0.1:80"));
    assert_eq!(replaced, [InstanceId::new("i-1")]);
    let replaced = register(&mut catalog, &mut addresses, instance(3, "10.0.0.1:80"));
    assert_eq!(replaced, [InstanceId::new("i-1"), InstanceId::new("i-2")]);
}

#[test]
fn servers_that_ended_or_were_never_committed_are_not_named() {
    let (mut catalog, mut addresses) = (Catalog::default(), Addresses::default());
    addresses.note("10.0.0.1:80", &InstanceId::new("i-1"));
    assert_eq!(addresses.live_at(&catalog, "10.0.0.1:80"), []);
    register(&mut catalog, &mut addresses, instance(2, "10.0.0.1:80"));
    catalog.apply(&Command::SetState {
        id: InstanceId::new("i-2"),
        state: InstanceState::Gone,
    });
    assert_eq!(addresses.live_at(&catalog, "10.0.0.1:80"), []);
}
