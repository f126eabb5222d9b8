//! Which replica's state a gateway takes while it has no contact with a leader.

use grebepin_catalog::Command;
use grebepin_directory::link::{OpenEntries, ReplicaAddress, SourceStatus};
use grebepin_gateway::majority_state::newest_of_majority;

fn voter(address: &str) -> ReplicaAddress {
    ReplicaAddress {
        address: address.to_owned(),
        zone: "z".to_owned(),
        votes: true,
    }
}

fn head(votes: bool, applied: u64, replicas: &[&str]) -> SourceStatus {
    SourceStatus {
        votes,
        applied,
        replicas: replicas.iter().map(|address| voter(address)).collect(),
        ..SourceStatus::default()
    }
}

/// The replica that holds the newest state of a majority.
fn chosen(heads: &[(&'static str, SourceStatus)]) -> Option<&'static str> {
    let state = newest_of_majority(heads.iter().map(|(address, head)| (*address, head)), 0)?;
    let holder = heads.iter().find(|(_, head)| head.applied == state.index);
    holder.map(|(address, _)| *address)
}

const ALL: [&str; 3] = ["a", "b", "c"];

#[test]
fn the_newest_of_a_majority_is_taken() {
    let heads = [("a", head(true, 7, &ALL)), ("c", head(true, 9, &ALL))];
    assert_eq!(chosen(&heads), Some("c"));
}

#[test]
fn one_voter_alone_may_have_missed_changes() {
    assert_eq!(chosen(&[("a", head(true, 7, &ALL))]), None);
    assert_eq!(chosen(&[]), None);
}

#[test]
fn a_replica_that_lost_its_disk_does_not_count() {
    let heads = [("a", head(true, 7, &ALL)), ("b", head(false, 0, &[]))];
    assert_eq!(chosen(&heads), None);
}

#[test]
fn voters_of_an_older_membership_are_no_majority_of_the_present_one() {
    let grown = ["a", "b", "c", "d"];
    let heads = [("a", head(true, 7, &ALL)), ("c", head(true, 6, &grown))];
    assert_eq!(chosen(&heads), None, "c knows of a fourth voter");
    let heads = [
        ("a", head(true, 7, &ALL)),
        ("c", head(true, 6, &grown)),
        ("d", head(true, 8, &grown)),
    ];
    assert_eq!(chosen(&heads), Some("d"));
}

/// Guards against counting learners: they may outnumber the voters of a large group, and no majority would
/// ever be found.
#[test]
fn learners_do_not_count_towards_the_majority() {
    let learner = |address: &str| ReplicaAddress {
        votes: false,
        ..voter(address)
    };
    let with_learners = |applied| SourceStatus {
        replicas: ALL
            .iter()
            .map(|address| voter(address))
            .chain(["d", "e", "f", "g"].map(learner))
            .collect(),
        ..head(true, applied, &[])
    };
    let heads = [("a", with_learners(7)), ("c", with_learners(9))];
    assert_eq!(chosen(&heads), Some("c"));
    assert_eq!(chosen(&heads[..1]), None);
}

fn with_open_entries(head: SourceStatus, indexes: &[u64]) -> SourceStatus {
    let command = |index: &u64| {
        let zone = format!("z{index}");
        let evacuated = true;
        (
            *index,
            Command::SetEvacuation {
                zone,
                evacuated,
                known_call: None,
            },
        )
    };
    SourceStatus {
        open_entries: OpenEntries {
            commands: indexes.iter().map(command).collect(),
            is_truncated: false,
        },
        ..head
    }
}

/// Guards against a state that lacks a change whose commit no voter had learnt of.
#[test]
fn changes_at_the_ends_of_the_logs_are_undecided_unless_the_state_contains_them() {
    let heads = [
        ("a", with_open_entries(head(true, 7, &ALL), &[8, 9, 10])),
        ("c", with_open_entries(head(true, 9, &ALL), &[10, 11])),
    ];
    let heads = heads.iter().map(|(address, head)| (*address, head));
    let state = newest_of_majority(heads, 0).expect("a majority");
    let zones: Vec<String> = state
        .undecided
        .iter()
        .map(|command| format!("{command:?}"))
        .collect();
    assert_eq!(state.index, 9);
    assert_eq!(zones.len(), 3, "two entries 10 and one 11: {zones:?}");
}

#[test]
fn no_state_is_taken_while_the_end_of_a_log_is_not_known_completely() {
    let mut heads = [("a", head(true, 7, &ALL)), ("c", head(true, 9, &ALL))];
    heads[0].1.open_entries.is_truncated = true;
    assert_eq!(chosen(&heads), None);
}

#[test]
fn changes_that_a_gateway_has_applied_are_not_undecided() {
    let heads = [
        ("a", with_open_entries(head(true, 7, &ALL), &[8, 9])),
        ("c", with_open_entries(head(true, 7, &ALL), &[8])),
    ];
    let undecided = |applied| {
        let heads = heads.iter().map(|(address, head)| (*address, head));
        newest_of_majority(heads, applied).map(|state| state.undecided.len())
    };
    assert_eq!(undecided(8), Some(1));
    assert_eq!(undecided(9), Some(0));
}
