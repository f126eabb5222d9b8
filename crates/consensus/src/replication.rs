//! Leader side of log replication: sends entries and snapshots to members and handles their responses.
//!
//! Invariant: per member, at most one probe, one snapshot chunk or a bounded number of batches is
//! unacknowledged.

use std::time::Duration;

use grebepin_schema::{
    AppendRequest, AppendResponse, Entry, LogIndex, PeerBody, ReplicaId, SnapshotResponse,
};

use crate::core::{Consensus, State};
use crate::limits::{BULK_RETRY_INTERVAL, MAX_BATCH_BYTES, MAX_BATCH_ENTRIES, MAX_BULK_TRANSFERS};
use crate::log::{entry_size, Log};
use crate::progress::{BulkTransfer, Progress, SendState, SentBatch, SnapshotTransfer};
use crate::snapshot::next_chunk;

impl Consensus {
    /// On a leader, starts a round if one was requested, sends the messages that are due, and steps down if
    /// the removal of this replica is committed.
    pub(crate) fn flush_leader(&mut self) {
        self.begin_round_if_requested();
        self.send_to_members();
        if self.is_removed_leader() {
            self.become_follower(self.term, None);
        }
    }

    fn begin_round_if_requested(&mut self) {
        let now = self.now;
        let heartbeat = self.config.heartbeat;
        let State::Leader(leadership) = &mut self.state else {
            return;
        };
        if !std::mem::take(&mut leadership.round_requested) {
            return;
        }
        leadership.rounds.begin(now);
        leadership.next_heartbeat = now + heartbeat;
        for progress in leadership.progress.values_mut() {
            progress.round_due = true;
        }
        self.on_round_response();
    }

    fn send_to_members(&mut self) {
        let quorum_members = self.quorum_members();
        let (now, interval) = (self.now, self.config.learner_send_interval);
        let State::Leader(leadership) = &mut self.state else {
            return;
        };
        let round = leadership.rounds.current();
        let progress = &mut leadership.progress;
        progress.retain(|_, progress| !progress.removal_is_complete(now));
        let mut bodies = Vec::new();
        let mut deferred_until: Option<Duration> = None;
        let transfers = progress
            .values()
            .filter(|member| member.has_bulk_in_flight(now));
        let mut bulk_transfers = transfers.count();
        for (replica, progress) in progress.iter_mut() {
            let is_paced = interval > Duration::ZERO && !quorum_members.contains(replica);
            let is_bulk = is_paced && progress.has_bulk_due(&self.log);
            let deferral = match (is_paced, is_bulk && bulk_transfers >= MAX_BULK_TRANSFERS) {
                (_, true) => Some(now + BULK_RETRY_INTERVAL),
                (true, false) if !progress.round_due => {
                    progress.deferred_until(&self.log, now, interval)
                }
                _ => None,
            };
            if let Some(until) = deferral {
                deferred_until = Some(deferred_until.map_or(until, |first| first.min(until)));
                continue;
            }
            for body in bodies_due(&self.log, progress, round) {
                progress.last_sent_at = now;
                bodies.push((*replica, body));
            }
            if is_bulk {
                let last = LogIndex(progress.next.0 - 1);
                progress.bulk = Some(BulkTransfer { last, sent: now });
                bulk_transfers += 1;
            }
        }
        leadership.deferred_until = deferred_until;
        for (replica, body) in bodies {
            self.send(replica, self.term, body);
        }
    }

    pub(crate) fn on_append_response(&mut self, from: ReplicaId, response: &AppendResponse) {
        let (base_index, last_index) = (self.log.base_index(), self.log.last_index());
        let Some(progress) = self.responding_member(from, response.round) else {
            return;
        };
        if !response.accepted {
            progress.on_rejected(response.last_index);
        } else if response.last_index <= last_index {
            progress.on_accepted(response.last_index, base_index);
        }
        self.on_round_response();
        self.advance_commit();
    }

    pub(crate) fn on_snapshot_response(&mut self, from: ReplicaId, response: &SnapshotResponse) {
        let (base_index, last_index) = (self.log.base_index(), self.log.last_index());
        let Some(progress) = self.responding_member(from, response.round) else {
            return;
        };
        if response.installed && response.index <= last_index {
            progress.on_accepted(response.index, base_index);
        } else if let SendState::Snapshot(transfer) = &mut progress.send_state {
            transfer.on_received(response);
        }
        self.on_round_response();
        self.advance_commit();
    }

    /// Records a member's response to a round of this leader and returns the member's progress; `None` if
    /// this replica is not the leader, did not start the round or does not send to the member.
    fn responding_member(&mut self, from: ReplicaId, round: u64) -> Option<&mut Progress> {
        let now = self.now;
        let State::Leader(leadership) = &mut self.state else {
            return None;
        };
        if round == 0 || round > leadership.rounds.current() {
            return None;
        }
        let progress = leadership.progress.get_mut(&from)?;
        progress.on_response(now, round);
        Some(progress)
    }
}

/// Returns the message bodies that are due for one member.
fn bodies_due(log: &Log, progress: &mut Progress, round: u64) -> Vec<PeerBody> {
    let mut bodies = Vec::new();
    loop {
        switch_to_snapshot_if_needed(log, progress);
        if let SendState::Snapshot(transfer) = &mut progress.send_state {
            bodies.extend(next_chunk(transfer, round, progress.round_due));
            break;
        }
        let probing = matches!(progress.send_state, SendState::Probe { .. });
        let entries = entries_due(log, progress);
        let commit_due = !probing && progress.commit_sent < log.commit();
        let probe_due = probing && progress.may_send_batch();
        if entries.is_empty() && !progress.round_due && !commit_due && !probe_due {
            break;
        }
        let Some(request) = append_request(log, progress, entries, round) else {
            break;
        };
        progress.on_sent(SentBatch {
            last: LogIndex(request.previous_index.0 + request.entries.len() as u64),
            bytes: request.entries.iter().map(entry_size).sum(),
        });
        progress.commit_sent = request.commit;
        progress.round_due = false;
        bodies.push(PeerBody::AppendRequest(request));
    }
    progress.round_due = false;
    bodies
}

fn entries_due(log: &Log, progress: &Progress) -> Vec<Entry> {
    // An unanswered probe is repeated without entries, since the member may be down.
    let unanswered = matches!(
        progress.send_state,
        SendState::Probe {
            awaiting_response: true
        }
    );
    if unanswered || !progress.may_send_batch() {
        return Vec::new();
    }
    log.batch(progress.next, MAX_BATCH_ENTRIES, MAX_BATCH_BYTES)
}

fn append_request(
    log: &Log,
    progress: &Progress,
    entries: Vec<Entry>,
    round: u64,
) -> Option<AppendRequest> {
    let previous_index = LogIndex(progress.next.0 - 1);
    Some(AppendRequest {
        previous_index,
        previous_term: log.term_at(previous_index)?,
        entries,
        commit: log.commit(),
        round,
    })
}

/// Starts a snapshot transfer if the log no longer contains the entry before the next one to send.
fn switch_to_snapshot_if_needed(log: &Log, progress: &mut Progress) {
    let in_log = progress.next.0 > log.base_index().0;
    if in_log || matches!(progress.send_state, SendState::Snapshot(_)) {
        return;
    }
    if let Some(snapshot) = log.snapshot() {
        progress.send_state = SendState::Snapshot(SnapshotTransfer {
            snapshot: snapshot.clone(),
            offset: 0,
            round: None,
        });
    }
}
