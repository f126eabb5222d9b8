//! Why a control node can't start or go on.

use grebepin_schema::GroupId;

/// Why a control node can't start or go on.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// The data folder belongs to another group.
    #[error("the data folder belongs to group {found}, the settings say group {expected}")]
    WrongGroup {
        /// Group of the folder.
        found: GroupId,
        /// Group of the settings.
        expected: GroupId,
    },
}
