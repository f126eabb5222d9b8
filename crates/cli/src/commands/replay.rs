//! `grebepin replay`: shows the decisions in a control replica's data folder, one per line.

mod decision;
mod state;

use std::fmt;

use grebepin_ownership::{Applied, OwnershipState};
use grebepin_schema::{framing, Command, Entry, EntryPayload, LogIndex, Term};
use serde::Serialize;

use crate::arguments;
use crate::error::CliError;
use crate::output::Format;
use crate::replica_folder::{self, ReplicaFolder};

use state::StateReport;

#[derive(Serialize)]
struct ReplayReport {
    replica: u64,
    cluster: Option<String>,
    snapshot_index: u64,
    committed: u64,
    /// Number of entries after the last one known to be committed; they may never be committed.
    beyond_committed: usize,
    decisions: Vec<Decision>,
    state: StateReport,
}

/// A log entry and its outcome.
#[derive(Serialize)]
struct Decision {
    index: LogIndex,
    term: Term,
    /// Whether the folder records that the entry is committed; any other may never be committed.
    committed: bool,
    text: String,
}

pub(crate) fn run(arguments: &arguments::Replay, format: Format) -> Result<(), CliError> {
    let folder = replica_folder::open(&arguments.folder)?;
    let mut state = folder.snapshot_state(&arguments.folder)?;
    let last = last_index(&folder, arguments.to)?;
    let mut decisions = Vec::new();
    for entry in folder
        .restored
        .entries
        .iter()
        .filter(|one| one.index <= last)
    {
        let text = apply(&mut state, entry);
        decisions.push(Decision {
            index: entry.index,
            term: entry.term,
            committed: entry.index <= folder.restored.hard_state.commit,
            text,
        });
    }
    if arguments.state_only {
        decisions.clear();
    }
    format.print(&report(&folder, decisions, &state))
}

/// Applies one entry and describes its outcome.
pub(crate) fn apply(state: &mut OwnershipState, entry: &Entry) -> String {
    match &entry.payload {
        EntryPayload::Noop => {
            state.skip(entry.index);
            "a new leader".to_owned()
        }
        EntryPayload::Membership(membership) => {
            state.skip(entry.index);
            decision::membership(membership)
        }
        EntryPayload::Command(bytes) => match framing::decode::<Command>(&bytes.0) {
            Ok(command) => {
                let applied: Applied = state.apply(entry.index, &command);
                decision::outcome(&command, &applied.outcome)
            }
            Err(error) => {
                state.skip(entry.index);
                format!("UNREADABLE COMMAND: {error}")
            }
        },
    }
}

fn last_index(folder: &ReplicaFolder, to: Option<u64>) -> Result<LogIndex, CliError> {
    let committed = folder.restored.hard_state.commit;
    let Some(to) = to else {
        return Ok(committed);
    };
    let snapshot = snapshot_index(folder);
    let last = folder.restored.entries.last();
    let last = last.map_or(snapshot, |entry| entry.index.0);
    if to < snapshot || to > last {
        return Err(CliError::Argument {
            argument: "--to",
            value: to.to_string(),
            reason: format!("this folder holds the states {snapshot} to {last}"),
        });
    }
    Ok(LogIndex(to))
}

fn snapshot_index(folder: &ReplicaFolder) -> u64 {
    let snapshot = folder.restored.snapshot.as_ref();
    snapshot.map_or(0, |(meta, _)| meta.index.0)
}

fn report(
    folder: &ReplicaFolder,
    decisions: Vec<Decision>,
    state: &OwnershipState,
) -> ReplayReport {
    let committed = folder.restored.hard_state.commit;
    let entries = folder.restored.entries.iter();
    let cluster = folder.identity.cluster.as_ref();
    ReplayReport {
        replica: folder.identity.replica.0,
        cluster: cluster.map(|cluster| cluster.to_string()),
        snapshot_index: snapshot_index(folder),
        committed: committed.0,
        beyond_committed: entries.filter(|entry| entry.index > committed).count(),
        decisions,
        state: StateReport::new(state),
    }
}

impl fmt::Display for Decision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let note = match self.committed {
            true => "",
            false => " (not known to be committed)",
        };
        let (index, term, text) = (self.index, self.term, &self.text);
        write!(formatter, "{index:>8} term {term}: {text}{note}")
    }
}

impl fmt::Display for ReplayReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let cluster = self.cluster.as_deref().unwrap_or("none, not founded");
        writeln!(formatter, "replica {}, cluster {cluster}", self.replica)?;
        writeln!(
            formatter,
            "snapshot at {}, committed at least to {}, {} entries beyond",
            self.snapshot_index, self.committed, self.beyond_committed
        )?;
        for decision in &self.decisions {
            writeln!(formatter, "{decision}")?;
        }
        write!(formatter, "{}", self.state)
    }
}
