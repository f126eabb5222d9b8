//! Chunked transfer of snapshots, for leader and follower.
//!
//! Invariant: a follower installs a snapshot only after it has received all bytes and their checksum is
//! correct. It never allocates memory for bytes that were not received. An interrupted transfer resumes where
//! it stopped.

use std::sync::Arc;

use grebepin_schema::limits::SNAPSHOT_CHUNK_BYTES;
use grebepin_schema::{
    Bytes, LogIndex, PeerBody, ReplicaId, SnapshotMeta, SnapshotRequest, SnapshotResponse,
};

use crate::core::Consensus;
use crate::limits::MAX_SNAPSHOT_BYTES;
use crate::log::Snapshot;
use crate::membership::MembershipHistory;
use crate::progress::SnapshotTransfer;

/// Highest index that a received snapshot may have, so that later indexes cannot overflow.
const MAX_SNAPSHOT_INDEX: LogIndex = LogIndex(u64::MAX / 2);

/// A snapshot that is being received.
#[derive(Debug)]
pub(crate) struct IncomingSnapshot {
    meta: SnapshotMeta,
    total: u64,
    checksum: u32,
    data: Vec<u8>,
}

impl IncomingSnapshot {
    fn begin(request: &SnapshotRequest) -> Self {
        Self {
            meta: request.meta.clone(),
            total: request.total,
            checksum: request.checksum,
            data: Vec::new(),
        }
    }

    fn matches(&self, request: &SnapshotRequest) -> bool {
        self.meta == request.meta
            && self.total == request.total
            && self.checksum == request.checksum
    }

    /// Appends a chunk that directly follows the received bytes; any other chunk is ignored.
    fn receive(&mut self, offset: u64, chunk: &[u8]) {
        let received = self.data.len() as u64;
        if offset == received && chunk.len() as u64 <= self.total - received {
            self.data.extend_from_slice(chunk);
        }
    }

    fn is_complete(&self) -> bool {
        self.data.len() as u64 == self.total
    }
}

impl Consensus {
    pub(crate) fn on_snapshot_request(&mut self, from: ReplicaId, request: SnapshotRequest) {
        let index = request.meta.index;
        let plausible = index <= MAX_SNAPSHOT_INDEX
            && request.meta.term <= self.term
            && request.total <= MAX_SNAPSHOT_BYTES;
        if !plausible || !self.accept_leader(from) {
            return;
        }
        self.leader_commit = self.leader_commit.max(index);
        self.leader_commit_at = None;
        if self.contains_snapshot(&request.meta) {
            self.log.commit_to(index);
            self.incoming = None;
            self.respond_to_snapshot(from, &request, request.total, true);
            return;
        }
        let received = self.receive_chunk(&request);
        self.respond_to_snapshot(from, &request, received.bytes, received.installed);
    }

    /// Returns whether the log already contains the last entry that the snapshot covers.
    fn contains_snapshot(&self, meta: &SnapshotMeta) -> bool {
        meta.index <= self.log.commit() || self.log.term_at(meta.index) == Some(meta.term)
    }

    fn receive_chunk(&mut self, request: &SnapshotRequest) -> ReceiveProgress {
        let mut incoming = match self.incoming.take() {
            Some(incoming) if incoming.matches(request) => incoming,
            _ => IncomingSnapshot::begin(request),
        };
        incoming.receive(request.offset, &request.chunk.0);
        let bytes = incoming.data.len() as u64;
        if !incoming.is_complete() {
            self.incoming = Some(incoming);
            return ReceiveProgress {
                bytes,
                installed: false,
            };
        }
        let installed = self.install(incoming);
        ReceiveProgress {
            bytes: if installed { bytes } else { 0 },
            installed,
        }
    }

    /// Replaces the log and the membership by a complete snapshot. Returns false if its checksum is wrong.
    fn install(&mut self, incoming: IncomingSnapshot) -> bool {
        let expected = incoming.checksum;
        let snapshot = Snapshot::new(incoming.meta, incoming.data);
        if snapshot.checksum != expected {
            return false;
        }
        self.snapshot_to_save = Some((snapshot.meta.clone(), snapshot.data.clone()));
        self.log.install(Arc::new(snapshot));
        self.memberships = MembershipHistory::from_log(&self.log);
        true
    }

    fn respond_to_snapshot(
        &mut self,
        to: ReplicaId,
        request: &SnapshotRequest,
        received: u64,
        installed: bool,
    ) {
        let response = SnapshotResponse {
            index: request.meta.index,
            received,
            installed,
            round: request.round,
        };
        self.send(to, self.term, PeerBody::SnapshotResponse(response));
    }
}

/// Progress of an incoming snapshot after a request was handled.
struct ReceiveProgress {
    bytes: u64,
    installed: bool,
}

impl SnapshotTransfer {
    /// Advances to the first byte that the follower lacks. Without progress, the chunk in flight is sent
    /// again only after a response to a round at least two later, so that a duplicate response does not cause
    /// a duplicate chunk.
    pub fn on_received(&mut self, response: &SnapshotResponse) {
        let ours = response.index == self.snapshot.meta.index
            && response.received <= self.snapshot.data.len() as u64;
        let lost = self.round.is_some_and(|round| response.round > round + 1);
        if ours && (response.received > self.offset || lost) {
            self.offset = response.received;
            self.round = None;
        }
    }
}

/// Returns the next chunk if none is in flight. Otherwise, in a new round, returns a request without bytes,
/// whose response reports how much the follower has received.
pub(crate) fn next_chunk(
    transfer: &mut SnapshotTransfer,
    round: u64,
    round_due: bool,
) -> Option<PeerBody> {
    let data = &transfer.snapshot.data;
    let start = (transfer.offset as usize).min(data.len());
    let end = data.len().min(start + SNAPSHOT_CHUNK_BYTES);
    let chunk = if transfer.round.is_none() {
        transfer.round = Some(round);
        &data[start..end]
    } else if round_due {
        &[]
    } else {
        return None;
    };
    Some(PeerBody::SnapshotRequest(SnapshotRequest {
        meta: transfer.snapshot.meta.clone(),
        offset: transfer.offset,
        total: data.len() as u64,
        checksum: transfer.snapshot.checksum,
        chunk: Bytes(chunk.to_vec()),
        round,
    }))
}
