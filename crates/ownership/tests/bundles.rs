//! Succession of bundles: compare-and-set, resends, conflicts.

mod support;

use grebepin_ownership::{
    Applied, BundleOutcome, BundleRefusal, Guard, Guards, Outcome, OwnershipState,
};
use grebepin_schema::{Bundle, Command, Digest, GroupId, LogIndex, Service};
use support::{accept, bundle, service, service_name};

fn ledger(shards: u32) -> Vec<Service> {
    vec![service("ledger", shards, &[0, 1], [1, 1])]
}

fn outcome(applied: Applied) -> BundleOutcome {
    match applied.outcome {
        Outcome::Bundle(outcome) => outcome,
        other => panic!("not a bundle's outcome: {other:?}"),
    }
}

/// A state with versions 1 and 2 accepted at indexes 1 and 2.
fn state() -> (OwnershipState, Digest, Digest) {
    let mut state = OwnershipState::new(GroupId(0));
    let (first, first_digest) = accept(bundle(1, None, ledger(8)));
    state.apply(LogIndex(1), &first);
    let second = bundle(2, Some(first_digest.clone()), ledger(8));
    let (second, second_digest) = accept(second);
    state.apply(LogIndex(2), &second);
    (state, first_digest, second_digest)
}

fn submit(state: &mut OwnershipState, index: u64, bundle: Bundle) -> BundleOutcome {
    outcome(state.apply(LogIndex(index), &accept(bundle).0))
}

#[test]
fn a_resend_gets_the_first_answer_again_even_after_a_newer_bundle() {
    let (mut state, first, second) = state();
    let resends = [
        (bundle(1, None, ledger(8)), 1, &first),
        (bundle(2, Some(first.clone()), ledger(8)), 2, &second),
    ];
    for (resend, index, digest) in resends {
        let BundleOutcome::Accepted { record, repeated } = submit(&mut state, 9, resend) else {
            panic!("refused");
        };
        assert!(repeated);
        assert_eq!((record.index, &record.digest), (LogIndex(index), digest));
    }
    assert_eq!(state.bundle_record().expect("in force").digest, second);
}

#[test]
fn bundles_that_do_not_follow_are_refused_and_change_nothing() {
    type Expected = fn(&BundleRefusal) -> bool;
    let (_, first, second) = state();
    let parent = || Some(second.clone());
    let mut moved = bundle(3, parent(), ledger(8));
    moved.deployment = "other".parse().expect("a name");
    let mut noted = bundle(2, Some(first.clone()), ledger(8));
    noted.note = Some("other content, same number".to_owned());
    let twice = vec![ledger(8).remove(0), service("ledger", 8, &[2], [1, 1])];
    let shared = vec![ledger(8).remove(0), service("other", 8, &[1], [1, 1])];
    let cases: Vec<(&str, Bundle, Expected)> = vec![
        (
            "same version, other content",
            noted,
            |refusal| matches!(refusal, BundleRefusal::VersionConflict { accepted } if accepted.version == 2),
        ),
        (
            "version accepted before",
            bundle(1, None, ledger(9)),
            |refusal| matches!(refusal, BundleRefusal::VersionConflict { accepted } if accepted.version == 1),
        ),
        (
            "older version",
            bundle(0, parent(), ledger(8)),
            |refusal| matches!(refusal, BundleRefusal::OlderVersion { accepted, .. } if accepted.version == 2),
        ),
        (
            "parent is not the bundle in force",
            bundle(3, Some(first.clone()), ledger(8)),
            |refusal| matches!(refusal, BundleRefusal::ParentMismatch { accepted: Some(_) }),
        ),
        ("no parent", bundle(3, None, ledger(8)), |refusal| {
            matches!(refusal, BundleRefusal::ParentMismatch { accepted: Some(_) })
        }),
        ("other deployment", moved, |refusal| {
            matches!(refusal, BundleRefusal::DeploymentChanged { .. })
        }),
        (
            "other number of shards",
            bundle(3, parent(), ledger(9)),
            |refusal| matches!(refusal, BundleRefusal::ShardCountChanged { shards: 8, .. }),
        ),
        ("duplicate service", bundle(3, parent(), twice), |refusal| {
            matches!(refusal, BundleRefusal::DuplicateService { .. })
        }),
        ("duplicate server", bundle(3, parent(), shared), |refusal| {
            matches!(refusal, BundleRefusal::DuplicateServer { .. })
        }),
    ];
    for (what, refused, expected) in cases {
        let (mut state, ..) = state();
        let before = state.table();
        match submit(&mut state, 9, refused) {
            BundleOutcome::Refused(refusal) => assert!(expected(&refusal), "{what}: {refusal}"),
            accepted => panic!("{what}: {accepted:?}"),
        }
        assert_eq!(state.table(), before, "{what}");
    }
}

#[test]
fn a_parent_before_the_first_bundle_is_refused() {
    let (_, first, _) = state();
    let mut empty = OwnershipState::new(GroupId(0));
    let outcome = submit(&mut empty, 1, bundle(1, Some(first), ledger(8)));
    let none = BundleRefusal::ParentMismatch { accepted: None };
    assert_eq!(outcome, BundleOutcome::Refused(none));
}

#[test]
fn of_two_operators_with_the_same_parent_one_wins() {
    let (mut state, _, second) = state();
    let mut other = bundle(3, Some(second.clone()), ledger(8));
    other.note = Some("by the other operator".to_owned());
    let first = submit(&mut state, 3, bundle(3, Some(second), ledger(8)));
    let BundleOutcome::Accepted { record, .. } = first else {
        panic!("refused");
    };
    let conflict = BundleRefusal::VersionConflict { accepted: record };
    assert_eq!(
        submit(&mut state, 4, other),
        BundleOutcome::Refused(conflict)
    );
}

#[test]
fn without_compare_and_set_an_older_bundle_takes_force_again() {
    let mut state = OwnershipState::with_guards(GroupId(0), Guards::without(Guard::CompareAndSet));
    for (index, version) in [(1, 2), (2, 1)] {
        let outcome = submit(&mut state, index, bundle(version, None, ledger(8)));
        assert!(matches!(outcome, BundleOutcome::Accepted { .. }));
    }
    assert_eq!(state.bundle_record().expect("in force").version, 1);
}

#[test]
fn names_are_free_again_once_nothing_refers_to_them() {
    let (mut state, _, second) = state();
    let renamed = vec![service("other", 16, &[0, 1], [1, 1])];
    let (command, _): (Command, Digest) = accept(bundle(3, Some(second), renamed));
    let accepted = outcome(state.apply(LogIndex(3), &command));
    assert!(matches!(accepted, BundleOutcome::Accepted { .. }));
    assert!(state
        .owner(&service_name("ledger"), grebepin_schema::ShardId(0))
        .is_none());
}
