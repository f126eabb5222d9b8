//! `grebepin drain`: moves a server's shards to others, or ends its drain.

use std::fmt;

use grebepin_schema::{LogIndex, ServerName};
use serde::Serialize;

use crate::arguments::Drain;
use crate::error::CliError;
use crate::output::Format;

#[derive(Serialize)]
struct Drained {
    server: ServerName,
    draining: bool,
    index: LogIndex,
    /// Number of shards that the server still owns.
    shards: u32,
}

impl fmt::Display for Drained {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let server = self.server.as_str();
        if !self.draining {
            return write!(formatter, "{server} is back (log index {})", self.index);
        }
        writeln!(formatter, "{server} drains (log index {})", self.index)?;
        write!(
            formatter,
            "{} shards to move; stop the server once `grebepin status` shows it owns 0",
            self.shards
        )
    }
}

pub(crate) fn run(arguments: &Drain, format: Format) -> Result<(), CliError> {
    let server: ServerName = arguments.server.parse().map_err(|_| CliError::Argument {
        argument: "SERVER",
        value: arguments.server.clone(),
        reason: "a name is lower-case letters, digits, dots and dashes".to_owned(),
    })?;
    let draining = !arguments.undo;
    let answer = arguments.connection.client().drain(&server, draining)?;
    format.print(&Drained {
        server,
        draining,
        index: answer.index,
        shards: answer.shards,
    })
}
