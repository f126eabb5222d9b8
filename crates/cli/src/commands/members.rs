//! `grebepin members`: changes the members of the control group.

use std::fmt;

use grebepin_schema::{LogIndex, ReplicaId};
use serde::Serialize;

use crate::arguments::MembersRemove;
use crate::error::CliError;
use crate::output::Format;

#[derive(Serialize)]
struct Removed {
    replica: ReplicaId,
    index: LogIndex,
}

impl fmt::Display for Removed {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "replica {} removed (log index {})",
            self.replica, self.index
        )?;
        write!(
            formatter,
            "`grebepin status` shows what the group may lose now"
        )
    }
}

pub(crate) fn remove(arguments: &MembersRemove, format: Format) -> Result<(), CliError> {
    let replica = ReplicaId(arguments.replica);
    let answer = arguments.connection.client().remove_member(replica)?;
    format.print(&Removed {
        replica,
        index: answer.index,
    })
}
