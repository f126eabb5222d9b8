//! Configuration items: versions, removals, and refusal of invalid changes as a whole.

use std::time::Duration;

use grebepin_catalog::{
    InvalidChange, Item, ItemChange, ItemContent, ItemKey, ItemKind, ItemSummary, Items, Removal,
    RequestKind, Route, RouteIndex, Service, Version, WeightedService,
};
use proptest::prelude::*;

fn service(name: &str, version: u64) -> Item {
    Item {
        name: name.to_owned(),
        version: Version(version),
        content: ItemContent::Service(Service {
            maximum_connections: 100,
            sharded: false,
            warmup_rate: None,
        }),
        document: format!("{{\"name\":\"{name}\",\"version\":\"r{version}\"}}"),
    }
}

fn route(name: &str, version: u64, prefix: &str, service: &str) -> Item {
    Item {
        name: name.to_owned(),
        version: Version(version),
        content: ItemContent::Route(Route {
            host: "shop.example".to_owned(),
            prefix: prefix.to_owned(),
            kind: RequestKind::Safe,
            target_latency: Duration::from_millis(300),
            timeout: Duration::from_secs(1),
            maximum_attempts: 2,
            priority: 1,
            targets: vec![WeightedService {
                service: service.to_owned(),
                weight: 1,
            }],
        }),
        document: format!("{name} at version {version}"),
    }
}

fn set(upserts: Vec<Item>) -> ItemChange {
    ItemChange {
        upserts,
        removals: Vec::new(),
    }
}

fn remove_route(name: &str, version: u64) -> ItemChange {
    ItemChange {
        upserts: Vec::new(),
        removals: vec![Removal {
            key: ItemKey {
                kind: ItemKind::Route,
                name: name.to_owned(),
            },
            version: Version(version),
        }],
    }
}

/// Items with service `s` and route `a`, both at version 1.
fn initial_items() -> Items {
    let mut items = Items::default();
    let change = set(vec![service("s", 1), route("a", 1, "/a/", "s")]);
    items.apply(&change).expect("valid");
    items
}

fn route_document(items: &Items, name: &str) -> Option<String> {
    let item = items.get(ItemKind::Route, name)?;
    Some(item.document.clone())
}

#[test]
fn an_older_or_equal_version_is_accepted_and_changes_nothing() {
    let mut items = initial_items();
    items
        .apply(&set(vec![route("a", 5, "/b/", "s")]))
        .expect("newer");
    let mut same = route("a", 5, "/c/", "s");
    same.document = "other content under the same version".to_owned();
    assert_eq!(items.apply(&set(vec![same])), Ok(Vec::new()));
    assert_eq!(
        items.apply(&set(vec![route("a", 4, "/d/", "s")])),
        Ok(Vec::new())
    );
    assert_eq!(
        route_document(&items, "a").as_deref(),
        Some("a at version 5")
    );
}

#[test]
fn an_older_version_that_arrives_after_a_removal_does_not_restore_the_item() {
    let mut items = initial_items();
    items.apply(&remove_route("a", 7)).expect("valid");
    items
        .apply(&set(vec![route("a", 6, "/a/", "s")]))
        .expect("an outdated change is ignored, not refused");
    assert_eq!(route_document(&items, "a"), None);
    items
        .apply(&set(vec![route("a", 8, "/a/", "s")]))
        .expect("valid");
    assert!(route_document(&items, "a").is_some());
}

#[test]
fn a_change_may_contain_an_item_twice_and_the_highest_version_wins() {
    let mut items = initial_items();
    let change = ItemChange {
        upserts: vec![route("a", 9, "/x/", "s"), route("a", 8, "/y/", "s")],
        ..remove_route("a", 7)
    };
    items.apply(&change).expect("valid");
    assert_eq!(
        route_document(&items, "a").as_deref(),
        Some("a at version 9")
    );
}

#[test]
fn one_change_may_swap_the_prefixes_of_two_routes() {
    let mut items = initial_items();
    items
        .apply(&set(vec![route("b", 1, "/b/", "s")]))
        .expect("valid");
    let swap = set(vec![route("a", 2, "/b/", "s"), route("b", 2, "/a/", "s")]);
    assert!(items.apply(&swap).is_ok());
}

#[test]
fn each_kind_of_invalid_change_is_refused_as_a_whole() {
    let items = initial_items();
    let mut weightless = route("n", 2, "/n/", "s");
    let mut slow = route("n", 2, "/n/", "s");
    if let ItemContent::Route(route) = &mut weightless.content {
        route.targets[0].weight = 0;
    }
    if let ItemContent::Route(route) = &mut slow.content {
        route.timeout = Duration::from_secs(601);
    }
    let cases = [
        (route("n", 2, "/n/", "nowhere"), "no service nowhere"),
        (route("n", 2, "/a/", "s"), "share a host and prefix"),
        (route("n", 2, "n/", "s"), "does not begin with a slash"),
        (weightless, "weights add up to 0"),
        (slow, "outside 0 to 600 s"),
    ];
    for (bad, reason) in cases {
        let mut next = items.clone();
        let change = set(vec![service("fine", 2), bad]);
        let error = next.apply(&change).expect_err(reason);
        assert!(error.to_string().contains(reason), "{error}");
        assert_eq!(next, items, "no part of a refused change is applied");
    }
}

#[test]
fn a_service_that_a_route_refers_to_cannot_be_removed() {
    let mut items = initial_items();
    let change = ItemChange {
        upserts: Vec::new(),
        removals: vec![Removal {
            key: ItemKey {
                kind: ItemKind::Service,
                name: "s".to_owned(),
            },
            version: Version(9),
        }],
    };
    let refused = items.apply(&change);
    assert!(matches!(refused, Err(InvalidChange::UnknownService { .. })));
}

#[test]
fn a_request_matches_the_longest_prefix_of_its_host() {
    let mut items = initial_items();
    items
        .apply(&set(vec![
            route("deep", 1, "/a/b/", "s"),
            route("all", 1, "/", "s"),
        ]))
        .expect("valid");
    let index = RouteIndex::new(&items);
    let find = |host, path| index.find(host, path).map(|found| found.name.as_str());
    assert_eq!(find("shop.example", "/a/b/c"), Some("deep"));
    assert_eq!(find("Shop.Example:8080", "/a/x"), Some("a"));
    assert_eq!(find("shop.example", "/z"), Some("all"));
    assert_eq!(find("other.example", "/a/"), None);
}

#[test]
fn changed_items_are_told_with_their_versions_and_removals() {
    let before = initial_items();
    let mut after = before.clone();
    after
        .apply(&set(vec![route("deep", 3, "/a/b/", "s")]))
        .expect("valid");
    let applied = after.apply(&remove_route("a", 7)).expect("valid");
    let changed = after.changed_since(&before);
    let summary = ItemSummary::of(&changed, 10);
    assert_eq!(applied, changed[..1]);
    assert_eq!(summary.names, "a,deep");
    assert_eq!(summary.versions, "7,3");
    assert_eq!(summary.removed, "a");
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(300) })]

    /// The stored item is that of the highest version, independent of the order of the changes and of
    /// duplicates.
    #[test]
    fn the_order_and_repetition_of_changes_do_not_matter(
        mut versions in prop::collection::vec((0_u64..40, any::<bool>()), 1..30),
    ) {
        versions.sort();
        versions.dedup_by_key(|(version, _)| *version);
        let apply_all = |order: &[(u64, bool)]| {
            let mut items = initial_items();
            for (version, removes) in order {
                let change = match removes {
                    true => remove_route("a", *version),
                    false => set(vec![route("a", *version, "/a/", "s")]),
                };
                items.apply(&change).expect("valid");
            }
            route_document(&items, "a")
        };
        let forward = apply_all(&versions);
        let mut shuffled = versions.clone();
        shuffled.reverse();
        shuffled.extend(versions.clone());
        prop_assert_eq!(forward, apply_all(&shuffled));
    }
}
