//! Reads TOML into the settings types of the schema; errors name the invalid field.

use std::path::Path;

use serde::de::DeserializeOwned;

use crate::error::SettingsError;

/// Maximum size of a settings file in bytes.
const MAX_SETTINGS_BYTES: u64 = 1 << 20;

/// Suffix of the names of fields that hold a time; their values are whole numbers of milliseconds.
const TIME_SUFFIX: &str = "_ms";

pub(crate) fn read(path: &Path) -> Result<String, SettingsError> {
    let unreadable = |source| SettingsError::Unreadable {
        path: path.to_owned(),
        source,
    };
    let size = std::fs::metadata(path).map_err(unreadable)?.len();
    if size > MAX_SETTINGS_BYTES {
        let message = format!("{size} bytes are over the limit of {MAX_SETTINGS_BYTES}");
        return Err(malformed(path, None, message));
    }
    std::fs::read_to_string(path).map_err(unreadable)
}

pub(crate) fn parse<T: DeserializeOwned>(path: &Path, text: &str) -> Result<T, SettingsError> {
    let deserializer = toml::Deserializer::parse(text)
        .map_err(|error| malformed(path, None, error.to_string().trim_end().to_owned()))?;
    serde_path_to_error::deserialize(deserializer).map_err(|error| {
        let field = error.path().to_string();
        let field = (field != ".").then_some(field);
        let mut message = error.inner().message().to_owned();
        message.push_str(&position(text, error.inner().span()));
        message.push_str(hint(&field, &message));
        malformed(path, field, message)
    })
}

fn position(text: &str, span: Option<std::ops::Range<usize>>) -> String {
    let Some(before) = span.and_then(|span| text.get(..span.start)) else {
        return String::new();
    };
    let line = before.matches('\n').count() + 1;
    format!(" (line {line})")
}

fn hint(field: &Option<String>, message: &str) -> &'static str {
    let is_time = field
        .as_ref()
        .is_some_and(|name| name.ends_with(TIME_SUFFIX));
    if is_time && message.contains("invalid type") {
        return "; write a whole number of milliseconds without a unit";
    }
    if message.contains("unknown field") {
        return "; times end in _ms, sizes in _bytes, see docs/SETTINGS.md";
    }
    ""
}

fn malformed(path: &Path, field: Option<String>, message: String) -> SettingsError {
    SettingsError::Malformed {
        path: path.to_owned(),
        field,
        message,
    }
}
