//! Transfer of a snapshot in chunks, on both sides.
//!
//! Invariant: a follower installs a snapshot only when all its bytes are there and their checksum
//! is right; it never takes memory for bytes that did not arrive. A transfer goes on where it stopped.

use std::sync::Arc;

use grebepin_schema::limits::SNAPSHOT_CHUNK_BYTES;
use grebepin_schema::{
    Bytes, LogIndex, PeerBody, ReplicaId, SnapshotMeta, SnapshotRequest, SnapshotResponse,
};

use crate::core::Consensus;
use crate::limits::MAXIMUM_SNAPSHOT_BYTES;
use crate::log::Snapshot;
use crate::membership::MembershipHistory;
use crate::progress::SnapshotSending;

/// Highest index a snapshot may claim, so that indexes after it cannot overflow.
const HIGHEST_INDEX: LogIndex = LogIndex(u64::MAX / 2);

/// A snapshot on its way in.
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

    fn is_same(&self, request: &SnapshotRequest) -> bool {
        self.meta == request.meta
            && self.total == request.total
            && self.checksum == request.checksum
    }

    /// Takes in a chunk that follows what is there; any other is ignored.
    fn receive(&mut self, offset: u64, chunk: &[u8]) {
        let received = self.data.len() as u64;
        if offset == received && chunk.len() as u64 <= self.total - received {
            self.data.extend_from_slice(chunk);
        }
    }

    fn is_whole(&self) -> bool {
        self.data.len() as u64 == self.total
    }
}

impl Consensus {
    pub(crate) fn on_snapshot_request(&mut self, from: ReplicaId, request: SnapshotRequest) {
        let index = request.meta.index;
        let plausible = index <= HIGHEST_INDEX
            && request.meta.term <= self.term
            && request.total <= MAXIMUM_SNAPSHOT_BYTES;
        if !plausible || !self.follow(from) {
            return;
        }
        self.leader_commit = self.leader_commit.max(index);
        if self.holds(&request.meta) {
            self.log.commit_to(index);
            self.incoming = None;
            self.answer_snapshot(from, &request, request.total, true);
            return;
        }
        let received = self.receive_chunk(&request);
        self.answer_snapshot(from, &request, received.bytes, received.installed);
    }

    /// Whether the log holds the snapshot's last entry, so that the snapshot adds nothing.
    fn holds(&self, meta: &SnapshotMeta) -> bool {
        meta.index <= self.log.commit() || self.log.term_at(meta.index) == Some(meta.term)
    }

    fn receive_chunk(&mut self, request: &SnapshotRequest) -> Received {
        let mut incoming = match self.incoming.take() {
            Some(incoming) if incoming.is_same(request) => incoming,
            _ => IncomingSnapshot::begin(request),
        };
        incoming.receive(request.offset, &request.chunk.0);
        let bytes = incoming.data.len() as u64;
        if !incoming.is_whole() {
            self.incoming = Some(incoming);
            return Received {
                bytes,
                installed: false,
            };
        }
        let installed = self.install(incoming);
        Received {
            bytes: if installed { bytes } else { 0 },
            installed,
        }
    }

    /// Replaces log and membership by a snapshot that is whole; false when its bytes are damaged.
    fn install(&mut self, incoming: IncomingSnapshot) -> bool {
        let expected = incoming.checksum;
        let snapshot = Snapshot::new(incoming.meta, incoming.data);
        if snapshot.checksum != expected {
            return false;
        }
        self.snapshot_to_save = Some((snapshot.meta.clone(), snapshot.data.clone()));
        self.log.install(Arc::new(snapshot));
        self.memberships = MembershipHistory::of(&self.log);
        true
    }

    fn answer_snapshot(
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

/// How far a snapshot came in.
struct Received {
    bytes: u64,
    installed: bool,
}

impl SnapshotSending {
    /// Moves on to what the follower lacks. Without progress the chunk that is out is sent again
    /// only when a later round was answered, so that an answer that comes twice doubles nothing.
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

/// The next chunk if none is out; otherwise, in a new round, a request without bytes, whose answer
/// tells how far the follower is.
pub(crate) fn next_chunk(
    sending: &mut SnapshotSending,
    round: u64,
    round_due: bool,
) -> Option<PeerBody> {
    let data = &sending.snapshot.data;
    let start = (sending.offset as usize).min(data.len());
    let end = data.len().min(start + SNAPSHOT_CHUNK_BYTES);
    let chunk = if sending.round.is_none() {
        sending.round = Some(round);
        &data[start..end]
    } else if round_due {
        &[]
    } else {
        return None;
    };
    Some(PeerBody::SnapshotRequest(SnapshotRequest {
        meta: sending.snapshot.meta.clone(),
        offset: sending.offset,
        total: data.len() as u64,
        checksum: sending.snapshot.checksum,
        chunk: Bytes(chunk.to_vec()),
        round,
    }))
}
