//! State that the leader keeps for one server.

use std::collections::BTreeMap;
use std::time::Duration;

/// Leader's state of one server.
#[derive(Clone, Debug)]
pub(crate) struct Server {
    pub last_heartbeat: Duration,
    /// Sequence number of that heartbeat.
    pub sequence: u64,
    /// Latest time at which its lease can end; zero when this leader granted none.
    pub lease_end: Duration,
    /// Shards that are withheld from grants, each with the sequence number of the heartbeat whose
    /// response first omitted it.
    pub releasing: BTreeMap<usize, u64>,
    /// When gateways first reported that the server is leaving; `None` if they did not.
    pub reported_leaving: Option<Duration>,
    /// When the server began to drain, and how many shards it owned then.
    pub drain: Option<(Duration, usize)>,
    /// When shards were last withheld to move load away from the server.
    pub last_rebalance: Duration,
}

impl Server {
    pub(crate) fn new(now: Duration) -> Self {
        Self {
            last_heartbeat: now,
            sequence: 0,
            lease_end: Duration::ZERO,
            releasing: BTreeMap::new(),
            reported_leaving: None,
            drain: None,
            last_rebalance: Duration::ZERO,
        }
    }

    /// State of a server that sent this leader no heartbeat; `now` is used as the time of the last one.
    pub(crate) fn unseen(now: Duration) -> Self {
        Self::new(now)
    }

    /// Number of shards that should have been withheld from a draining server by `now`.
    pub(crate) fn release_quota(&mut self, now: Duration, owned: usize, window: Duration) -> usize {
        // Gateways send a leaving server requests for a part of the drain time only, counted from its
        // announcement.
        let begins = self.reported_leaving.unwrap_or(now);
        let (began, total) = *self.drain.get_or_insert((begins, owned));
        let elapsed = now.saturating_sub(began);
        let window = window.as_millis().max(1);
        let share = elapsed.as_millis().min(window);
        let paced = (total as u128 * share).div_ceil(window) as usize;
        let first_step = total.div_ceil(INITIAL_RELEASE_DIVISOR);
        paced.max(first_step)
    }
}

/// One in this many of its shards is withheld from a draining server at once.
const INITIAL_RELEASE_DIVISOR: usize = 8;
