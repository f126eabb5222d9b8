//! Target weights and counts of servers.

mod common;

use common::{any_fleet, can_own, candidates, counts, fixed_cases};
use grebepin_placement::{target_counts, target_weights};
use grebepin_schema::{Server, SideShare};
use proptest::prelude::*;
use serde_json::json;

fn sides(shares: &[(&str, u32)]) -> Vec<SideShare> {
    let side = |(side, share): &(&str, u32)| json!({"side": side, "share": share});
    let sides = shares.iter().map(side).collect();
    serde_json::from_value(serde_json::Value::Array(sides)).expect("sides")
}

fn servers(rows: &[(&str, u32)]) -> Vec<Server> {
    let server = |(position, (side, weight)): (usize, &(&str, u32))| {
        json!({
            "name": format!("server-{position}"), "address": format!("127.0.0.1:{}", 9000 + position),
            "zone": "a", "side": side, "slots": 2, "connections": 100, "weight": weight,
        })
    };
    let servers = rows.iter().enumerate().map(server).collect();
    serde_json::from_value(serde_json::Value::Array(servers)).expect("servers")
}

#[test]
fn a_side_divides_its_share_among_its_eligible_servers() {
    let rows = [
        ("old", 100),
        ("old", 300),
        ("new", 100),
        ("new", 100),
        ("other", 100),
    ];
    let all = [true; 5];
    let cases = [
        (
            [("old", 70), ("new", 30)],
            all,
            [17.5, 52.5, 15.0, 15.0, 0.0],
        ),
        ([("old", 0), ("new", 30)], all, [0.0, 0.0, 15.0, 15.0, 0.0]),
        (
            [("old", 70), ("new", 30)],
            [true, false, true, false, true],
            [70.0, 0.0, 30.0, 0.0, 0.0],
        ),
        ([("old", 70), ("new", 30)], [false; 5], [0.0; 5]),
    ];
    for (shares, eligible, expected) in cases {
        let found = target_weights(&sides(&shares), &servers(&rows), &eligible);
        assert_eq!(found, expected, "{shares:?} {eligible:?}");
    }
}

#[test]
fn rounding_keeps_current_counts_where_possible() {
    type Case = (&'static [f64], &'static [usize], usize, &'static [usize]);
    let cases: [Case; 4] = [
        (&[1.0, 1.0, 1.0], &[3, 4, 3], 10, &[3, 4, 3]),
        (&[1.0, 1.0, 1.0], &[4, 3, 3], 10, &[4, 3, 3]),
        (&[2.0, 1.0, 0.0], &[0, 0, 9], 9, &[6, 3, 0]),
        (&[0.0, 0.0], &[1, 1], 2, &[0, 0]),
    ];
    for (weights, counts, shards, expected) in cases {
        assert_eq!(
            target_counts(&candidates(weights), counts, shards),
            expected
        );
    }
}

proptest! {
    #![proptest_config(fixed_cases(256))]

    #[test]
    fn rounded_targets_add_up((candidates, owners) in any_fleet(), shards in 0..500usize) {
        let within = |owner: &Option<usize>| owner.filter(|&server| server < candidates.len());
        let owners: Vec<Option<usize>> = owners.iter().map(within).collect();
        let found = target_counts(&candidates, &counts(candidates.len(), &owners), shards);
        let some_can_own = (0..candidates.len()).any(|server| can_own(&candidates, server));
        prop_assert_eq!(found.iter().sum::<usize>(), if some_can_own { shards } else { 0 });
        for (server, &target) in found.iter().enumerate() {
            prop_assert!(target == 0 || can_own(&candidates, server));
        }
    }
}
