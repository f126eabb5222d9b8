//! Reads a control replica's data folder without changing it.
//!
//! Invariant: the folder's files are only read. They are copied into memory, and the storage locks and
//! repairs that copy.

use std::fs;
use std::path::Path;

use grebepin_ownership::OwnershipState;
use grebepin_schema::{Bundle, TableSnapshot};
use grebepin_storage::{Identity, Opened, ReplicaStorage, RestoredState, SimulatedDisk};

use crate::error::CliError;
use crate::files::{file_error, read};

/// Largest file of a data folder that is read, in bytes.
const MAX_FILE_BYTES: u64 = 4 << 30;

/// Persisted state of a replica.
pub(crate) struct ReplicaFolder {
    pub(crate) identity: Identity,
    pub(crate) restored: RestoredState,
}

/// Reads a data folder; an empty one is an error.
pub(crate) fn open(path: &Path) -> Result<ReplicaFolder, CliError> {
    let failed = |reason: String| CliError::Folder {
        path: path.to_owned(),
        reason,
    };
    let opened = ReplicaStorage::open(copy(path)?).map_err(|error| {
        failed(format!(
            "{error}; a replica must not run under its old identity here, see \
             docs/operators/replacing-a-control-machine.md"
        ))
    })?;
    match opened {
        Opened::Empty(_) => Err(failed("no replica has lived here".to_owned())),
        Opened::Present {
            identity, restored, ..
        } => Ok(ReplicaFolder { identity, restored }),
    }
}

fn copy(path: &Path) -> Result<SimulatedDisk, CliError> {
    let disk = SimulatedDisk::new(0);
    let entries = fs::read_dir(path).map_err(|source| file_error(path, source))?;
    for entry in entries {
        let entry = entry.map_err(|source| file_error(path, source))?;
        let file = entry.path();
        if file.is_file() {
            let name = entry.file_name().to_string_lossy().into_owned();
            disk.put(&name, read(&file, MAX_FILE_BYTES)?);
        }
    }
    Ok(disk)
}

impl ReplicaFolder {
    /// The ownership state in the snapshot; the initial state when there is no snapshot.
    pub(crate) fn snapshot_state(&self, path: &Path) -> Result<OwnershipState, CliError> {
        let mut state = OwnershipState::new(self.identity.group);
        if let Some((_, data)) = &self.restored.snapshot {
            state.restore(data).map_err(|error| CliError::Folder {
                path: path.to_owned(),
                reason: format!("the snapshot does not load: {error}"),
            })?;
        }
        Ok(state)
    }
}

/// The routing table and bundle after the folder's committed entries.
pub(crate) fn table(path: &Path) -> Result<(TableSnapshot, Option<Bundle>), CliError> {
    let folder = open(path)?;
    let mut state = folder.snapshot_state(path)?;
    let committed = folder.restored.hard_state.commit;
    for entry in &folder.restored.entries {
        if entry.index <= committed {
            crate::commands::replay::apply(&mut state, entry);
        }
    }
    let bundle = state.bundle().map(|signed| signed.bundle.clone());
    Ok((state.table(), bundle))
}
