//! `docs/SETTINGS.md` and the schema name the same fields, defaults and limits.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::Value;

const PAGE: &str = include_str!("../../../docs/SETTINGS.md");
const SCHEMA: &str = include_str!("../../../schema/settings.json");

/// Default and limits by field, as one section of the page states them.
fn documented(section: &str) -> BTreeMap<String, (String, String)> {
    let start = PAGE.find(section).expect("the section exists") + section.len();
    let rows = PAGE[start..]
        .lines()
        .skip_while(|line| !line.starts_with('|'));
    rows.take_while(|line| line.starts_with('|'))
        .skip(2)
        .map(|line| {
            let cells: Vec<_> = line.trim_matches('|').split('|').map(str::trim).collect();
            assert_eq!(cells.len(), 4, "row has four cells: {line}");
            let field = cells[0].trim_matches('`').to_owned();
            (field, (cells[1].to_owned(), cells[2].to_owned()))
        })
        .collect()
}

fn definition(name: &str) -> Value {
    let schema: Value = serde_json::from_str(SCHEMA).expect("JSON");
    schema["definitions"][name].clone()
}

#[test]
fn the_page_names_exactly_the_fields_with_their_defaults_and_limits() {
    let sections = [
        ("## grebepin-control", "ControlSettings"),
        ("`[[operators]]`", "TrustedOperator"),
        ("`[timing]`:", "ControlTiming"),
        ("## grebepin-router", "RouterSettings"),
        ("`[limits]`:", "RouterLimits"),
    ];
    for (section, name) in sections {
        let documented = documented(section);
        let definition = definition(name);
        let fields = definition["properties"].as_object().expect("has fields");
        let coded: BTreeSet<_> = fields.keys().collect();
        assert_eq!(
            documented.keys().collect::<BTreeSet<_>>(),
            coded,
            "{section}"
        );
        let needed = definition["required"].as_array().expect("a list");
        for (field, schema) in fields {
            let (default, limits) = &documented[field];
            let is_needed = needed.iter().any(|one| one == field);
            assert_eq!(default == "needed", is_needed, "{section} {field}");
            if let Some(value) = schema.get("default") {
                assert_eq!(*default, value.to_string(), "{section} {field}");
            }
            if let Some(maximum) = schema.get("maximum") {
                let expected = format!("{} to {maximum}", schema["minimum"]);
                assert_eq!(*limits, expected, "{section} {field}");
            }
        }
    }
}
