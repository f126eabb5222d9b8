//! Replication progress of one member, as tracked by the leader, and flow control of the messages to it.
//!
//! Invariant: `matched` never decreases, and `next` is above it. At most [`MAX_IN_FLIGHT_BATCHES`] batches
//! are unacknowledged, and no further one is sent while they have [`MAX_IN_FLIGHT_BYTES`] or more.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use grebepin_schema::LogIndex;

use crate::limits::{BULK_ACK_TIMEOUT, MAX_IN_FLIGHT_BATCHES, MAX_IN_FLIGHT_BYTES, MIN_BULK_BYTES};
use crate::log::{Log, Snapshot};

/// Mode in which a leader sends to a member.
#[derive(Debug)]
pub(crate) enum SendState {
    /// One request at a time, until the member accepts one.
    Probe {
        /// Whether a request of this round is unanswered.
        awaiting_response: bool,
    },
    /// Pipelined batches, of which `in_flight` are unacknowledged.
    Replicate { in_flight: VecDeque<SentBatch> },
    /// Chunks of a snapshot, one at a time.
    Snapshot(SnapshotTransfer),
}

/// Entries that were sent in one append request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SentBatch {
    /// Index of the last entry.
    pub last: LogIndex,
    /// Size of the entries, in bytes.
    pub bytes: usize,
}

/// Progress of an outgoing snapshot transfer.
#[derive(Debug)]
pub(crate) struct SnapshotTransfer {
    pub snapshot: Arc<Snapshot>,
    /// Offset of the chunk to send or in flight.
    pub offset: u64,
    /// Round in which the chunk at `offset` was sent; `None` if it was not sent yet.
    pub round: Option<u64>,
}

/// State that a leader keeps for one other member.
#[derive(Debug)]
pub(crate) struct Progress {
    pub matched: LogIndex,
    pub next: LogIndex,
    pub send_state: SendState,
    pub last_response_at: Option<Duration>,
    pub acknowledged_round: u64,
    /// Commit index last sent.
    pub commit_sent: LogIndex,
    /// Whether the current round was not sent to this member yet.
    pub round_due: bool,
    /// Time of the last message to this member.
    pub last_sent_at: Duration,
    /// Last bulk transfer to a learner.
    pub bulk: Option<BulkTransfer>,
    /// Set when the member was removed. The leader keeps sending to it so that it learns of its removal.
    pub removal: Option<PendingRemoval>,
}

/// Large batches of entries in flight to a learner.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BulkTransfer {
    /// Index of the last entry sent.
    pub last: LogIndex,
    pub sent: Duration,
}

/// Removal that a removed member has not confirmed yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingRemoval {
    /// Index of the membership entry that removes the member.
    pub index: LogIndex,
    /// Time at which the leader stops sending to the member.
    pub until: Duration,
}

impl Progress {
    pub fn new(last_index: LogIndex) -> Self {
        Self {
            matched: LogIndex(0),
            next: LogIndex(last_index.0 + 1),
            send_state: SendState::Probe {
                awaiting_response: false,
            },
            last_response_at: None,
            acknowledged_round: 0,
            commit_sent: LogIndex(0),
            round_due: true,
            last_sent_at: Duration::ZERO,
            bulk: None,
            removal: None,
        }
    }

    /// Records a response to a round.
    pub fn on_response(&mut self, now: Duration, round: u64) {
        self.last_response_at = Some(now);
        self.acknowledged_round = self.acknowledged_round.max(round);
    }

    /// Records that the member has all entries up to `index`. `base_index` is the index just before the first
    /// entry of the leader's log.
    pub fn on_accepted(&mut self, index: LogIndex, base_index: LogIndex) {
        self.matched = self.matched.max(index);
        self.next = self.next.max(LogIndex(self.matched.0 + 1));
        match &mut self.send_state {
            SendState::Replicate { in_flight } => in_flight.retain(|batch| batch.last > index),
            SendState::Probe { .. } => self.start_replicating(),
            SendState::Snapshot(transfer) => {
                if self.matched >= base_index.min(transfer.snapshot.meta.index) {
                    self.start_replicating();
                }
            }
        }
    }

    fn start_replicating(&mut self) {
        self.next = LogIndex(self.matched.0 + 1);
        self.send_state = SendState::Replicate {
            in_flight: VecDeque::new(),
        };
    }

    /// Records that the member's log does not match just before `next`. The next probe starts after `hint`;
    /// it is sent at once, or with the next round if the last probe started there too. A rejection from
    /// before an acceptance is ignored.
    pub fn on_rejected(&mut self, hint: LogIndex) {
        if hint < self.matched || matches!(self.send_state, SendState::Snapshot(_)) {
            return;
        }
        let lower = LogIndex(hint.0.saturating_add(1)).min(LogIndex(self.next.0 - 1));
        let next = lower.max(LogIndex(self.matched.0 + 1));
        let awaiting_response = next == self.next;
        self.next = next;
        self.send_state = SendState::Probe { awaiting_response };
    }

    /// Returns the index after which this member needs the entries of the log.
    pub fn needs_after(&self) -> LogIndex {
        match &self.send_state {
            SendState::Snapshot(transfer) => transfer.snapshot.meta.index,
            _ => self.matched,
        }
    }

    /// Returns whether this member was removed and either knows that its removal is committed or was notified
    /// for the maximum time.
    pub fn removal_is_complete(&self, now: Duration) -> bool {
        self.removal.is_some_and(|removal| {
            let notified = self.matched.min(self.commit_sent) >= removal.index;
            notified || now >= removal.until
        })
    }

    /// Returns the time until which new entries or a new commit index for a learner are deferred; `None` if
    /// there are none or they may be sent now. `interval` is the minimum time between two messages. A learner
    /// that is probed or receives a snapshot is not deferred.
    pub fn deferred_until(&self, log: &Log, now: Duration, interval: Duration) -> Option<Duration> {
        let replicates = matches!(self.send_state, SendState::Replicate { .. });
        let has_updates = self.next <= log.last_index() || self.commit_sent < log.commit();
        let due = self.last_sent_at + interval;
        (replicates && has_updates && now < due).then_some(due)
    }

    /// Returns whether a bulk transfer to this learner is unacknowledged and has not timed out.
    pub fn has_bulk_in_flight(&self, now: Duration) -> bool {
        self.bulk
            .is_some_and(|bulk| self.matched < bulk.last && now < bulk.sent + BULK_ACK_TIMEOUT)
    }

    /// Returns whether the entries to send to this learner next are a bulk transfer.
    pub fn has_bulk_due(&self, log: &Log) -> bool {
        let replicates = matches!(self.send_state, SendState::Replicate { .. });
        replicates && log.has_bytes_from(self.next, MIN_BULK_BYTES)
    }

    /// Returns whether another batch may be sent before a response arrives.
    pub fn may_send_batch(&self) -> bool {
        match &self.send_state {
            SendState::Probe { awaiting_response } => !awaiting_response || self.round_due,
            SendState::Replicate { in_flight } => {
                let bytes: usize = in_flight.iter().map(|batch| batch.bytes).sum();
                in_flight.len() < MAX_IN_FLIGHT_BATCHES && bytes < MAX_IN_FLIGHT_BYTES
            }
            SendState::Snapshot(_) => false,
        }
    }

    /// Records that a batch was sent. While probing, this does not advance `next`.
    pub fn on_sent(&mut self, batch: SentBatch) {
        match &mut self.send_state {
            SendState::Probe { awaiting_response } => *awaiting_response = true,
            SendState::Replicate { in_flight } if batch.last >= self.next => {
                in_flight.push_back(batch);
                self.next = LogIndex(batch.last.0 + 1);
            }
            _ => {}
        }
    }
}
