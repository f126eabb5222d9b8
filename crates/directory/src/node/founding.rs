//! Opens a node on its disk and founds the group from its seeds or prepares to join it.
//!
//! Invariant: a founder's identity is derived from its address and used only on the first start of the whole
//! system. Any other empty data folder gets a new identity, so that a replica that lost its votes never
//! returns under the identity that cast them.

use std::net::SocketAddr;
use std::time::Duration;

use grebepin_catalog::{Catalog, RecentEntries};
use grebepin_consensus::{Consensus, Restored};
use grebepin_reactor::{decode_frame, FrameError};
use grebepin_replica::{LogWriter, SnapshotSchedule};
use grebepin_schema::{
    ClusterId, HardState, LogIndex, MemberRole, Membership, ReplicaId, SnapshotMeta, Term,
};
use grebepin_storage::{Disk, Identity, Opened, ReplicaStorage, RestoredState};
use xxhash_rust::xxh3::{xxh3_128, xxh3_64};

use super::config::{member, NodeConfig, GROUP, UNKNOWN_ZONE};
use super::membership::Joining;
use super::messages::{NodeOutput, Notice};
use super::pending_calls::PendingCalls;
use super::{Node, NodeError};

/// Number of applied entries that are kept for gateways that are a few entries behind.
const MAX_RECENT_ENTRIES: usize = 4_096;

/// Size in memory of those entries, in bytes. A gateway that lacks more gets the complete state, which is as large after
/// a few changes of all items.
const MAX_RECENT_BYTES: usize = 8 << 20;

/// Log index of the founding membership, the same on every founder.
const FOUNDING_INDEX: LogIndex = LogIndex(1);

impl<D: Disk> Node<D> {
    /// Opens the node. An empty data folder founds the group or is prepared to join it.
    ///
    /// # Errors
    /// The data folder is damaged or cannot be read or written.
    pub fn open(config: NodeConfig, disk: D, now: Duration) -> Result<Self, NodeError> {
        let mut outputs = Vec::new();
        let (storage, restored) = match ReplicaStorage::open(disk)? {
            Opened::Empty(disk) => create(&config, disk, &mut outputs)?,
            Opened::Present {
                storage, restored, ..
            } => (storage, restored),
        };
        if let Some(torn) = &restored.torn_tail {
            let bytes = torn.bytes;
            outputs.push(NodeOutput::Notice(Notice::TornTailCut { bytes }));
        }
        let (catalog, applied) = match &restored.snapshot {
            Some((meta, data)) => (decode_catalog(data)?, meta.index),
            None => (Catalog::default(), LogIndex(0)),
        };
        let replica = storage.identity().replica;
        let log_writer = LogWriter::new(&restored.hard_state);
        let replay_until = restored.hard_state.commit;
        let snapshot_bytes = restored.snapshot.as_ref().map_or(0, |(_, data)| data.len());
        let restored = Restored {
            hard_state: restored.hard_state,
            snapshot: restored.snapshot,
            entries: restored.entries,
        };
        Ok(Self {
            consensus: Consensus::new(config.consensus(replica), restored, now),
            replica,
            storage,
            catalog,
            applied,
            replay_until,
            recent_entries: RecentEntries::new(MAX_RECENT_ENTRIES, MAX_RECENT_BYTES),
            log_writer,
            snapshots: SnapshotSchedule::new(config.timing.snapshot_every, snapshot_bytes),
            leadership: None,
            pending_calls: PendingCalls::default(),
            joining: Joining::new(now + config.timing.election_timeout),
            caught_up_at: None,
            outputs,
            config,
        })
    }
}

fn create<D: Disk>(
    config: &NodeConfig,
    disk: D,
    outputs: &mut Vec<NodeOutput>,
) -> Result<(ReplicaStorage<D>, RestoredState), NodeError> {
    let founds = config.bootstrap && config.seeds.contains(&config.link_address);
    if !founds {
        let identity = Identity {
            replica: config.new_replica_id,
            group: GROUP,
            cluster: None,
        };
        let storage = ReplicaStorage::create(disk, identity, None)?;
        return Ok((storage, nothing_restored(None)));
    }
    let identity = Identity {
        replica: founder_id(config.link_address),
        group: GROUP,
        cluster: Some(cluster_id(&config.seeds)),
    };
    let meta = SnapshotMeta {
        index: FOUNDING_INDEX,
        term: Term(0),
        membership: founding_membership(config),
    };
    let initial = (meta, encode_catalog(&Catalog::default())?);
    let storage = ReplicaStorage::create(disk, identity, Some(initial.clone()))?;
    outputs.push(NodeOutput::Notice(Notice::Founded));
    Ok((storage, nothing_restored(Some(initial))))
}

fn founding_membership(config: &NodeConfig) -> Membership {
    let control_port = config.control_address.port();
    let members = config.seeds.iter().map(|link| {
        let control = SocketAddr::new(link.ip(), control_port);
        member(
            founder_id(*link),
            MemberRole::Voter,
            *link,
            control,
            UNKNOWN_ZONE,
        )
    });
    Membership {
        members: members.collect(),
    }
}

fn founder_id(link: SocketAddr) -> ReplicaId {
    ReplicaId(xxh3_64(link.to_string().as_bytes()) | 1)
}

fn cluster_id(seeds: &[SocketAddr]) -> ClusterId {
    let text: Vec<String> = seeds.iter().map(SocketAddr::to_string).collect();
    let digest = format!("{:032x}", xxh3_128(text.join(",").as_bytes()));
    ClusterId::try_from(digest.as_str()).expect("32 hexadecimal digits are well formed")
}

fn nothing_restored(snapshot: Option<(SnapshotMeta, Vec<u8>)>) -> RestoredState {
    RestoredState {
        hard_state: HardState {
            term: Term(0),
            vote: None,
            commit: LogIndex(0),
        },
        snapshot,
        entries: Vec::new(),
        torn_tail: None,
    }
}

/// Encodes the replicated state.
pub(super) fn encode_catalog(catalog: &Catalog) -> Result<Vec<u8>, FrameError> {
    let mut frame = Vec::new();
    grebepin_reactor::encode_frame(catalog, &mut frame)?;
    Ok(frame)
}

/// Decodes the replicated state.
pub(super) fn decode_catalog(bytes: &[u8]) -> Result<Catalog, FrameError> {
    decode_frame(bytes.get(4..).unwrap_or_default())
}
