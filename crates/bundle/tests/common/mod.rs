//! A bundle from `deployments/`, and a function to change fields of it.

use grebepin_schema::Bundle;
use serde_json::Value;

pub const RECIFE: &str = include_str!("../../../../deployments/recife/bundle-1.json");

pub fn recife() -> Bundle {
    serde_json::from_str(RECIFE).expect("the deployment's bundle parses")
}

/// Returns the bundle with the value at each JSON pointer replaced.
pub fn changed(bundle: &Bundle, changes: &[(&str, Value)]) -> Bundle {
    let mut value = serde_json::to_value(bundle).expect("encodes");
    for (pointer, new) in changes {
        let (parent, field) = pointer.rsplit_once('/').expect("a pointer");
        let parent = value.pointer_mut(parent).expect("the parent exists");
        match parent {
            Value::Object(fields) => {
                fields.insert(field.to_owned(), new.clone());
            }
            Value::Array(items) => items[field.parse::<usize>().expect("a position")] = new.clone(),
            other => panic!("{pointer} points into {other}"),
        }
    }
    serde_json::from_value(value).expect("still a bundle")
}
