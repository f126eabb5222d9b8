//! Why a control node can't start or go on.

use grebepin_schema::GroupId;
use grebepin_storage::StorageError;

/// Why a control node can't start or go on.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// The data folder is damaged, can't be read, or took no write.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// The data folder belongs to another group.
    #[error("the data folder belongs to group {found}, the settings say group {expected}")]
    WrongGroup {
        /// Group of the folder.
        found: GroupId,
        /// Group of the settings.
        expected: GroupId,
    },
    /// A snapshot that was stored or received whole is no ownership state.
    #[error("the snapshot does not hold an ownership state: {0}")]
    Snapshot(String),
    /// A committed command doesn't decode, so this program is older than the one that wrote it.
    #[error("a committed command does not decode; run the program version that wrote it: {0}")]
    Command(#[from] grebepin_schema::framing::FrameError),
}

impl NodeError {
    /// Whether the folder lost or changed bytes that had been synced: it must be moved away, and the
    /// replica must join anew under another identity.
    pub fn is_damage(&self) -> bool {
        matches!(
            self,
            Self::Storage(StorageError::Damaged { .. }) | Self::Snapshot(_)
        )
    }
}
