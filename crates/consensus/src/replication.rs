//! A leader's side of replication: what is sent to whom, and what an answer tells.
//!
//! Invariant: per member at most one probe or one chunk, or a bounded count of batches, waits for an answer.

use std::time::Duration;

use grebepin_schema::{
    AppendRequest, AppendResponse, Entry, LogIndex, PeerBody, ReplicaId, SnapshotResponse,
};

use crate::core::{Consensus, State};
use crate::limits::{BATCH_BYTES, BATCH_ENTRIES, BULK_AT_ONCE, BULK_LOOK_EVERY};
use crate::log::Log;
use crate::progress::{Bulk, Progress, Sending, SnapshotSending};
use crate::snapshot::next_chunk;

impl Consensus {
    /// Begins a round when one is wanted, sends what is due to each member, and stops leading
    /// after the removal of this replica was sent.
    pub(crate) fn flush_leader(&mut self) {
        self.begin_round_if_wanted();
        self.send_to_members();
        if self.is_removed_leader() {
            self.become_follower(self.term, None);
        }
    }

    fn begin_round_if_wanted(&mut self) {
        let now = self.now;
        let heartbeat = self.config.heartbeat;
        let State::Leader(leadership) = &mut self.state else {
            return;
        };
        if !std::mem::take(&mut leadership.round_wanted) {
            return;
        }
        leadership.rounds.begin(now);
        leadership.next_heartbeat = now + heartbeat;
        for progress in leadership.progress.values_mut() {
            progress.round_due = true;
        }
        self.on_round_answered();
    }

    fn send_to_members(&mut self) {
        let counted = self.counted_members();
        let (now, pause) = (self.now, self.config.learner_send_interval);
        let State::Leader(leadership) = &mut self.state else {
            return;
        };
        let round = leadership.rounds.current();
        let progress = &mut leadership.progress;
        progress.retain(|_, progress| !progress.has_left(now));
        let mut bodies = Vec::new();
        let mut wait_until: Option<Duration> = None;
        let bulk_under_way = progress.values().filter(|one| one.has_bulk_under_way(now));
        let mut bulk_under_way = bulk_under_way.count();
        for (replica, progress) in progress.iter_mut() {
            let is_paced = pause > Duration::ZERO && !counted.contains(replica);
            let is_bulk = is_paced && progress.has_bulk_due(&self.log);
            let waits = match (is_paced, is_bulk && bulk_under_way >= BULK_AT_ONCE) {
                (_, true) => Some(now + BULK_LOOK_EVERY),
                (true, false) if !progress.round_due => {
                    progress.news_wait_until(&self.log, now, pause)
                }
                _ => None,
            };
            if let Some(until) = waits {
                wait_until = Some(wait_until.map_or(until, |first| first.min(until)));
                continue;
            }
            for body in bodies_due(&self.log, progress, round) {
                progress.news_sent = now;
                bodies.push((*replica, body));
            }
            if is_bulk {
                let last = LogIndex(progress.next.0 - 1);
                progress.bulk = Some(Bulk { last, sent: now });
                bulk_under_way += 1;
            }
        }
        leadership.news_wait_until = wait_until;
        for (replica, body) in bodies {
            self.send(replica, self.term, body);
        }
    }

    pub(crate) fn on_append_response(&mut self, from: ReplicaId, response: &AppendResponse) {
        let (base_index, last_index) = (self.log.base_index(), self.log.last_index());
        let Some(progress) = self.answering_member(from, response.round) else {
            return;
        };
        if !response.accepted {
            progress.rejected(response.last_index);
        } else if response.last_index <= last_index {
            progress.accepted(response.last_index, base_index);
        }
        self.on_round_answered();
        self.advance_commit();
    }

    pub(crate) fn on_snapshot_response(&mut self, from: ReplicaId, response: &SnapshotResponse) {
        let (base_index, last_index) = (self.log.base_index(), self.log.last_index());
        let Some(progress) = self.answering_member(from, response.round) else {
            return;
        };
        if response.installed && response.index <= last_index {
            progress.accepted(response.index, base_index);
        } else if let Sending::Snapshot(sending) = &mut progress.sending {
            sending.on_received(response);
        }
        self.on_round_answered();
        self.advance_commit();
    }

    /// The member that answers a round of this leader's, with the sign of life noted.
    fn answering_member(&mut self, from: ReplicaId, round: u64) -> Option<&mut Progress> {
        let now = self.now;
        let State::Leader(leadership) = &mut self.state else {
            return None;
        };
        if round == 0 || round > leadership.rounds.current() {
            return None;
        }
        let progress = leadership.progress.get_mut(&from)?;
        progress.heard(now, round);
        Some(progress)
    }
}

/// What is to be sent to one member now.
fn bodies_due(log: &Log, progress: &mut Progress, round: u64) -> Vec<PeerBody> {
    let mut bodies = Vec::new();
    loop {
        switch_to_snapshot_if_needed(log, progress);
        if let Sending::Snapshot(sending) = &mut progress.sending {
            bodies.extend(next_chunk(sending, round, progress.round_due));
            break;
        }
        let probing = matches!(progress.sending, Sending::Probe { .. });
        let entries = entries_due(log, progress);
        let tells_commit = !probing && progress.commit_sent < log.commit();
        let probe_due = probing && progress.may_send_batch();
        if entries.is_empty() && !progress.round_due && !tells_commit && !probe_due {
            break;
        }
        let Some(request) = append_request(log, progress, entries, round) else {
            break;
        };
        progress.sent(LogIndex(
            request.previous_index.0 + request.entries.len() as u64,
        ));
        progress.commit_sent = request.commit;
        progress.round_due = false;
        bodies.push(PeerBody::AppendRequest(request));
    }
    progress.round_due = false;
    bodies
}

fn entries_due(log: &Log, progress: &Progress) -> Vec<Entry> {
    // A probe that was not answered goes again without entries: the member may be down.
    let unanswered = matches!(progress.sending, Sending::Probe { waiting: true });
    if unanswered || !progress.may_send_batch() {
        return Vec::new();
    }
    log.batch(progress.next, BATCH_ENTRIES, BATCH_BYTES)
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

/// Sends the snapshot when the log no longer holds the entry before the next one.
fn switch_to_snapshot_if_needed(log: &Log, progress: &mut Progress) {
    let in_log = progress.next.0 > log.base_index().0;
    if in_log || matches!(progress.sending, Sending::Snapshot(_)) {
        return;
    }
    if let Some(snapshot) = log.snapshot() {
        progress.sending = Sending::Snapshot(SnapshotSending {
            snapshot: snapshot.clone(),
            offset: 0,
            round: None,
        });
    }
}
