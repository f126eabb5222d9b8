//! What failures on connections to servers show about the paths of a gateway.

use std::time::Duration;

use grebepin_catalog::{Instance, InstanceId, InstanceState};
use grebepin_gateway::reachability::{
    ConnectFailure, Loss, PathChange, Reachability, ServerCounts,
};
use proptest::prelude::*;

const SERVICE: &str = "ledger";

const MANY: ServerCounts = ServerCounts {
    of_service: 10,
    all: 20,
};

fn ms(number: u64) -> Duration {
    Duration::from_millis(number)
}

fn id(number: u64) -> InstanceId {
    InstanceId::new(&format!("i-{number}"))
}

fn server(number: u64) -> Instance {
    Instance {
        id: id(number),
        service: SERVICE.to_owned(),
        address: "10.0.0.1:80".to_owned(),
        zone: "z".to_owned(),
        slots: 2,
        state: InstanceState::Ready,
        is_cold: false,
    }
}

/// Paths to servers 0 to 9, all heard at 1,000 ms.
fn calm() -> Reachability {
    let mut paths = Reachability::new("edge-1");
    for number in 0..10 {
        assert!(paths.connected(&id(number), SERVICE, ms(1_000)).is_empty());
    }
    paths
}

fn fail(paths: &mut Reachability, number: u64, began: u64, now: u64) -> Vec<PathChange> {
    let failure = ConnectFailure::TimedOut;
    paths.connect_failed(&id(number), SERVICE, failure, ms(began), ms(now), MANY)
}

/// Changes of the paths to all servers and to those of the service.
fn all_changes(restored_after: Option<Duration>) -> Vec<PathChange> {
    let change = |loss, service: Option<&str>| PathChange {
        service: service.map(str::to_owned),
        loss,
        restored_after,
    };
    let losses = [Loss::All, Loss::NewConnections].into_iter();
    losses
        .flat_map(|loss| [change(loss, None), change(loss, Some(SERVICE))])
        .collect()
}

fn lose_all(paths: &mut Reachability) -> Vec<PathChange> {
    let mut changes = Vec::new();
    for number in 0..6 {
        changes.extend(fail(paths, number, 1_100 + number, 1_350 + number));
    }
    changes
}

#[test]
fn servers_that_fail_while_none_is_heard_show_that_the_paths_are_lost() {
    let mut paths = calm();
    let changes = lose_all(&mut paths);
    assert_eq!(changes, all_changes(None));
    assert!(paths.is_cut_off() && !paths.may_connect(&id(30), "payout"));
    assert!(!paths.is_open(&id(7), SERVICE), "nothing was tried there");
}

#[test]
fn servers_that_crash_while_others_answer_are_not_mistaken_for_lost_paths() {
    let mut paths = calm();
    for number in 0..6 {
        let began = 1_100 + 10 * number;
        let changes = fail(&mut paths, number, began, began + 2);
        assert!(changes.iter().all(|one| one.loss == Loss::NewConnections));
        assert!(paths.received(&id(9), SERVICE, ms(began + 5)).is_empty());
    }
    assert!(!paths.is_cut_off());
    assert!(!paths.may_connect(&id(0), SERVICE));
    assert!(paths.is_open(&id(9), SERVICE) && paths.is_open(&id(8), SERVICE));
    let servers: Vec<Instance> = (0..10).map(server).collect();
    for one in paths.due_probes(ms(1_200), servers.iter()) {
        paths.connected(&one.id, SERVICE, ms(1_201));
    }
    assert!(paths.may_connect(&id(9), SERVICE), "after two probes");
}

#[test]
fn an_attempt_from_before_the_last_bytes_shows_nothing() {
    let mut paths = calm();
    for number in 0..8 {
        assert!(fail(&mut paths, number, 900, 1_150).is_empty());
    }
    assert!(!paths.is_cut_off());
}

#[test]
fn one_server_that_fails_again_and_again_is_not_mistaken_for_lost_paths() {
    let mut paths = calm();
    for at in 0..20 {
        assert!(fail(&mut paths, 1, 1_100 + at, 1_350 + at).is_empty());
    }
    assert!(!paths.is_cut_off());
}

#[test]
fn a_service_whose_paths_alone_are_lost_leaves_others_in_use() {
    let mut paths = calm();
    paths.connected(&id(20), "payout", ms(1_000));
    for number in 0..6 {
        fail(&mut paths, number, 1_100, 1_350);
        paths.connected(&id(20), "payout", ms(1_360));
    }
    assert!(!paths.may_connect(&id(8), SERVICE) && !paths.is_cut_off());
    assert!(paths.may_connect(&id(20), "payout"));
}

#[test]
fn a_refused_connection_leaves_open_ones_in_use() {
    let mut paths = calm();
    let failure = ConnectFailure::Refused;
    paths.connect_failed(&id(1), SERVICE, failure, ms(1_600), ms(1_601), MANY);
    assert!(paths.is_open(&id(1), SERVICE));
}

/// A server at its connection limit must not draw requests to it through other gateways as well.
#[test]
fn a_server_that_answers_and_refuses_new_connections_stays_in_use() {
    let mut paths = calm();
    let failure = ConnectFailure::Refused;
    paths.received(&id(1), SERVICE, ms(1_900));
    paths.connect_failed(&id(1), SERVICE, failure, ms(2_000), ms(2_001), MANY);
    assert!(paths.may_connect(&id(1), SERVICE));
    paths.connect_failed(&id(2), SERVICE, failure, ms(2_000), ms(2_001), MANY);
    assert!(
        !paths.may_connect(&id(2), SERVICE),
        "not heard for a second"
    );
}

/// Open connections of a gateway may live on while new ones are refused.
#[test]
fn open_connections_stay_in_use_when_no_connection_can_be_established() {
    let mut paths = calm();
    for number in 0..6 {
        let began = 1_100 + 10 * number;
        paths.connect_failed(
            &id(number),
            SERVICE,
            ConnectFailure::Refused,
            ms(began),
            ms(began + 1),
            MANY,
        );
        paths.received(&id(number), SERVICE, ms(began + 5));
    }
    assert!((0..10).all(|number| paths.is_open(&id(number), SERVICE)));
    assert!((0..10).all(|number| !paths.may_connect(&id(number), SERVICE)));
}

#[test]
fn two_servers_that_are_heard_restore_the_paths() {
    let mut paths = calm();
    lose_all(&mut paths);
    assert!(paths.connected(&id(7), SERVICE, ms(4_000)).is_empty());
    assert!(paths.may_connect(&id(7), SERVICE) && paths.is_cut_off());
    let changes = paths.connected(&id(8), SERVICE, ms(4_001));
    assert_eq!(changes, all_changes(Some(ms(3_001))));
    assert!(paths.may_connect(&id(9), SERVICE));
    assert!((0..10).all(|number| paths.may_connect(&id(number), SERVICE)));
    fail(&mut paths, 0, 4_002, 4_252);
    assert!(!paths.may_connect(&id(0), SERVICE), "failed since");
}

/// A gateway with few requests hears servers rarely, so that slow ones seem silent.
#[test]
fn slow_answers_alone_are_not_mistaken_for_lost_paths() {
    let mut paths = calm();
    for at in 0..20 {
        paths.unanswered(SERVICE, ms(1_100 + at));
    }
    assert!(!paths.is_cut_off() && paths.may_connect(&id(3), SERVICE));
    let servers: Vec<Instance> = (0..10).map(server).collect();
    let probed = paths.due_probes(ms(1_500), servers.iter());
    assert!(!probed.is_empty(), "probes decide");
    paths.connected(&probed[0].id, SERVICE, ms(1_501));
    assert!(!paths.is_in_doubt());
}

/// A fifth of all servers may crash at once, and a gateway with few requests meets several of them in a row.
#[test]
fn five_crashed_servers_in_a_row_are_not_mistaken_for_lost_paths() {
    let mut paths = calm();
    for number in 0..5 {
        assert!(fail(&mut paths, number, 1_100, 1_350).is_empty());
    }
    assert!(paths.may_connect(&id(9), SERVICE));
}

#[test]
fn the_paths_to_a_small_service_are_lost_when_all_its_servers_fail() {
    let mut paths = calm();
    let small = ServerCounts {
        of_service: 3,
        all: 3,
    };
    for number in 0..3 {
        let failure = ConnectFailure::TimedOut;
        paths.connect_failed(&id(number), SERVICE, failure, ms(1_100), ms(1_350), small);
    }
    assert!(paths.is_cut_off());
}

#[test]
fn gateways_probe_different_servers() {
    let servers: Vec<Instance> = (0..1_000).map(server).collect();
    let mut probed = std::collections::BTreeSet::new();
    for node in 0..50 {
        let mut paths = Reachability::new(&format!("edge-{node}"));
        for number in 0..6 {
            paths.connect_failed(
                &id(number),
                SERVICE,
                ConnectFailure::TimedOut,
                ms(1),
                ms(2),
                MANY,
            );
        }
        let due = paths.due_probes(ms(10), servers.iter());
        probed.extend(due.into_iter().map(|one| one.id));
    }
    assert!(probed.len() > 80, "{} of 100 probes", probed.len());
}

/// A herd of connections at the end of a partition would overload the servers.
#[test]
fn probes_are_few_at_any_size() {
    let mut paths = calm();
    lose_all(&mut paths);
    let servers: Vec<Instance> = (0..3_000).map(server).collect();
    let probed: usize = (0..50)
        .map(|tick| {
            paths
                .due_probes(ms(2_000 + 200 * tick), servers.iter())
                .len()
        })
        .sum();
    assert!(probed > 0 && probed <= 100, "{probed} probes in 10 s");
}

#[test]
fn no_server_is_probed_while_all_paths_work() {
    let servers: Vec<Instance> = (0..10).map(server).collect();
    assert!(calm().due_probes(ms(2_000), servers.iter()).is_empty());
}

proptest! {
    /// Whatever happened before, bytes from all servers end every doubt.
    #[test]
    fn paths_recover_from_every_history(steps in proptest::collection::vec((0u64..12, 0u64..4), 0..60)) {
        let mut paths = calm();
        let mut now = 1_000;
        for (number, what) in steps {
            now += 7;
            match what {
                0 => _ = paths.received(&id(number), SERVICE, ms(now)),
                1 => _ = fail(&mut paths, number, now, now),
                2 => paths.unanswered(SERVICE, ms(now)),
                _ => _ = paths.connect_failed(&id(number), SERVICE, ConnectFailure::Refused, ms(now), ms(now), MANY),
            }
        }
        for number in 0..12 {
            paths.connected(&id(number), SERVICE, ms(now + 1 + number));
        }
        prop_assert!(!paths.is_in_doubt());
        prop_assert!((0..12).all(|number| paths.may_connect(&id(number), SERVICE)));
        prop_assert_eq!(paths.unreachable(), 0);
    }
}
