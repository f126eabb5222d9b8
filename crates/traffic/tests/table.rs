//! Routing table: ordering of snapshots and deltas, and rejection of inconsistent frames.

use grebepin_schema::{
    Bundle, Epoch, GroupId, LogIndex, OwnerChange, ServerStanding, ServiceTable, ShardId,
    ShardOwner, StandingChange, Table, TableDelta, TableSnapshot,
};
use grebepin_traffic::{ApplyError, ApplyOutcome, Guards, RoutingTable};

const GROUP: GroupId = GroupId(1);
const SHARDS: u32 = 1200;

fn bundle() -> Bundle {
    let server = |number: u32| {
        serde_json::json!({ "name": format!("server-{number}"), "address": format!("127.0.0.1:{}", 7000 + number),
            "zone": "boa-vista", "side": "cloud", "slots": 2, "connections": 100 })
    };
    let class = |name: &str, prefix: &str, method: Option<&str>| {
        serde_json::json!({ "name": name, "path_prefix": prefix, "method": method, "repeatable": false,
            "priority": 0, "deadline_ms": 1000 })
    };
    serde_json::from_value(serde_json::json!({ "deployment": "test", "version": 1, "services": [{
        "name": "carne-ledger", "shards": SHARDS, "sides": [{ "side": "cloud", "share": 1 }],
        "servers": [server(0), server(1)],
        "classes": [class("approve", "/approve", Some("POST")), class("look-up", "/limit", None),
                    class("other", "/open/", None)],
        "queue": { "waiting_per_server": 4 }, "retry": { "budget_percent": 10, "attempts": 2 },
        "churn": { "moves_per_minute": 1, "concurrent_moves": 1, "imbalance_percent": 10 },
    }]}))
    .expect("bundle")
}

fn owner(server: u32, epoch: u64) -> ShardOwner {
    ShardOwner {
        epoch: Epoch(epoch),
        server: Some(server),
    }
}

fn snapshot(index: u64, version: u64) -> TableSnapshot {
    let service = bundle().services.remove(0);
    TableSnapshot {
        group: GROUP,
        index: LogIndex(index),
        table: Table {
            bundle_digest: None,
            bundle_version: version,
            services: vec![ServiceTable {
                service,
                standings: vec![ServerStanding::Active; 2],
                owners: vec![owner(0, index); SHARDS as usize],
            }],
        },
    }
}

fn delta(previous: u64, index: u64, shard: u32, server: u32) -> TableDelta {
    TableDelta {
        group: GROUP,
        previous: LogIndex(previous),
        index: LogIndex(index),
        owners: vec![OwnerChange {
            service: "carne-ledger".parse().expect("name"),
            shard: ShardId(shard),
            owner: owner(server, index),
        }],
        standings: Vec::new(),
    }
}

fn table_at(index: u64) -> RoutingTable {
    let mut table = RoutingTable::new(GROUP, Guards::all());
    assert_eq!(
        table.apply_snapshot(&snapshot(index, 3)),
        Ok(ApplyOutcome::Applied)
    );
    table
}

#[test]
fn a_snapshot_is_applied_only_if_it_is_newer() {
    for (index, version, applied) in [(9, 2, false), (10, 3, false), (11, 4, true)] {
        let mut table = table_at(10);
        let change = table.apply_snapshot(&snapshot(index, version));
        let expected = if applied {
            ApplyOutcome::Applied
        } else {
            ApplyOutcome::Stale
        };
        assert_eq!(change, Ok(expected), "index {index}");
        assert_eq!(table.index(), LogIndex(index.max(10)));
        assert_eq!(table.bundle_version(), if applied { version } else { 3 });
    }
}

#[test]
fn a_delta_is_applied_only_without_a_gap() {
    let gap = ApplyError::Gap {
        have: LogIndex(10),
        previous: LogIndex(12),
    };
    let table = [
        (delta(10, 12, 7, 1), Ok(ApplyOutcome::Applied)),
        (delta(4, 12, 7, 1), Ok(ApplyOutcome::Applied)),
        (delta(4, 10, 7, 1), Ok(ApplyOutcome::Stale)),
        (delta(4, 6, 7, 1), Ok(ApplyOutcome::Stale)),
        (delta(12, 13, 7, 1), Err(gap)),
        (
            delta(10, 12, SHARDS, 1),
            Err(ApplyError::Malformed {
                index: LogIndex(12),
            }),
        ),
        (
            delta(10, 12, 7, 2),
            Err(ApplyError::Malformed {
                index: LogIndex(12),
            }),
        ),
    ];
    for (delta, expected) in table {
        let mut table = table_at(10);
        assert_eq!(table.apply_delta(&delta), expected);
        let applied = expected == Ok(ApplyOutcome::Applied);
        assert_eq!(table.index(), LogIndex(if applied { 12 } else { 10 }));
        let route = table.service("carne-ledger").expect("service");
        let seventh = route.owner_of_shard(ShardId(7));
        assert_eq!(seventh.epoch, Epoch(if applied { 12 } else { 10 }));
        let name = seventh.server.expect("owner").0.name.to_string();
        assert_eq!(name, if applied { "server-1" } else { "server-0" });
    }
}

#[test]
fn a_changed_clone_leaves_the_original_unchanged() {
    let before = table_at(10);
    let mut after = before.clone();
    after.apply_delta(&delta(10, 11, 1100, 1)).expect("applies");
    let epoch = |table: &RoutingTable, shard: u32| {
        let route = table.service("carne-ledger").expect("service");
        route.owner_of_shard(ShardId(shard)).epoch
    };
    assert_eq!(
        (epoch(&before, 1100), epoch(&after, 1100)),
        (Epoch(10), Epoch(11))
    );
    assert_eq!(
        (epoch(&after, 0), epoch(&after, 1199)),
        (Epoch(10), Epoch(10))
    );
    assert_eq!(
        after
            .service("carne-ledger")
            .expect("service")
            .owners
            .iter()
            .count(),
        SHARDS as usize
    );
}

#[test]
fn standings_change_and_unknown_servers_are_refused() {
    let change = |name: &str| TableDelta {
        owners: Vec::new(),
        standings: vec![StandingChange {
            service: "carne-ledger".parse().expect("name"),
            server: name.parse().expect("name"),
            standing: ServerStanding::Draining,
        }],
        ..delta(10, 11, 0, 0)
    };
    let mut table = table_at(10);
    assert!(table.apply_delta(&change("server-9")).is_err());
    assert_eq!(
        table.apply_delta(&change("server-0")),
        Ok(ApplyOutcome::Applied)
    );
    let route = table.service("carne-ledger").expect("service");
    let (_, standing) = route.owner("some key").server.expect("owner");
    assert_eq!(standing, ServerStanding::Draining);
}

#[test]
fn an_inconsistent_snapshot_leaves_the_table_unchanged() {
    let mut wrong_group = snapshot(20, 9);
    wrong_group.group = GroupId(2);
    let mut missing_owner = snapshot(20, 9);
    missing_owner.table.services[0].owners.pop();
    let mut missing_standing = snapshot(20, 9);
    missing_standing.table.services[0].standings.pop();
    let mut unknown_owner = snapshot(20, 9);
    unknown_owner.table.services[0].owners[0] = owner(2, 20);
    for frame in [wrong_group, missing_owner, missing_standing, unknown_owner] {
        let mut table = table_at(10);
        assert!(table.apply_snapshot(&frame).is_err());
        assert_eq!((table.index(), table.bundle_version()), (LogIndex(10), 3));
    }
}

#[test]
fn classes_match_whole_segments_and_methods_in_order() {
    let table = table_at(1);
    let route = table.service("carne-ledger").expect("service");
    let cases = [
        ("POST", "/approve", Some("approve")),
        ("POST", "/approve/7?x=1", Some("approve")),
        ("POST", "/approve?x=1", Some("approve")),
        ("POST", "/approved", None),
        ("GET", "/approve", None),
        ("GET", "/limit/7", Some("look-up")),
        ("GET", "/open/7", Some("other")),
        ("GET", "/", None),
    ];
    for (method, path, expected) in cases {
        let class = route.class(method, path).map(|class| class.name.as_str());
        assert_eq!(class, expected, "{method} {path}");
    }
}

#[cfg(feature = "removable-guards")]
#[test]
fn without_the_guard_an_older_table_is_applied() {
    let guards = Guards::without(grebepin_traffic::Guard::MonotonicTable);
    let mut table = RoutingTable::new(GROUP, guards);
    table.apply_snapshot(&snapshot(10, 3)).expect("applies");
    assert_eq!(
        table.apply_snapshot(&snapshot(9, 2)),
        Ok(ApplyOutcome::Applied)
    );
    assert_eq!((table.index(), table.bundle_version()), (LogIndex(9), 2));
}
