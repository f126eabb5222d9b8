//! One structured log line.

use std::collections::BTreeMap;

/// A parsed log line.
#[derive(Clone, Debug)]
pub(super) struct LogLine {
    /// Name of the log file without its extension, which is the process name.
    pub process: String,
    /// Seconds since the Unix epoch by the machine's clock.
    pub at: f64,
    /// Number of the event in the catalogue.
    pub event: u32,
    fields: BTreeMap<String, String>,
}

impl LogLine {
    /// Parses a line; `None` when it is truncated or not an event.
    pub(super) fn parse(process: &str, line: &str) -> Option<Self> {
        let fields = fields(line)?;
        // The text is the last field; a line without it was truncated.
        fields.get("text")?;
        Some(Self {
            process: process.to_owned(),
            at: fields.get("at")?.parse().ok()?,
            event: fields.get("event")?.parse().ok()?,
            fields,
        })
    }

    /// Value of a field.
    pub(super) fn get(&self, name: &str) -> Option<&str> {
        self.fields.get(name).map(String::as_str)
    }

    /// Formats the line for the report: time, process, event, text, then the other fields by name.
    pub(super) fn shown(&self) -> String {
        let values = self
            .fields
            .iter()
            .filter(|(name, _)| !matches!(name.as_str(), "at" | "t" | "event" | "level" | "text"));
        let values: Vec<String> = values
            .map(|(name, value)| format!("{name}={value}"))
            .collect();
        let text = self.get("text").unwrap_or_default();
        format!(
            "{:.3} {} {} {text}: {}",
            self.at,
            self.process,
            self.event,
            values.join(" ")
        )
    }
}

/// Parses the fields of a line; `None` when a quote is not closed or a part has no name.
fn fields(line: &str) -> Option<BTreeMap<String, String>> {
    let mut fields = BTreeMap::new();
    let mut rest = line.trim_end();
    while !rest.is_empty() {
        let (name, after) = rest.split_once('=')?;
        let (value, after) = match after.strip_prefix('"') {
            Some(quoted) => quoted_value(quoted)?,
            None => {
                let end = after.find(' ').unwrap_or(after.len());
                (after[..end].to_owned(), &after[end..])
            }
        };
        fields.insert(name.to_owned(), value);
        rest = after.trim_start();
    }
    Some(fields)
}

/// Parses a quoted value after its opening quote; returns the value and the rest of the line.
fn quoted_value(quoted: &str) -> Option<(String, &str)> {
    let mut value = String::new();
    let mut characters = quoted.char_indices();
    while let Some((at, character)) = characters.next() {
        match character {
            '"' => return Some((value, &quoted[at + 1..])),
            '\\' => value.push(characters.next()?.1),
            other => value.push(other),
        }
    }
    None
}
