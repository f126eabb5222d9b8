//! Persists the output of consensus, sends its messages and applies committed entries.
//!
//! Invariant: messages are sent only after the snapshot, the hard state and the entries of the same
//! [`Ready`] are synced; entries are applied in log order, each once.

use std::time::Duration;

use grebepin_consensus::{entry_size, Ready};
use grebepin_ownership::Applied;
use grebepin_schema::framing::decode;
use grebepin_schema::{
    Command, Entry, EntryPayload, LogIndex, MemberRole, Membership, PeerFrame, PeerMessage,
    ReplicaId, SnapshotMeta, SocketAddress,
};
use grebepin_storage::Disk;

use super::error::NodeError;
use super::output::{NodeOutput, Notice};
use super::waiting::EntryWaiter;
use super::ControlNode;

/// Maximum rounds per call, so that the call returns even if each round produces more work.
const MAX_ROUNDS: usize = 8;

impl<D: Disk> ControlNode<D> {
    /// Processes consensus output until none is left or [`MAX_ROUNDS`] is reached.
    pub(super) fn advance(&mut self, now: Duration) -> Result<(), NodeError> {
        for _ in 0..MAX_ROUNDS {
            self.update_leadership(now);
            self.update_membership(now);
            let ready = self.consensus.ready();
            if ready.is_empty() {
                break;
            }
            self.process_ready(now, ready)?;
            // A replica that starts with a long log discards it while it applies it.
            self.save_snapshot_if_due()?;
        }
        self.retry_join(now);
        self.push_tables(now);
        Ok(())
    }

    fn process_ready(&mut self, now: Duration, ready: Ready) -> Result<(), NodeError> {
        let written = self.log_writer.write(&mut self.storage, &ready)?;
        self.metrics.syncs += written.syncs;
        self.metrics.entries += written.entries;
        self.consensus.synced(now);
        for message in ready.messages {
            self.send(message);
        }
        if let Some((meta, data)) = ready.snapshot {
            self.install_snapshot(&meta, &data)?;
        }
        for entry in ready.committed {
            self.apply(now, entry)?;
        }
        for (read, index) in ready.reads {
            self.waiting.confirm_read(read, index);
        }
        self.answer_reads();
        if ready.lost_leadership {
            self.end_leadership();
        }
        Ok(())
    }

    /// Sends a message to its recipient. While the recipient's address is unknown, as on a replica with an
    /// empty log, it is sent to every configured peer; replicas that aren't the recipient drop it.
    fn send(&mut self, message: PeerMessage) {
        let known = self.address_of(message.to);
        let addresses = match known {
            Some(address) => vec![address],
            None => self.config.peers.clone(),
        };
        for address in addresses {
            let frame = PeerFrame::Message(message.clone());
            self.send_frame(address, frame);
        }
    }

    pub(super) fn send_frame(&mut self, address: SocketAddress, frame: PeerFrame) {
        self.metrics.peer_frames += 1;
        self.outputs.push(NodeOutput::Peer { address, frame });
    }

    fn address_of(&self, replica: ReplicaId) -> Option<SocketAddress> {
        let members = &self.consensus.membership().members;
        let member = members.iter().find(|member| member.replica == replica);
        member.map(|member| member.peer_address.clone())
    }

    fn install_snapshot(&mut self, meta: &SnapshotMeta, data: &[u8]) -> Result<(), NodeError> {
        self.state
            .restore(data)
            .map_err(|error| NodeError::Snapshot(error.to_string()))?;
        self.applied = meta.index;
        self.snapshots.record_snapshot(data.len());
        self.metrics.snapshots += 1;
        self.notice(Notice::SnapshotSaved {
            index: meta.index,
            bytes: data.len(),
        });
        Ok(())
    }

    fn apply(&mut self, now: Duration, entry: Entry) -> Result<(), NodeError> {
        self.snapshots.record_applied(entry_size(&entry));
        let waiter = self.waiting.take_entry(entry.term, entry.index);
        self.applied = entry.index;
        match entry.payload {
            EntryPayload::Noop => self.state.skip(entry.index),
            EntryPayload::Membership(membership) => {
                self.state.skip(entry.index);
                self.apply_membership(entry.index, &membership, waiter);
            }
            EntryPayload::Command(bytes) => {
                let command: Command = decode(&bytes.0)?;
                self.apply_command(now, entry.index, &command, waiter);
            }
        }
        Ok(())
    }

    fn apply_membership(
        &mut self,
        index: LogIndex,
        membership: &Membership,
        waiter: Option<EntryWaiter>,
    ) {
        let members = membership.members.iter();
        let voters = members.filter(|member| member.role == MemberRole::Voter);
        let voters = voters.count();
        self.notice(Notice::MembershipCommitted {
            index,
            voters,
            learners: membership.members.len() - voters,
        });
        if let Some(waiter) = waiter {
            self.answer_membership(waiter, index);
        }
    }

    fn apply_command(
        &mut self,
        now: Duration,
        index: LogIndex,
        command: &Command,
        waiter: Option<EntryWaiter>,
    ) {
        let applied: Applied = self.state.apply(index, command);
        self.coordinate_applied(now, &applied);
        self.answer_applied(waiter, index, &applied);
    }

    fn save_snapshot_if_due(&mut self) -> Result<(), NodeError> {
        if !self.snapshots.is_due() {
            return Ok(());
        }
        let Some(meta) = self.consensus.snapshot_meta(self.applied) else {
            return Ok(());
        };
        let data = self.state.snapshot();
        self.storage.save_snapshot(&meta, &data)?;
        self.snapshots.record_snapshot(data.len());
        self.metrics.syncs += 1;
        self.metrics.snapshots += 1;
        self.notice(Notice::SnapshotSaved {
            index: meta.index,
            bytes: data.len(),
        });
        self.consensus.compact(meta, data);
        Ok(())
    }
}
