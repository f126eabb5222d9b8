//! Opens a node on its disk.
//!
//! Invariant: an empty data directory gets an identity that was never used before, and joins or is founded
//! under it; a data directory that lost synced data is rejected.

use std::time::Duration;

use grebepin_consensus::{Consensus, Restored};
use grebepin_ownership::OwnershipState;
use grebepin_replica::{LogWriter, SnapshotSchedule};
use grebepin_schema::{HardState, LogIndex, ReplicaId, SnapshotMeta, Term};
use grebepin_storage::{Disk, Identity, Opened, ReplicaStorage, RestoredState};

use super::calls::Calls;
use super::config::NodeConfig;
use super::error::NodeError;
use super::joining::Joining;
use super::output::{NodeMetrics, NodeOutput, Notice};
use super::routers::Routers;
use super::waiting::Waiting;
use super::ControlNode;

/// Creates the data directory's contents if it is empty, and restores the node from it otherwise.
pub(super) fn open<D: Disk>(
    config: NodeConfig,
    disk: D,
    now: Duration,
) -> Result<ControlNode<D>, NodeError> {
    let (storage, restored) = match ReplicaStorage::open(disk)? {
        Opened::Empty(disk) => (create(&config, disk)?, empty_state()),
        Opened::Present {
            storage, restored, ..
        } => (storage, restored),
    };
    let identity = storage.identity().clone();
    if identity.group != config.group {
        return Err(NodeError::WrongGroup {
            found: identity.group,
            expected: config.group,
        });
    }
    let storage = storage.with_guards(config.guards.storage);
    build_node(config, storage, identity.replica, restored, now)
}

fn create<D: Disk>(config: &NodeConfig, disk: D) -> Result<ReplicaStorage<D>, NodeError> {
    let identity = Identity {
        replica: config.fresh_replica,
        group: config.group,
        cluster: None,
    };
    Ok(ReplicaStorage::create(disk, identity, None)?)
}

fn build_node<D: Disk>(
    config: NodeConfig,
    storage: ReplicaStorage<D>,
    replica: ReplicaId,
    restored: RestoredState,
    now: Duration,
) -> Result<ControlNode<D>, NodeError> {
    let (state, applied) = restore_state(&config, restored.snapshot.as_ref())?;
    let log_writer = LogWriter::new(&restored.hard_state);
    let snapshot_bytes = restored.snapshot.as_ref().map_or(0, |(_, data)| data.len());
    let snapshots = SnapshotSchedule::new(config.timing.snapshot_every_entries, snapshot_bytes);
    let mut outputs = Vec::new();
    if let Some(torn) = &restored.torn_tail {
        let bytes = torn.bytes;
        outputs.push(NodeOutput::Notice(Notice::TornTailCut { bytes }));
    }
    let restored = Restored {
        hard_state: restored.hard_state,
        snapshot: restored.snapshot,
        entries: restored.entries,
    };
    Ok(ControlNode {
        consensus: Consensus::new(config.consensus(replica), restored, now),
        replica,
        storage,
        state,
        applied,
        log_writer,
        snapshots,
        leadership: None,
        waiting: Waiting::default(),
        routers: Routers::new(config.timing.server_heartbeat),
        calls: Calls::default(),
        joining: Joining::new(&config),
        metrics: NodeMetrics::default(),
        failed: false,
        outputs,
        config,
    })
}

fn restore_state(
    config: &NodeConfig,
    snapshot: Option<&(SnapshotMeta, Vec<u8>)>,
) -> Result<(OwnershipState, LogIndex), NodeError> {
    let mut state = OwnershipState::with_guards(config.group, config.guards.ownership);
    let Some((meta, data)) = snapshot else {
        return Ok((state, LogIndex(0)));
    };
    state
        .restore(data)
        .map_err(|error| NodeError::Snapshot(error.to_string()))?;
    Ok((state, meta.index))
}

fn empty_state() -> RestoredState {
    RestoredState {
        hard_state: HardState {
            term: Term(0),
            vote: None,
            commit: LogIndex(0),
        },
        snapshot: None,
        entries: Vec::new(),
        torn_tail: None,
    }
}
