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
    addresses: &mut AddressIndex,
    instance: Instance,
) -> Vec<InstanceId> {
    let replaced = addresses.live_at(catalog, &instance.address);
    addresses.record(&instance.address, &instance.id);
    catalog.apply(&Command::Register(instance));
    replaced
}

#[test]
fn registration_takes_time_linear_in_the_number_of_servers() {
    let work = |new_servers: u32| {
        let (mut catalog, mut addresses) = (Catalog::default(), AddressIndex::default());
        for number in 0..new_servers {
            let address = format!("10.0.{}.{}:80", number / 250, number % 250);
            let replaced = register(&mut catalog, &mut addresses, instance(number, &address));
            assert_eq!(replaced, []);
        }
        addresses.visited()
    };
    for new_servers in [500, 1_000, 2_000] {
        assert!(work(new_servers) <= u64::from(new_servers));
    }
}

#[test]
fn earlier_servers_at_an_address_are_found_whichever_leader_registered_them() {
    let (mut catalog, mut addresses) = (Catalog::default(), AddressIndex::default());
    catalog.apply(&Command::Register(instance(1, "10.0.0.1:80")));
    let replaced = register(&mut catalog, &mut addresses, instance(2, "10.0.0.1:80"));
    assert_eq!(replaced, [InstanceId::new("i-1")]);
    let replaced = register(&mut catalog, &mut addresses, instance(3, "10.0.0.1:80"));
    assert_eq!(replaced, [InstanceId::new("i-1"), InstanceId::new("i-2")]);
}

#[test]
fn servers_that_are_gone_or_were_never_committed_are_not_returned() {
    let (mut catalog, mut addresses) = (Catalog::default(), AddressIndex::default());
    addresses.record("10.0.0.1:80", &InstanceId::new("i-1"));
    assert_eq!(addresses.live_at(&catalog, "10.0.0.1:80"), []);
    register(&mut catalog, &mut addresses, instance(2, "10.0.0.1:80"));
    catalog.apply(&Command::SetState {
        id: InstanceId::new("i-2"),
        state: InstanceState::Gone,
    });
    assert_eq!(addresses.live_at(&catalog, "10.0.0.1:80"), []);
}
