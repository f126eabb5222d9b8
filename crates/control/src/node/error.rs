//! Errors that stop a control node.

use grebepin_schema::GroupId;
use grebepin_storage::StorageError;

/// Error that prevents a control node from starting or continuing.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// The data directory is damaged, or reading or writing it failed.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// The data directory belongs to another group.
    #[error("the data folder belongs to group {found}, the settings say group {expected}")]
    WrongGroup {
        /// Group recorded in the data directory.
        found: GroupId,
        /// Group in the settings.
        expected: GroupId,
    },
    /// A complete snapshot, stored or received, doesn't decode to an ownership state.
    #[error("the snapshot does not hold an ownership state: {0}")]
    Snapshot(String),
    /// A committed command doesn't decode: it was written by a newer program version.
    #[error("a committed command does not decode; run the program version that wrote it: {0}")]
    Command(#[from] grebepin_schema::framing::FrameError),
}

impl NodeError {
    /// Whether synced bytes were lost or changed. The data directory must then be moved away, and the replica
    /// must join the group again under a new identity.
    pub fn is_damage(&self) -> bool {
        matches!(
            self,
            Self::Storage(StorageError::Damaged { .. }) | Self::Snapshot(_)
        )
    }
}
