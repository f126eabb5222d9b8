//! One structured log line.

use std::collections::BTreeMap;

/// A line with its values.
#[derive(Clone, Debug)]
pub(super) struct LogLine {
    /// File that it stands in, without its ending.
    pub process: String,
    /// Seconds since 1970, by the machine's clock.
    pub at: f64,
    /// Number of the event.
    pub event: u32,
    fields: BTreeMap<String, String>,
}

impl LogLine {
    /// Reads a line; `None` when it is cut or no event.
    pub(super) fn parse(process: &str, written: &str) -> Option<Self> {
        let fields = fields(written)?;
        // The text stands last: without it the line was cut.
        fields.get("text")?;
        Some(Self {
            process: process.to_owned(),
            at: fields.get("at")?.parse().ok()?,
            event: fields.get("event")?.parse().ok()?,
            fields,
        })
    }

    /// A value.
    pub(super) fn get(&self, name: &str) -> Option<&str> {
        self.fields.get(name).map(String::as_str)
    }

    /// The line as it is shown.
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

/// Values by name; `None` when a quote is not closed or a part has no name.
fn fields(written: &str) -> Option<BTreeMap<String, String>> {
    let mut fields = BTreeMap::new();
    let mut rest = written.trim_end();
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

/// A quoted value and what follows it.
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
