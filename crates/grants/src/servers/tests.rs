use std::time::Duration;

use grebepin_catalog::InstanceId;
use proptest::prelude::*;

use super::Servers;
use crate::heartbeat::Heartbeat;
use crate::transfer::next_to_report;

const SERVICE: &str = "s";
const HEARTBEAT: Duration = Duration::from_millis(1_000);

fn ms(number: u64) -> Duration {
    Duration::from_millis(number)
}

fn heartbeat(number: u64, sequence: u64) -> Heartbeat {
    Heartbeat {
        id: InstanceId::new(&format!("i-{number:05}")),
        service: SERVICE.to_owned(),
        address: format!("10.0.0.1:{number}"),
        zone: "z".to_owned(),
        slots: 2,
        draining: false,
        warmup_left: Duration::ZERO,
        sequence,
        holds: Some(Vec::new()),
        freed: Vec::new(),
    }
}

/// `count` servers whose heartbeats are spread evenly over the last interval before `now`.
fn servers_with_heartbeats(count: u64, now: Duration) -> Servers {
    let mut servers = Servers::default();
    for number in 0..count {
        let at = now - HEARTBEAT + HEARTBEAT * number as u32 / count as u32;
        assert!(servers.record_heartbeat(at, &heartbeat(number, 1)));
    }
    servers
}

#[test]
fn an_older_heartbeat_has_no_effect() {
    let mut servers = Servers::default();
    assert!(servers.record_heartbeat(ms(1), &heartbeat(1, 5)));
    assert!(!servers.record_heartbeat(ms(2), &heartbeat(1, 5)));
    assert!(!servers.record_heartbeat(ms(3), &heartbeat(1, 4)));
    let order: Vec<_> = servers.heartbeats_since(SERVICE, ms(0)).collect();
    assert_eq!(order, [(&InstanceId::new("i-00001"), ms(1))]);
}

#[test]
fn the_work_for_receivers_does_not_grow_with_the_servers() {
    let now = ms(10_000);
    let asked = |count: u64| {
        let servers = servers_with_heartbeats(count, now);
        let mut asked = 0;
        let since = now + ms(110) - HEARTBEAT;
        let expected = servers.heartbeats_since(SERVICE, since);
        let expected = expected.map(|(id, at)| {
            asked += 1;
            (id, at + HEARTBEAT)
        });
        let receivers = next_to_report(now, expected).len();
        (asked, receivers)
    };
    let (few, _) = asked(100);
    let (many, receivers) = asked(10_000);
    assert!(receivers >= 4, "{receivers}");
    assert!(many <= few + 10, "{few} visited of 100, {many} of 10,000");
}

#[test]
fn a_server_removed_from_the_order_is_not_visited() {
    let mut servers = servers_with_heartbeats(3, ms(10_000));
    assert_eq!(servers.silent_since(ms(60_000)).count(), 3);
    let ended = InstanceId::new("i-00001");
    servers.remove_from_order(&ended);
    assert!(servers.silent_since(ms(60_000)).all(|id| *id != ended));
    assert_eq!(servers.silent_since(ms(60_000)).count(), 2);
    assert!(servers.get(&ended).is_some(), "its lease must stay known");
}

proptest! {
    /// Compares both queries with a search through all servers.
    #[test]
    fn the_order_is_that_of_the_last_heartbeats(heartbeats in prop::collection::vec((0_u64..20, 1_u64..50), 1..200)) {
        let mut servers = Servers::default();
        let mut last = std::collections::BTreeMap::new();
        for (turn, (number, pause)) in heartbeats.iter().enumerate() {
            let at = ms(turn as u64 * 10 + pause % 10);
            servers.record_heartbeat(at, &heartbeat(*number, turn as u64 + 1));
            last.insert(heartbeat(*number, 1).id, at);
        }
        let middle = ms(heartbeats.len() as u64 * 5);
        let mut silent: Vec<_> = servers.silent_since(middle).cloned().collect();
        silent.sort();
        let expected: Vec<_> = last.iter().filter(|(_, at)| **at < middle).map(|(id, _)| id.clone()).collect();
        prop_assert_eq!(silent, expected);
        let mut since: Vec<_> = servers.heartbeats_since(SERVICE, middle).map(|(id, at)| (at, id.clone())).collect();
        let found = since.clone();
        since.sort();
        prop_assert_eq!(&found, &since);
        prop_assert_eq!(found.len(), last.values().filter(|at| **at >= middle).count());
    }
}
