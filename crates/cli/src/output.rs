//! Prints results as text or JSON.

use std::fmt::Display;
use std::io::{ErrorKind, Write};

use serde::Serialize;

use crate::error::CliError;

/// Output format of results.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Format {
    Text,
    Json,
}

impl Format {
    pub(crate) fn new(json: bool) -> Self {
        match json {
            true => Self::Json,
            false => Self::Text,
        }
    }

    /// Prints a result to standard output.
    pub(crate) fn print<T: Serialize + Display>(self, result: &T) -> Result<(), CliError> {
        let text = match self {
            Self::Text => result.to_string(),
            Self::Json => serde_json::to_string_pretty(result)?,
        };
        print_text(&text)
    }
}

/// Prints text to standard output, and a line break if it does not end with one.
pub(crate) fn print_text(text: &str) -> Result<(), CliError> {
    let mut output = std::io::stdout().lock();
    let end = if text.ends_with('\n') { "" } else { "\n" };
    let printed = write!(output, "{text}{end}").and_then(|()| output.flush());
    match printed {
        // The reader may close the pipe early, as `head` does; the command itself has succeeded.
        Err(error) if error.kind() == ErrorKind::BrokenPipe => Ok(()),
        printed => printed.map_err(CliError::Print),
    }
}
