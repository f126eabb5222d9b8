//! Search for peers that stand still, whose memory or connections others need.

use std::time::Duration;

/// Time without progress after which a peer's message or connection may be ended. Peers send a message in one go; what
/// they wait for on the way is a lost packet.
const STALLED_AFTER: Duration = Duration::from_millis(500);

/// Bytes that a peer must send or take within [`STALLED_AFTER`]: one that sends a byte now and then stands still as well.
/// This is 8 KiB/s, less than any network on which a message of that size makes sense.
const MIN_PROGRESS_BYTES: usize = 4 << 10;

/// Smallest amount of memory for which a message is ended.
const MIN_RECLAIMED_BYTES: usize = 2 << 10;

/// Time between two searches when the first found nothing, so that a crowd of peers does not cause a search of all
/// connections with each of its reads.
const SEARCH_PAUSE: Duration = Duration::from_millis(50);

/// When a peer last made progress with a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    at: Duration,
    /// Bytes since then.
    bytes: usize,
}

impl Progress {
    /// Of a message that begins.
    pub fn begin(now: Duration) -> Self {
        Self { at: now, bytes: 0 }
    }

    /// Records bytes that were received or sent.
    pub fn note(&mut self, now: Duration, bytes: usize) {
        self.bytes += bytes;
        if self.bytes >= MIN_PROGRESS_BYTES {
            *self = Self::begin(now);
        }
    }

    /// Time of the last progress.
    pub fn at(&self) -> Duration {
        self.at
    }
}

/// What a peer holds and owes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerMemory {
    /// When the peer last made progress with an incomplete message or one that is sent to it; `None` if there is neither.
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
