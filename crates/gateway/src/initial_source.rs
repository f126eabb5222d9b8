//! From which replica a gateway without state fetches its first snapshot, and how long it waits for it.
//!
//! When a whole deployment restarts, a thousand gateways start at once and know three seeds. If each fetched
//! the state from the first replica that responds, a few replicas would send hundreds of snapshots. If a
//! gateway switched to a better replica during a transfer, the bytes sent so far would be wasted, on links
//! that take an eighth of a second for a snapshot. So a gateway waits briefly for its preferred replica,
//! which differs between gateways, and then keeps to the one it asked.

use std::time::Duration;

/// How long a gateway waits for its preferred replica after the first message of any replica. That message
/// names all replicas; links to them are opened within 20 ms, and their first messages follow a few
/// milliseconds later.
const PREFERENCE_WAIT: Duration = Duration::from_millis(60);

/// Time after which another replica is asked if no snapshot has arrived: seven times the transfer time of
/// 0.16 MB, a compressed snapshot of 10,000 servers (`examples/table_memory.rs`), over 10 Mbit/s.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(1);

/// Progress of a gateway towards its first snapshot.
#[derive(Clone, Copy, Debug, Default)]
pub struct InitialSource {
    first_message: Option<Duration>,
    requested: Option<Duration>,
}

impl InitialSource {
    /// Records a message of any replica; only the first one counts.
    pub fn note_replica_message(&mut self, now: Duration) {
        self.first_message.get_or_insert(now);
    }

    /// Records that a replica was asked for its state.
    pub fn note_state_requested(&mut self, now: Duration) {
        self.requested = Some(now);
    }

    /// Records that the link to the replica that was asked is lost.
    pub fn note_source_lost(&mut self) {
        self.requested = None;
    }

    /// Whether a requested snapshot may still arrive.
    pub fn is_pending(&self, now: Duration) -> bool {
        self.requested
            .is_some_and(|requested| now < requested + TRANSFER_TIMEOUT)
    }

    /// Whether a replica should be asked for its state now. `is_preferred` is true if this gateway prefers it
    /// to all other known replicas.
    pub fn may_request(&self, now: Duration, is_preferred: bool) -> bool {
        let waited = |first: Duration| now >= first + PREFERENCE_WAIT;
        !self.is_pending(now) && (is_preferred || self.first_message.is_some_and(waited))
    }
}
