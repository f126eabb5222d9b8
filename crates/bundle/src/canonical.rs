//! Canonical form of a bundle: JSON without white space, with the fields of each object sorted by
//! name, defaults filled in and absent fields left out.

use grebepin_schema::{Bundle, Digest};
use serde_json::Value;
use sha2::{Digest as _, Sha256};

/// Bytes that the digest covers.
pub fn canonical_bytes(bundle: &Bundle) -> Vec<u8> {
    let value = serde_json::to_value(bundle).expect("a bundle holds only strings, numbers, lists");
    let mut text = String::new();
    write_value(&value, &mut text);
    text.into_bytes()
}

/// SHA-256 of the canonical form.
pub fn digest(bundle: &Bundle) -> Digest {
    let hash = Sha256::digest(canonical_bytes(bundle));
    hex::encode(hash)
        .parse()
        .expect("a SHA-256 in hexadecimal is a digest")
}

fn write_value(value: &Value, text: &mut String) {
    match value {
        Value::Object(fields) => write_object(fields, text),
        Value::Array(items) => write_array(items, text),
        scalar => text.push_str(&scalar.to_string()),
    }
}

fn write_object(fields: &serde_json::Map<String, Value>, text: &mut String) {
    let mut sorted: Vec<_> = fields.iter().collect();
    sorted.sort_by_key(|(name, _)| name.as_str());
    text.push('{');
    for (position, (name, value)) in sorted.into_iter().enumerate() {
        if position > 0 {
            text.push(',');
        }
        text.push_str(&Value::from(name.as_str()).to_string());
        text.push(':');
        write_value(value, text);
    }
    text.push('}');
}

fn write_array(items: &[Value], text: &mut String) {
    text.push('[');
    for (position, item) in items.iter().enumerate() {
        if position > 0 {
            text.push(',');
        }
        write_value(item, text);
    }
    text.push(']');
}
