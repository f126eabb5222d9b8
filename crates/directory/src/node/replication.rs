//! Persists what consensus requires, sends its messages and applies committed entries.

use std::time::Duration;

use grebepin_catalog::{Effects, Entry as CatalogEntry};
use grebepin_consensus::{entry_size, Ready};
use grebepin_reactor::decode_frame;
use grebepin_schema::{
    Entry, EntryPayload, LogIndex, MemberRole, Membership, PeerFrame, PeerMessage, SnapshotMeta,
};
use grebepin_storage::Disk;

use super::config::GROUP;
use super::founding::{decode_catalog, encode_catalog};
use super::messages::{EvacuationOutcome, NodeOutput, Notice};
use super::pending_calls::EntryWaiter;
use super::{Node, NodeError};
use crate::call::{Reply, UnavailableReason};

/// Maximum number of rounds in one call, so that a node that keeps generating work for itself still returns.
const MAX_ADVANCE_ROUNDS: usize = 8;

/// What an entry did, for the call that waits for it.
struct EntryOutcome {
    /// Why a change of items was refused; `None` unless it was.
    refused: Option<String>,
    evacuation: EvacuationOutcome,
}

impl Default for EntryOutcome {
    fn default() -> Self {
        Self {
            refused: None,
            evacuation: EvacuationOutcome::Unchanged,
        }
    }
}

impl<D: Disk> Node<D> {
    pub(super) fn handle_peer_frame(&mut self, now: Duration, frame: PeerFrame) {
        match frame {
            PeerFrame::Message(message) => {
                if message.to == self.replica && message.group == GROUP {
                    self.consensus.step(now, message);
                }
            }
            PeerFrame::JoinRequest(request) => self.handle_join_request(now, request),
            PeerFrame::JoinResponse(response) => self.handle_join_response(now, response),
        }
    }

    /// Processes the output of consensus until there is none left or the maximum number of rounds is reached.
    pub(super) fn advance(&mut self, clock: &mut dyn FnMut() -> Duration) -> Result<(), NodeError> {
        for _ in 0..MAX_ADVANCE_ROUNDS {
            let now = clock();
            self.update_leadership(now);
            let ready = self.consensus.ready();
            if ready.is_empty() {
                break;
            }
            self.process_ready(clock, ready)?;
            // A replica that starts with a long log discards it while it applies it.
            self.save_snapshot_when_due()?;
        }
        let now = clock();
        self.join_if_due(now);
        Ok(())
    }

    fn process_ready(
        &mut self,
        clock: &mut dyn FnMut() -> Duration,
        ready: Ready,
    ) -> Result<(), NodeError> {
        self.log_writer.write(&mut self.storage, &ready)?;
        let now = clock();
        self.consensus.synced(now);
        for message in ready.messages {
            self.send(message);
        }
        if let Some((meta, data)) = ready.snapshot {
            self.install_snapshot(&meta, &data)?;
        }
        let any_committed = !ready.committed.is_empty();
        for entry in ready.committed {
            self.apply(now, entry)?;
        }
        if any_committed {
            self.outputs.push(NodeOutput::Applied);
        }
        for (read, index) in ready.reads {
            self.pending_calls.confirm_read(read, index);
        }
        self.answer_reads();
        if ready.lost_leadership {
            self.end_leadership();
        }
        Ok(())
    }

    fn send(&mut self, message: PeerMessage) {
        let members = &self.consensus.membership().members;
        let known = members.iter().find(|member| member.replica == message.to);
        let addresses: Vec<String> = match known {
            Some(member) => vec![member.peer_address.to_string()],
            None => self.possible_leader_addresses(),
        };
        for address in addresses {
            let frame = PeerFrame::Message(message.clone());
            self.outputs.push(NodeOutput::Peer { address, frame });
        }
    }

    fn install_snapshot(&mut self, meta: &SnapshotMeta, data: &[u8]) -> Result<(), NodeError> {
        self.catalog = decode_catalog(data)?;
        self.applied = meta.index;
        self.snapshots.record_snapshot(data.len());
        self.push_snapshot_notice(meta, data);
        self.recent_entries.clear();
        self.outputs.push(NodeOutput::StateReplaced);
        Ok(())
    }

    fn apply(&mut self, now: Duration, entry: Entry) -> Result<(), NodeError> {
        self.applied = entry.index;
        self.snapshots.record_applied(entry_size(&entry));
        let mut applied = CatalogEntry::default();
        let mut outcome = EntryOutcome::default();
        match entry.payload {
            EntryPayload::Noop => {}
            EntryPayload::Membership(membership) => {
                self.push_membership_notice(entry.index, &membership);
                self.change_membership_if_due(now);
            }
            EntryPayload::Command(bytes) => {
                applied = decode_frame(&bytes.0)?;
                outcome = self.apply_commands(entry.index, &applied);
            }
        }
        match self.pending_calls.take_entry(entry.term, entry.index) {
            None => {}
            Some(Ok(waiter)) => self.answer_applied(now, entry.index, waiter, outcome),
            Some(Err(waiter)) => {
                let reason = UnavailableReason::LostLeadership;
                self.reply(waiter.call(), Reply::Unavailable(reason));
            }
        }
        applied.drop_documents();
        self.recent_entries.push(entry.index.0, applied);
        if self.applied == self.replay_until {
            self.push_notice(Notice::Replayed {
                index: self.applied.0,
            });
        }
        Ok(())
    }

    /// Emits a notice about an entry unless the entry was already committed at startup: a log line for each
    /// of those would take a restarted replica longer than applying them.
    fn push_notice_unless_replayed(&mut self, index: LogIndex, notice: Notice) {
        if index > self.replay_until {
            self.push_notice(notice);
        }
    }

    fn apply_commands(&mut self, index: LogIndex, entry: &CatalogEntry) -> EntryOutcome {
        let mut outcome = EntryOutcome::default();
        for command in &entry.commands {
            let effects: Effects = self.catalog.apply(command);
            if let Some(error) = &effects.refused {
                outcome.refused = Some(error.to_string());
            }
            if effects.evacuation.is_some() {
                outcome.evacuation = EvacuationOutcome::Changed;
            } else if effects.is_superseded {
                outcome.evacuation = EvacuationOutcome::Superseded;
            }
            let notice = Notice::Effects {
                index: index.0,
                effects,
                is_leader: self.leadership.is_some(),
            };
            self.push_notice_unless_replayed(index, notice);
        }
        outcome
    }

    fn answer_applied(
        &mut self,
        now: Duration,
        index: LogIndex,
        waiter: EntryWaiter,
        outcome: EntryOutcome,
    ) {
        match (waiter, outcome.refused) {
            (EntryWaiter::Heartbeat(id, heartbeat), _) => {
                self.answer_heartbeat(now, id, &heartbeat)
            }
            (EntryWaiter::Leave(id), _) => self.reply(id, Reply::Left),
            (EntryWaiter::Evacuation(id), _) => {
                self.push_notice(Notice::EvacuationDecided {
                    id,
                    index: index.0,
                    outcome: outcome.evacuation,
                });
                self.reply(id, outcome.evacuation.reply());
            }
            (EntryWaiter::Change(id), None) => self.reply(id, Reply::Changed),
            (EntryWaiter::Change(id), Some(reason)) => self.reply(id, Reply::Invalid(reason)),
        }
    }

    fn push_membership_notice(&mut self, index: LogIndex, membership: &Membership) {
        let (voters, learners): (Vec<_>, Vec<_>) = membership
            .members
            .iter()
            .partition(|member| member.role == MemberRole::Voter);
        let addresses = voters.iter().map(|member| member.peer_address.to_string());
        let notice = Notice::Membership {
            index: index.0,
            voters: addresses.collect(),
            learners: learners.len(),
        };
        self.push_notice_unless_replayed(index, notice);
    }

    fn save_snapshot_when_due(&mut self) -> Result<(), NodeError> {
        if !self.snapshots.is_due() {
            return Ok(());
        }
        let Some(meta) = self.consensus.snapshot_meta(self.applied) else {
            return Ok(());
        };
        let data = encode_catalog(&self.catalog)?;
        self.storage.save_snapshot(&meta, &data)?;
        self.snapshots.record_snapshot(data.len());
        self.push_snapshot_notice(&meta, &data);
        self.consensus.compact(meta, data);
        Ok(())
    }

    fn push_snapshot_notice(&mut self, meta: &SnapshotMeta, data: &[u8]) {
        self.push_notice(Notice::SnapshotSaved {
            index: meta.index.0,
            bytes: data.len(),
        });
    }

    /// Complete state for a gateway, with its log index, without the operators' documents.
    ///
    /// # Errors
    /// The state cannot be encoded.
    pub fn whole_state(&self) -> Result<(u64, Vec<u8>), NodeError> {
        Ok((
            self.applied.0,
            encode_catalog(&self.catalog.without_documents())?,
        ))
    }
}
