//! The values that stand in frames.

use grebepin_schema::{ClusterId, Entry, GroupId, HardState, ReplicaId, SnapshotMeta};
use serde::{Deserialize, Serialize};

use crate::error::{Damage, StorageError};

/// Whose folder this is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The replica; never used again once the folder is lost.
    pub replica: ReplicaId,
    /// Its control group.
    pub group: GroupId,
    /// Founding the replica belongs to; absent until it was founded or joined.
    pub cluster: Option<ClusterId>,
}

/// What the identity file holds: the part of the identity that never changes.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct FixedIdentity {
    pub replica: ReplicaId,
    pub group: GroupId,
}

/// First record of a log segment: everything that was in force when it was started. The newest one
/// decides which snapshot and which segments count, so that starting a segment is one atomic step.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct SegmentStart {
    /// Number of this segment, from 1.
    pub segment: u64,
    /// Oldest segment whose entries count.
    pub oldest_segment: u64,
    /// Whose folder this is.
    pub identity: Identity,
    /// Segment that the snapshot in force was written for.
    pub snapshot: Option<u64>,
    /// Hard state in force.
    pub hard_state: HardState,
}

/// One batch of the log.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Batch {
    pub hard_state: Option<HardState>,
    pub entries: Vec<Entry>,
}

/// A batch that is written.
#[derive(Serialize)]
pub(crate) struct BatchView<'a> {
    pub hard_state: Option<&'a HardState>,
    pub entries: &'a [Entry],
}

/// A snapshot with its data.
pub(crate) type Snapshot = (SnapshotMeta, Vec<u8>);

pub(crate) fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, StorageError> {
    Ok(rmp_serde::to_vec_named(value)?)
}

/// Decodes the body of a frame of `file` that starts at `offset`.
pub(crate) fn decode<'a, T: Deserialize<'a>>(
    file: &str,
    offset: usize,
    body: &'a [u8],
) -> Result<T, StorageError> {
    rmp_serde::from_slice(body)
        .map_err(|_| StorageError::damaged(file, offset as u64, Damage::Undecodable))
}
