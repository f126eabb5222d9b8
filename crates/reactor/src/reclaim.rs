//! Search for peers that stand still, whose memory or connections others need.

use std::time::Duration;

/// Time without progress after which a peer's message or connection may be ended. Peers send a message in one go; what
/// they wait for on the way is a lost packet.
const STALLED_AFTER: Duration = Duration::from_millis(500);

/// Smallest amount of memory for which a message is ended.
const MIN_RECLAIMED_BYTES: usize = 2 << 10;

/// Time between two searches when the first found nothing, so that a crowd of peers does not cause a search of all
/// connections with each of its reads.
const SEARCH_PAUSE: Duration = Duration::from_millis(50);

/// What a peer holds and owes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerMemory {
    /// When the peer last sent a byte of an incomplete message or took one of a message to it; `None` if it owes neither.
    pub stalled_since: Option<Duration>,
    /// Memory that its messages take, in bytes.
    pub held_bytes: usize,
}

impl PeerMemory {
    /// When the peer began to stand still with memory that is worth reclaiming; `None` otherwise.
    pub fn reclaimable_since(self) -> Option<Duration> {
        let is_worth_it = self.held_bytes >= MIN_RECLAIMED_BYTES;
        self.stalled_since.filter(|_| is_worth_it)
    }
}

/// Finds the peers that stand still, and limits how often it looks for them.
#[derive(Debug, Default)]
pub struct StallSearch {
    next: Duration,
}

impl StallSearch {
    /// Of peers with the time since which each stands still, if it does, those that can be ended, the longest first.
    pub fn find<T: Ord>(
        &mut self,
        now: Duration,
        peers: impl Iterator<Item = (T, Option<Duration>)>,
    ) -> Vec<(Duration, T)> {
        if now < self.next {
            return Vec::new();
        }
        let stalled = peers.filter_map(|(peer, since)| Some((since?, peer)));
        let stalled = stalled.filter(|(since, _)| now >= *since + STALLED_AFTER);
        let mut stalled: Vec<(Duration, T)> = stalled.collect();
        stalled.sort_unstable();
        if stalled.is_empty() {
            self.next = now + SEARCH_PAUSE;
        }
        stalled
    }
}
