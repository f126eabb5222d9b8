//! Reading histories, and the counts and measures computed from them.

mod support;

use grebepin_check::{check, measure, read_history, CheckLimits, ReadError, MAX_LINE_BYTES};
use grebepin_schema::{HistoryRecord, Outcome};
use support::*;

fn sample() -> Vec<HistoryRecord> {
    vec![
        at(0, acquired("a", 1)),
        at(1, sent("r", 1)),
        at(2, effect("a", 1, "r")),
        at(3, finished("r", 1, Some(Outcome::Answered))),
        at(4, sent("q", 1)),
        at(5, forfeited("a", 1)),
        at(25, acquired("b", 2)),
        at(40, effect("b", 2, "q")),
        at(50, finished("q", 1, Some(Outcome::Answered))),
    ]
}

#[test]
fn a_serialized_history_is_read_back() {
    let lines: Vec<String> = sample()
        .iter()
        .map(|record| serde_json::to_string(record).expect("encodes"))
        .collect();
    let text = format!("\n{}\n\n", lines.join("\n"));
    let read: Result<Vec<_>, _> = read_history(text.as_bytes()).collect();
    assert_eq!(read.expect("reads"), sample());
}

#[test]
fn an_invalid_line_is_reported_and_ends_the_history() {
    let good = serde_json::to_string(&sample()[0]).expect("encodes");
    let read: Vec<_> = read_history(format!("{good}\nrubbish\n{good}\n").as_bytes()).collect();
    assert_eq!(read.len(), 2);
    assert!(matches!(read[1], Err(ReadError::Parse { line: 2, .. })));
    let long = " ".repeat(MAX_LINE_BYTES + 1);
    let read: Vec<_> = read_history(long.as_bytes()).collect();
    assert!(matches!(read[..], [Err(ReadError::TooLong { line: 1 })]));
}

#[test]
fn counts_and_measures() {
    let report = check(&sample(), &CheckLimits::default());
    assert!(report.is_clean(), "{:?}", report.violations);
    assert_eq!((report.counts.effects, report.counts.answered), (2, 2));
    let measures = measure(&sample());
    let ledger = &measures.services["ledger"];
    assert_eq!(ledger.owner_changes, 1);
    assert_eq!(ledger.longest_unowned_us, 20_000);
    assert_eq!(ledger.longest_unanswered_us, 46_000);
    assert_eq!(ledger.imbalance.shards, 2.0);
    assert_eq!(ledger.imbalance.load, 1.0);
}

#[test]
fn overlaps_within_the_clock_tolerance_are_accepted() {
    let mut records = vec![at(1, acquired("a", 1)), at(5, acquired("b", 2))];
    records.push(HistoryRecord {
        at_us: 6_000,
        ..at(0, forfeited("a", 1))
    });
    assert!(!check(&records, &CheckLimits::default()).is_clean());
    assert!(check(&records, &CheckLimits::for_processes()).is_clean());
}
