//! Shard ownership and server states in the catalog.

use grebepin_catalog::{
    Catalog, Command, FreedShard, Instance, InstanceId, InstanceState, ShardOwnership,
};

fn id(name: &str) -> InstanceId {
    InstanceId::new(name)
}

fn freed(shard: u16, fence: u64) -> FreedShard {
    FreedShard {
        shard,
        fence,
        handover: format!("handover of {shard}"),
    }
}

fn instance(name: &str, state: InstanceState) -> Instance {
    Instance {
        id: id(name),
        service: "s".to_owned(),
        address: "10.0.0.1:80".to_owned(),
        zone: "z".to_owned(),
        slots: 2,
        state,
        is_cold: false,
    }
}

#[test]
fn a_shard_is_freed_before_it_is_assigned_again_under_a_higher_fence() {
    let mut ownership = ShardOwnership::default();
    assert_eq!(ownership.assign(&id("a"), &[0, 1]), vec![0, 1]);
    assert_eq!(
        ownership.assign(&id("b"), &[1, 2]),
        vec![2],
        "shard 1 has an owner"
    );
    let first = ownership.shards()[1].fence;
    assert_eq!(ownership.free(&id("a"), &[freed(1, first)]), vec![1]);
    assert_eq!(ownership.assign(&id("b"), &[1]), vec![1]);
    assert!(ownership.shards()[1].fence > first);
}

#[test]
fn a_late_release_does_not_free_a_shard_that_was_assigned_again() {
    let mut ownership = ShardOwnership::default();
    ownership.assign(&id("a"), &[7]);
    let first = ownership.shards()[7].fence;
    ownership.free(&id("a"), &[freed(7, first)]);
    ownership.assign(&id("a"), &[7]);
    assert_eq!(
        ownership.free(&id("a"), &[freed(7, first)]),
        Vec::<u16>::new()
    );
    assert_eq!(ownership.shards()[7].owner, Some(id("a")));
}

#[test]
fn adjacent_shards_with_the_same_fence_and_handover_share_a_key_range() {
    let mut ownership = ShardOwnership::default();
    ownership.assign(&id("a"), &[0, 1, 3]);
    let owned: Vec<usize> = ownership.owned_by(&id("a")).collect();
    let ranges = ownership.key_ranges(owned.into_iter());
    let bounds: Vec<(u32, u32)> = ranges.iter().map(|range| (range.from, range.to)).collect();
    assert_eq!(bounds, vec![(0, 31), (48, 63)]);
}

#[test]
fn a_server_never_goes_back_to_an_earlier_state() {
    let mut catalog = Catalog::default();
    catalog.apply(&Command::Register(instance("a", InstanceState::Ready)));
    let state = InstanceState::Draining;
    catalog.apply(&Command::SetState { id: id("a"), state });
    catalog.apply(&Command::Register(instance("a", InstanceState::Ready)));
    assert_eq!(
        catalog.instance(&id("a")).map(|one| one.state),
        Some(InstanceState::Draining)
    );
    let state = InstanceState::Gone;
    catalog.apply(&Command::SetState { id: id("a"), state });
    catalog.apply(&Command::Register(instance("a", InstanceState::Ready)));
    assert_eq!(
        catalog.instance(&id("a")).map(|one| one.state),
        Some(InstanceState::Gone)
    );
}

fn incarnation(started_ms: u64, state: InstanceState) -> Instance {
    Instance {
        id: InstanceId::started_at("a", started_ms),
        ..instance("a", state)
    }
}

#[test]
fn a_later_incarnation_ends_the_earlier_ones_for_good() {
    let mut catalog = Catalog::default();
    let (first, second) = (
        incarnation(1, InstanceState::Ready),
        incarnation(2, InstanceState::Ready),
    );
    let register = |instance: &Instance| Command::Register(instance.clone());
    catalog.apply(&register(&first));
    let effects = catalog.apply(&register(&second));
    assert_eq!(effects.instances, [first.id.clone(), second.id.clone()]);
    assert!(catalog.is_superseded(&first.id) && !catalog.is_superseded(&second.id));
    assert_eq!(catalog.apply(&register(&first)).instances, []);
    let gone = catalog.instance(&first.id).map(|one| one.state);
    assert_eq!(gone, Some(InstanceState::Gone));
    assert_eq!(
        catalog
            .latest_incarnation(&first.id)
            .map(|latest| &latest.id),
        Some(&second.id)
    );
}

#[test]
fn an_unknown_incarnation_is_ignored_when_a_later_one_is_known() {
    let mut catalog = Catalog::default();
    catalog.apply(&Command::Register(incarnation(2, InstanceState::Ready)));
    let before = catalog.clone();
    let effects = catalog.apply(&Command::Register(incarnation(1, InstanceState::Ready)));
    assert_eq!(effects.instances, []);
    assert_eq!(catalog, before);
}

#[test]
fn shards_are_assigned_only_to_live_servers() {
    let mut catalog = Catalog::default();
    let assign = |name| Command::AssignShards {
        service: "s".to_owned(),
        id: id(name),
        shards: vec![3],
        sequence: None,
    };
    catalog.apply(&assign("unknown"));
    catalog.apply(&Command::Register(instance("ended", InstanceState::Ready)));
    catalog.apply(&Command::SetState {
        id: id("ended"),
        state: InstanceState::Gone,
    });
    catalog.apply(&assign("ended"));
    assert!(catalog.ownership("s").is_none());
}

/// Logs and messages from versions without start times contain only the name.
#[test]
fn an_identity_without_a_start_time_is_stored_as_its_name() {
    let plain = rmp_serde::to_vec(&id("i-1")).expect("encodes");
    assert_eq!(plain, rmp_serde::to_vec("i-1").expect("encodes"));
    for id in [id("i-1"), InstanceId::started_at("i-1", 1_779_050_669_125)] {
        let stored = rmp_serde::to_vec(&id).expect("encodes");
        let read: InstanceId = rmp_serde::from_slice(&stored).expect("reads");
        assert_eq!(read, id);
    }
    let shown = InstanceId::started_at("i-1", 12).to_string();
    assert_eq!(
        (id("i-1").to_string(), shown),
        ("i-1".to_owned(), "i-1@12".to_owned())
    );
}
