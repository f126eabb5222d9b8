//! The values that are stored in frames. Their fields are written by name.

use grebepin_schema::{ClusterId, Entry, GroupId, HardState, ReplicaId, SnapshotMeta};
use serde::{Deserialize, Serialize};

use crate::error::{Damage, StorageError};

/// The replica, group and cluster that a folder belongs to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Id of the replica; never reused after the folder was lost.
    pub replica: ReplicaId,
    /// Group of replicas that it belongs to.
    pub group: GroupId,
    /// Id that the group was given when it was founded; absent until the replica is founded or has joined.
    pub cluster: Option<ClusterId>,
}

/// Content of the identity file: the part of the identity that never changes.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct FixedIdentity {
    pub replica: ReplicaId,
    pub group: GroupId,
}

/// First record of a log segment: the state at the time the segment was started. The record of the newest
/// segment determines the current snapshot and the segments of the log, so that both change atomically when a
/// segment is started.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct SegmentStart {
    /// Number of this segment, from 1.
    pub segment: u64,
    /// Number of the oldest segment of the log.
    pub oldest_segment: u64,
    /// The replica, group and cluster that the folder belongs to.
    pub identity: Identity,
    /// Segment number in the name of the current snapshot; absent without a snapshot.
    pub snapshot: Option<u64>,
    /// Hard state at the time the segment was started.
    pub hard_state: HardState,
}

/// A batch of the log, as it is read.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Batch {
    pub hard_state: Option<HardState>,
    pub entries: Vec<Entry>,
}

/// A batch of the log, as it is written; must have the fields of [`Batch`].
#[derive(Serialize)]
pub(crate) struct BatchView<'a> {
    pub hard_state: Option<&'a HardState>,
    pub entries: &'a [Entry],
}

/// Metadata and data of a snapshot.
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
