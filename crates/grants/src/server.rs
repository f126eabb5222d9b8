//! What the leader remembers of one server.

use std::collections::BTreeMap;
use std::time::Duration;

/// One server, as this leader knows it.
#[derive(Clone, Debug)]
pub(crate) struct Server {
    /// When its last heartbeat came.
    pub last_beat: Duration,
    /// Sequence number of that heartbeat.
    pub sequence: u64,
    /// When its lease has certainly ended; zero when this leader gave none.
    pub lease_end: Duration,
    /// Shards that answers leave out, each with the heartbeat whose answer was the first to do so.
    pub releasing: BTreeMap<usize, u64>,
    /// When it began to drain, and how many shards it owned then.
    pub drain: Option<(Duration, usize)>,
    /// When it was last told to give shards away for balance.
    pub gave_at: Duration,
}

impl Server {
    pub(crate) fn new(now: Duration) -> Self {
        Self {
            last_beat: now,
            sequence: 0,
            lease_end: Duration::ZERO,
            releasing: BTreeMap::new(),
            drain: None,
            gave_at: Duration::ZERO,
        }
    }

    /// A server that this leader never heard; `now` stands in for its last heartbeat.
    pub(crate) fn silent_since(now: Duration) -> Self {
        Self::new(now)
    }

    /// How many shards a draining server should have been told to release by now.
    pub(crate) fn release_quota(&mut self, now: Duration, owned: usize, window: Duration) -> usize {
        let (began, total) = *self.drain.get_or_insert((now, owned));
        let elapsed = now.saturating_sub(began);
        let window = window.as_millis().max(1);
        let share = elapsed.as_millis().min(window);
        let paced = (total as u128 * share).div_ceil(window) as usize;
        let first_step = total.div_ceil(FIRST_STEP_DIVISOR);
        paced.max(first_step)
    }
}

/// Part of its shards, one in this many, that a draining server releases at once.
const FIRST_STEP_DIVISOR: usize = 8;
