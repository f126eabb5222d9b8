//! The catalogue of events in the code matches the table in `docs/EVENTS.md`.

use std::collections::BTreeSet;

use grebepin_telemetry::Event;

const CATALOGUE: &str = include_str!("../../../docs/EVENTS.md");

fn documented() -> Vec<[String; 4]> {
    let rows = CATALOGUE.lines().filter(|line| line.starts_with('|'));
    rows.skip(2)
        .map(|line| {
            let cells: Vec<_> = line.trim_matches('|').split('|').map(str::trim).collect();
            assert_eq!(cells.len(), 5, "row has five cells: {line}");
            assert!(!cells[4].is_empty(), "row says what to do: {line}");
            [0, 1, 2, 3].map(|cell: usize| cells[cell].to_owned())
        })
        .collect()
}

fn coded() -> Vec<[String; 4]> {
    Event::ALL
        .iter()
        .map(|event| {
            [
                event.number().to_string(),
                event.level().to_string().to_lowercase(),
                format!("{event:?}"),
                event.text().to_owned(),
            ]
        })
        .collect()
}

#[test]
fn documentation_lists_exactly_the_events_of_the_code() {
    let documented: BTreeSet<_> = documented().into_iter().collect();
    let coded: BTreeSet<_> = coded().into_iter().collect();
    let missing: Vec<_> = coded.difference(&documented).collect();
    let surplus: Vec<_> = documented.difference(&coded).collect();
    assert!(missing.is_empty(), "not in docs/EVENTS.md: {missing:#?}");
    assert!(surplus.is_empty(), "not in the code: {surplus:#?}");
}

#[test]
fn numbers_are_unique_and_in_range() {
    let numbers: BTreeSet<_> = Event::ALL.iter().map(|event| event.number()).collect();
    assert_eq!(numbers.len(), Event::ALL.len());
    assert!(numbers.iter().all(|number| (100..500).contains(number)));
    assert_eq!(documented().len(), Event::ALL.len());
}
