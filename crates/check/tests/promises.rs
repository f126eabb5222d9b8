//! For each promise: histories that keep it and histories that break it.

mod support;

use grebepin_check::{check, CheckLimits, Promise};
use grebepin_schema::{HistoryEvent, Outcome};
use support::*;

/// Title, events with their times in milliseconds, and the promise that the history breaks, if any.
type Case = (&'static str, Vec<(u64, HistoryEvent)>, Option<Promise>);

fn run(cases: Vec<Case>) {
    for (title, events, broken) in cases {
        let records: Vec<_> = events
            .into_iter()
            .map(|(milliseconds, event)| at(milliseconds, event))
            .collect();
        let report = check(&records, &CheckLimits::default());
        let found: Vec<Promise> = report.violations.iter().map(|one| one.promise).collect();
        let expected: Vec<Promise> = broken.into_iter().collect();
        assert_eq!(found, expected, "{title}: {:?}", report.violations);
        for violation in &report.violations {
            assert!(!violation.events.is_empty(), "{title}");
            assert!(
                violation.events.iter().all(|event| *event < records.len()),
                "{title}"
            );
        }
    }
}

#[test]
#[rustfmt::skip]
fn sole_ownership() {
    let broken = Some(Promise::SoleOwnership);
    run(vec![
        ("hand-over without overlap", vec![(1, acquired("a", 1)), (5, forfeited("a", 1)), (5, acquired("b", 2)), (6, effect("b", 2, "r"))], None),
        ("a new epoch at the same server", vec![(1, acquired("a", 1)), (5, acquired("a", 2)), (6, forfeited("a", 1)), (7, effect("a", 2, "r"))], None),
        ("a killed server holds nothing", vec![(1, acquired("a", 1)), (2, killed("a")), (3, acquired("b", 2))], None),
        ("records out of order", vec![(5, acquired("b", 2)), (1, acquired("a", 1)), (4, forfeited("a", 1))], None),
        ("two holders", vec![(1, acquired("a", 1)), (5, acquired("b", 2)), (6, forfeited("a", 1))], broken),
        ("never forfeited", vec![(1, acquired("a", 1)), (5, acquired("b", 2))], broken),
        ("a frozen server still holds", vec![(1, acquired("a", 1)), (2, frozen("a")), (3, acquired("b", 2))], broken),
        ("overlap with a hold before the last", vec![(1, acquired("a", 1)), (9, forfeited("a", 1)), (3, acquired("b", 2)), (4, forfeited("b", 2))], broken),
        ("effect after the lease", vec![(1, acquired("a", 1)), (2, forfeited("a", 1)), (3, effect("a", 1, "r"))], broken),
        ("effect at another epoch", vec![(1, acquired("a", 2)), (3, effect("a", 1, "r"))], broken),
        ("effect without any hold", vec![(3, effect("a", 1, "r"))], broken),
    ]);
}

#[test]
#[rustfmt::skip]
fn assignment_survives() {
    let broken = Some(Promise::AssignmentSurvives);
    run(vec![
        ("one after the other", vec![(1, acknowledged("a", 5)), (1, believed("a", 5, Some(0))), (2, believed("b", 9, Some(5))), (3, acknowledged("b", 9))], None),
        ("a follower lags", vec![(1, believed("a", 5, None)), (2, believed("b", 9, None)), (2, acknowledged("b", 9)), (3, believed_by_follower("a", 5))], None),
        ("the only one that knew goes back", vec![(1, believed("a", 5, None)), (2, believed("b", 9, None)), (2, acknowledged("b", 9)), (3, believed("a", 5, None))], broken),
        ("an assignment nobody acknowledged is replaced", vec![(1, believed("a", 5, Some(0))), (2, believed("b", 9, Some(3)))], None),
        ("two owners of one epoch", vec![(1, believed("a", 5, None)), (2, believed("b", 5, None))], broken),
        ("lost and replaced", vec![(1, believed("a", 5, Some(3))), (1, acknowledged("a", 5)), (2, believed("b", 9, Some(3)))], broken),
        ("forgotten and learnt again", vec![(1, believed("a", 5, None)), (1, acknowledged("a", 5)), (2, lost_state()), (3, believed("a", 5, None))], None),
        ("forgotten", vec![(1, believed("a", 5, None)), (1, acknowledged("a", 5)), (2, lost_state())], broken),
        ("lost for good", vec![(1, acknowledged("a", 5)), (2, believed("b", 3, None))], broken),
        ("acknowledged backwards", vec![(1, acknowledged("b", 9)), (1, believed("b", 9, None)), (2, acknowledged("a", 5))], broken),
    ]);
}

#[test]
#[rustfmt::skip]
fn whole_answer() {
    let broken = Some(Promise::WholeAnswer);
    let answered = Some(Outcome::Answered);
    run(vec![
        ("own and whole", vec![(1, finished("r", 1, answered))], None),
        ("a refusal needs no body", vec![(1, answer("r", 1, Some(Outcome::NotRun), Some("r"), None))], None),
        ("no answer", vec![(1, finished("r", 1, None))], None),
        ("crossed", vec![(1, answer("r", 1, answered, Some("q"), Some(true)))], broken),
        ("crossed refusal", vec![(1, answer("r", 1, Some(Outcome::NotRun), Some("q"), None))], broken),
        ("truncated", vec![(1, answer("r", 1, answered, Some("r"), Some(false)))], broken),
        ("names no request", vec![(1, answer("r", 1, answered, None, Some(true)))], broken),
    ]);
}

#[test]
#[rustfmt::skip]
fn not_run() {
    let broken = Some(Promise::NotRun);
    let not_run = Some(Outcome::NotRun);
    let held = || (0, acquired("a", 1));
    run(vec![
        ("not run", vec![held(), (1, sent("r", 1)), (2, finished("r", 1, not_run))], None),
        ("sent again after that", vec![held(), (1, sent("r", 1)), (2, finished("r", 1, not_run)), (3, sent("r", 2)), (4, effect("a", 1, "r"))], None),
        ("ran and was answered", vec![held(), (1, sent("r", 1)), (2, effect("a", 1, "r")), (3, finished("r", 1, Some(Outcome::Answered)))], None),
        ("unknown and ran", vec![held(), (1, sent("r", 1)), (2, effect("a", 1, "r")), (3, finished("r", 1, Some(Outcome::Unknown)))], None),
        ("ran before", vec![held(), (1, sent("r", 1)), (2, effect("a", 1, "r")), (3, finished("r", 1, not_run))], broken),
        ("ran later", vec![held(), (1, sent("r", 1)), (2, finished("r", 1, not_run)), (3, effect("a", 1, "r"))], broken),
        ("the first attempt ran", vec![held(), (1, sent("r", 1)), (2, effect("a", 1, "r")), (3, finished("r", 1, None)), (4, sent("r", 2)), (5, finished("r", 2, not_run))], broken),
    ]);
}

#[test]
#[rustfmt::skip]
fn at_most_once() {
    let broken = Some(Promise::AtMostOnce);
    let held = || (0, acquired("a", 1));
    run(vec![
        ("once", vec![held(), (1, effect("a", 1, "r")), (2, effect("a", 1, "q"))], None),
        ("may be repeated", vec![held(), (1, repeatable_effect("a", 1, "r")), (2, repeatable_effect("a", 1, "r"))], None),
        ("twice at one server", vec![held(), (1, effect("a", 1, "r")), (2, effect("a", 1, "r"))], broken),
        ("twice at two servers", vec![held(), (1, effect("a", 1, "r")), (2, forfeited("a", 1)), (3, acquired("b", 2)), (4, effect("b", 2, "r"))], broken),
    ]);
}

#[test]
#[rustfmt::skip]
fn leaving_gets_no_work() {
    let broken = Some(Promise::LeavingGetsNoWork);
    run(vec![
        ("within two seconds", vec![(0, leaving("a")), (2_000, started("a", 1, "r"))], None),
        ("another server", vec![(0, leaving("a")), (9_000, started("b", 1, "r"))], None),
        ("stays after all", vec![(0, leaving("a")), (1_000, staying("a")), (9_000, started("a", 1, "r"))], None),
        ("too late", vec![(0, leaving("a")), (2_001, started("a", 1, "r"))], broken),
        ("told twice, counted from the first", vec![(0, leaving("a")), (1_500, leaving("a")), (2_500, started("a", 1, "r"))], broken),
    ]);
}

#[test]
#[rustfmt::skip]
fn planned_stop() {
    let broken = Some(Promise::PlannedStop);
    let held = || (0, acquired("a", 1));
    run(vec![
        ("finished first", vec![held(), (1, started("a", 1, "r")), (2, effect("a", 1, "r")), (3, stopped("a")), (4, finished("r", 1, Some(Outcome::Answered)))], None),
        ("cancelled first", vec![(1, started("a", 1, "r")), (3, stopped("a")), (4, finished("r", 1, Some(Outcome::NotRun)))], None),
        ("ended without its effect first", vec![(1, started("a", 1, "r")), (2, ended("a", 1, "r")), (3, stopped("a")), (4, finished("r", 1, Some(Outcome::Unknown)))], None),
        ("ended elsewhere", vec![(1, started("a", 1, "r")), (2, ended("b", 1, "r")), (3, stopped("a")), (4, finished("r", 1, Some(Outcome::Unknown)))], broken),
        ("not taken", vec![(3, stopped("a")), (4, finished("r", 1, None))], None),
        ("killed, not stopped", vec![(1, started("a", 1, "r")), (2, killed("a")), (3, stopped("a")), (4, finished("r", 1, Some(Outcome::Unknown)))], None),
        ("cut", vec![(1, started("a", 1, "r")), (3, cut("a", "r"))], broken),
        ("left without an answer", vec![(1, started("a", 1, "r")), (3, stopped("a")), (4, finished("r", 1, Some(Outcome::Unknown)))], broken),
    ]);
}

#[test]
#[rustfmt::skip]
fn bundle_in_force() {
    let broken = Some(Promise::BundleInForce);
    let begin = || (0, in_force(1, 0, 1));
    let end = || (60_000, staying("z"));
    run(vec![
        ("in time", vec![begin(), (10, accepted(1, 'a', 5)), (4_010, in_force(1, 1, 5)), end()], None),
        ("the same answer again", vec![begin(), (10, accepted(1, 'a', 5)), (20, accepted(1, 'a', 5)), (30, in_force(1, 1, 5)), end()], None),
        ("the router is out", vec![begin(), (5, frozen("router-1")), (10, accepted(1, 'a', 5)), (50_000, returned("router-1")), (54_000, in_force(1, 1, 5)), end()], None),
        (
            "the control group has no majority",
            vec![begin(), (10, accepted(1, 'a', 5)), (20, killed("control-1")), (30, frozen("control-2")), (9_000, returned("control-2")), (12_000, in_force(1, 1, 5)), end()],
            None,
        ),
        ("one control replica out is no excuse", vec![begin(), (10, accepted(1, 'a', 5)), (20, killed("control-1")), (12_000, in_force(1, 1, 5)), end()], broken),
        ("never in force", vec![begin(), (10, accepted(1, 'a', 5)), end()], broken),
        ("late after its return", vec![begin(), (5, frozen("router-1")), (10, accepted(1, 'a', 5)), (5_000, returned("router-1")), (9_500, in_force(1, 1, 5)), end()], broken),
        ("reverts", vec![(0, in_force(1, 2, 9)), (1, in_force(1, 1, 12))], broken),
        ("reverts by a restart", vec![(0, in_force(1, 2, 9)), (1, in_force(2, 1, 4))], broken),
        ("goes to a lower index", vec![(0, in_force(1, 2, 9)), (1, in_force(1, 2, 8))], broken),
        ("two bundles with one version", vec![(0, accepted(1, 'a', 5)), (1, accepted(1, 'b', 6))], broken),
        ("an older version accepted", vec![(0, accepted(2, 'a', 5)), (1, accepted(1, 'b', 6))], broken),
    ]);
}
