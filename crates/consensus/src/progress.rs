//! What a leader knows of one other member, and how much it may send to it.
//!
//! Invariant: `matched` only grows, and `next` is above it. At most
//! [`IN_FLIGHT_BATCHES`] batches wait for an answer.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use grebepin_schema::LogIndex;

use crate::limits::{BULK_BYTES, BULK_PATIENCE, IN_FLIGHT_BATCHES};
use crate::log::{Log, Snapshot};

/// How a leader sends to a member.
#[derive(Debug)]
pub(crate) enum Sending {
    /// One request at a time, until one matches.
    Probe {
        /// Whether a request of this round is out.
        waiting: bool,
    },
    /// Batches without waiting for answers; the last index of each that is not answered.
    Replicate { in_flight: VecDeque<LogIndex> },
    /// Chunks of a snapshot, one at a time.
    Snapshot(SnapshotSending),
}

/// How far a snapshot was sent.
#[derive(Debug)]
pub(crate) struct SnapshotSending {
    pub snapshot: Arc<Snapshot>,
    /// Offset of the chunk that is out.
    pub offset: u64,
    /// Round that chunk was sent in; `None` before the first chunk.
    pub round: Option<u64>,
}

/// What a leader knows of one other member.
#[derive(Debug)]
pub(crate) struct Progress {
    pub matched: LogIndex,
    pub next: LogIndex,
    pub sending: Sending,
    pub last_heard: Option<Duration>,
    pub answered_round: u64,
    /// Commit index last sent.
    pub commit_sent: LogIndex,
    /// Whether the present round has not gone to this member yet.
    pub round_due: bool,
    /// When news were last sent.
    pub news_sent: Duration,
    /// Bulk that was last sent to a learner.
    pub bulk: Option<Bulk>,
    /// Set when the member was removed: it is still told so.
    pub leaving: Option<Leaving>,
}

/// Many bytes of entries on their way to a learner.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bulk {
    /// Index of the last entry sent.
    pub last: LogIndex,
    pub sent: Duration,
}

/// A removed member that should learn of its removal.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Leaving {
    /// Index of the entry that removes it.
    pub index: LogIndex,
    /// When the leader gives up telling it.
    pub until: Duration,
}

impl Progress {
    pub fn new(last_index: LogIndex) -> Self {
        Self {
            matched: LogIndex(0),
            next: LogIndex(last_index.0 + 1),
            sending: Sending::Probe { waiting: false },
            last_heard: None,
            answered_round: 0,
            commit_sent: LogIndex(0),
            round_due: true,
            news_sent: Duration::ZERO,
            bulk: None,
            leaving: None,
        }
    }

    /// Notes a sign of life that answers a round.
    pub fn heard(&mut self, now: Duration, round: u64) {
        self.last_heard = Some(now);
        self.answered_round = self.answered_round.max(round);
    }

    /// The member holds everything up to `index`; `base_index` is where the leader's log begins.
    pub fn accepted(&mut self, index: LogIndex, base_index: LogIndex) {
        self.matched = self.matched.max(index);
        self.next = self.next.max(LogIndex(self.matched.0 + 1));
        match &mut self.sending {
            Sending::Replicate { in_flight } => in_flight.retain(|last| *last > index),
            Sending::Probe { .. } => self.start_replicating(),
            Sending::Snapshot(sending) => {
                if self.matched >= base_index.min(sending.snapshot.meta.index) {
                    self.start_replicating();
                }
            }
        }
    }

    fn start_replicating(&mut self) {
        self.next = LogIndex(self.matched.0 + 1);
        self.sending = Sending::Replicate {
            in_flight: VecDeque::new(),
        };
    }

    /// The member has no match just before `next` and proposes to try after `hint`: a probe goes out
    /// from there at once, or with the next round if that is where the last one started. An answer
    /// from before an acceptance changes nothing.
    pub fn rejected(&mut self, hint: LogIndex) {
        if hint < self.matched || matches!(self.sending, Sending::Snapshot(_)) {
            return;
        }
        let lower = LogIndex(hint.0.saturating_add(1)).min(LogIndex(self.next.0 - 1));
        let next = lower.max(LogIndex(self.matched.0 + 1));
        let waiting = next == self.next;
        self.next = next;
        self.sending = Sending::Probe { waiting };
    }

    /// Index after which this member still needs the log.
    pub fn needs_after(&self) -> LogIndex {
        match &self.sending {
            Sending::Snapshot(sending) => sending.snapshot.meta.index,
            _ => self.matched,
        }
    }

    /// Whether this member was removed, and knows it or was told for long enough.
    pub fn has_left(&self, now: Duration) -> bool {
        self.leaving.is_some_and(|leaving| {
            let knows = self.matched.min(self.commit_sent) >= leaving.index;
            knows || now >= leaving.until
        })
    }

    /// When news for a learner are sent next, if there are any and they must wait; `pause` is the least time
    /// between two messages. A learner that does not follow the log yet is not held up.
    pub fn news_wait_until(&self, log: &Log, now: Duration, pause: Duration) -> Option<Duration> {
        let follows = matches!(self.sending, Sending::Replicate { .. });
        let has_news = self.next <= log.last_index() || self.commit_sent < log.commit();
        let due = self.news_sent + pause;
        (follows && has_news && now < due).then_some(due)
    }

    /// Whether bulk is on its way to this learner.
    pub fn has_bulk_under_way(&self, now: Duration) -> bool {
        self.bulk
            .is_some_and(|bulk| self.matched < bulk.last && now < bulk.sent + BULK_PATIENCE)
    }

    /// Whether bulk is to be sent to this learner next.
    pub fn has_bulk_due(&self, log: &Log) -> bool {
        let follows = matches!(self.sending, Sending::Replicate { .. });
        follows && log.holds_bytes_from(self.next, BULK_BYTES)
    }

    /// Whether another batch may be sent without an answer.
    pub fn may_send_batch(&self) -> bool {
        match &self.sending {
            Sending::Probe { waiting } => !waiting || self.round_due,
            Sending::Replicate { in_flight } => in_flight.len() < IN_FLIGHT_BATCHES,
            Sending::Snapshot(_) => false,
        }
    }

    /// Notes that entries up to `last` were sent; a probe carries them without moving on.
    pub fn sent(&mut self, last: LogIndex) {
        match &mut self.sending {
            Sending::Probe { waiting } => *waiting = true,
            Sending::Replicate { in_flight } if last >= self.next => {
                in_flight.push_back(last);
                self.next = LogIndex(last.0 + 1);
            }
            _ => {}
        }
    }
}
