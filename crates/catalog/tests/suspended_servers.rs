//! Servers whose heartbeats stopped, and which of them return.

use grebepin_catalog::{Catalog, Command, Instance, InstanceId, InstanceState};

fn instance(id: &InstanceId, address: &str, state: InstanceState) -> Instance {
    Instance {
        id: id.clone(),
        service: "s".to_owned(),
        address: address.to_owned(),
        zone: "z".to_owned(),
        slots: 4,
        state,
        is_cold: false,
    }
}

/// A catalog with a server in a state, after its heartbeats have stopped.
fn suspended(id: &InstanceId, state: InstanceState) -> Catalog {
    let mut catalog = Catalog::default();
    catalog.apply(&Command::Register(instance(id, "a", state)));
    let effects = catalog.apply(&Command::Suspend { id: id.clone() });
    assert_eq!(effects.instances.as_slice(), std::slice::from_ref(id));
    assert!(!catalog.is_live(id));
    catalog
}

#[test]
fn a_server_whose_heartbeats_stopped_returns_with_its_next_registration() {
    let id = InstanceId::new("i-1");
    let mut catalog = suspended(&id, InstanceState::Ready);
    assert!(!catalog.has_ended(&id));
    let ready = instance(&id, "a", InstanceState::Ready);
    let effects = catalog.apply(&Command::Register(ready));
    assert_eq!(effects.instances.as_slice(), std::slice::from_ref(&id));
    assert!(catalog.is_live(&id));
    // It is an ordinary server again: it can be suspended once more, and ended for good.
    catalog.apply(&Command::Suspend { id: id.clone() });
    let gone = InstanceState::Gone;
    catalog.apply(&Command::Register(instance(&id, "a", InstanceState::Ready)));
    catalog.apply(&Command::SetState {
        id: id.clone(),
        state: gone,
    });
    assert!(catalog.has_ended(&id));
}

#[test]
fn a_server_that_drained_before_its_heartbeats_stopped_does_not_return() {
    let id = InstanceId::new("i-1");
    let mut catalog = suspended(&id, InstanceState::Draining);
    assert!(catalog.has_ended(&id));
    let ready = instance(&id, "a", InstanceState::Ready);
    assert!(catalog
        .apply(&Command::Register(ready))
        .instances
        .is_empty());
}

#[test]
fn a_server_does_not_return_once_a_later_incarnation_is_known() {
    let id = InstanceId::started_at("i-1", 1);
    for address in ["a", "b"] {
        let mut catalog = suspended(&id, InstanceState::Ready);
        let later = InstanceId::started_at("i-1", 2);
        catalog.apply(&Command::Register(instance(
            &later,
            address,
            InstanceState::Ready,
        )));
        assert!(catalog.has_ended(&id), "{address}");
        catalog.apply(&Command::Suspend { id: later });
        let ready = instance(&id, "a", InstanceState::Ready);
        assert!(catalog
            .apply(&Command::Register(ready))
            .instances
            .is_empty());
    }
}

/// Guards against a server that is ended for good by a heartbeat of another writer with its address. That late heartbeats
/// of a server that ended do not bring it back is decided by the leader, which hears who keeps sending them.
#[test]
fn a_server_whose_address_another_took_over_is_suspended_only() {
    let (id, other) = (InstanceId::new("i-1"), InstanceId::new("i-2"));
    let ready = |id: &InstanceId| instance(id, "a", InstanceState::Ready);
    let mut catalog = Catalog::default();
    catalog.apply(&Command::Register(ready(&id)));
    for _ in 0..3 {
        for (holder, next) in [(&id, &other), (&other, &id)] {
            catalog.apply(&Command::Suspend { id: holder.clone() });
            catalog.apply(&Command::Register(ready(next)));
            assert!(catalog.is_live(next) && !catalog.is_live(holder));
            assert!(catalog.is_suspended(holder) && !catalog.has_ended(holder));
        }
    }
}

/// Guards against a leave that is acknowledged and forgotten because it arrives before the first heartbeat.
#[test]
fn a_leave_before_the_registration_holds_for_that_incarnation_only() {
    let (first, second) = (
        InstanceId::started_at("i-1", 1),
        InstanceId::started_at("i-1", 2),
    );
    for left in [first.clone(), InstanceId::new("i-1")] {
        let mut catalog = Catalog::default();
        catalog.apply(&Command::RecordLeave { id: left.clone() });
        for (id, state) in [
            (&first, InstanceState::Draining),
            (&second, InstanceState::Ready),
        ] {
            let ready = instance(id, "a", InstanceState::Ready);
            for _ in 0..2 {
                catalog.apply(&Command::Register(ready.clone()));
                let known = catalog.instance(id).expect("registered");
                assert_eq!(known.state, state, "{left} {id}");
            }
        }
    }
}

#[test]
fn a_leave_while_the_heartbeats_are_missing_holds_when_they_return() {
    let id = InstanceId::new("i-1");
    let mut catalog = suspended(&id, InstanceState::Ready);
    catalog.apply(&Command::RecordLeave { id: id.clone() });
    let ready = instance(&id, "a", InstanceState::Ready);
    catalog.apply(&Command::Register(ready));
    let known = catalog.instance(&id).expect("registered");
    assert_eq!(known.state, InstanceState::Draining);
}

#[test]
fn the_leaves_of_unknown_servers_are_bounded() {
    let mut catalog = Catalog::default();
    for number in 0..5_000 {
        let id = InstanceId::new(&format!("i-{number}"));
        catalog.apply(&Command::RecordLeave { id });
    }
    let bytes = rmp_serde::to_vec(&catalog).expect("encoded").len();
    assert!(bytes < 40_000, "{bytes}");
}
