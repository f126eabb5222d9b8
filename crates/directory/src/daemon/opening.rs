//! Opens the node on its data folder.

use std::path::Path;
use std::time::{Duration, SystemTime};

use grebepin_grants::Timing;
use grebepin_schema::ReplicaId;
use grebepin_storage::{RealDisk, StorageError};
use grebepin_telemetry::{event, Event};

use super::DirectoryError;
use crate::node::{Node, NodeConfig, NodeError, NodeTiming};
use crate::settings::DirectorySettings;

/// Number of heartbeat intervals without a heartbeat after which a server without a lease counts as gone.
const FORGET_AFTER_HEARTBEATS: u32 = 10;

pub(super) fn modified_at(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path)
        .and_then(|data| data.modified())
        .ok()
}

pub(super) fn open_node(settings: &DirectorySettings) -> Result<Node<RealDisk>, DirectoryError> {
    let leases = Timing {
        lease: settings.lease(),
        heartbeat_interval: Duration::from_secs_f64(settings.heartbeat_s),
        drain_window: settings.drain_window(),
        evacuation_window: settings.evacuation_window(),
        server_timeout: Duration::from_secs_f64(settings.heartbeat_s) * FORGET_AFTER_HEARTBEATS,
    };
    let config = NodeConfig {
        zone: settings.zone.clone(),
        zones: settings.zones.iter().cloned().collect(),
        link_address: settings.link_address(),
        control_address: settings.control_address,
        seeds: settings.seed_links(),
        bootstrap: settings.bootstrap,
        fault_tolerance: settings.fault_tolerance,
        may_vote: settings.tolerance_member,
        new_replica_id: ReplicaId(rand::random::<u64>() & !1),
        random_seed: rand::random(),
        timing: NodeTiming::regional(leases),
    };
    let disk = RealDisk::new(&settings.data_dir)?;
    match Node::open(config.clone(), disk, Duration::ZERO) {
        Err(NodeError::Storage(StorageError::Damaged {
            file,
            offset,
            reason,
        })) => {
            event!(
                Event::DirectoryFolderUnusable,
                file = file,
                offset = offset,
                reason = reason
            );
            clear_data_folder(&settings.data_dir)?;
            let config = NodeConfig {
                bootstrap: false,
                ..config
            };
            Ok(Node::open(
                config,
                RealDisk::new(&settings.data_dir)?,
                Duration::ZERO,
            )?)
        }
        opened => Ok(opened?),
    }
}

/// Empties the data folder of a replica whose state is damaged; the replica joins again under a new
/// identity.
fn clear_data_folder(folder: &Path) -> std::io::Result<()> {
    for entry in std::fs::read_dir(folder)? {
        std::fs::remove_file(entry?.path())?;
    }
    std::fs::File::open(folder)?.sync_all()
}
