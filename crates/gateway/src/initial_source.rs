//! From whom a gateway without any state takes its first one, and how long it keeps to that.
//!
//! After a loss of everything a thousand gateways start at once and know three seeds. If each took its state from the
//! first replica that speaks, a few replicas would send hundreds; if each turned to a better one while its state is on
//! the way, the bytes sent so far would be lost, on links that carry a state in an eighth of a second. So a gateway
//! waits a moment for the replica that it prefers, which differs from gateway to gateway, and then keeps to the one
//! it asked.

use std::time::Duration;

/// Time from the first word of any replica for which a gateway waits for the one that it prefers: names come with that
/// word, links are begun within 20 ms, and are up and spoken over some milliseconds later.
const CHOICE_WAIT: Duration = Duration::from_millis(60);

/// Time within which a state must have come before another replica is asked: seven times what 0.16 MB, a packed state
/// of 10,000 servers (`examples/table_memory.rs`), take over 10 Mbit/s.
const PATIENCE: Duration = Duration::from_secs(1);

/// Where a gateway stands with its first state.
#[derive(Clone, Copy, Debug, Default)]
pub struct InitialSource {
    first_word: Option<Duration>,
    asked: Option<Duration>,
}

impl InitialSource {
    /// A replica spoke.
    pub fn note_replica_message(&mut self, now: Duration) {
        self.first_word.get_or_insert(now);
    }

    /// A replica was asked for its state.
    pub fn note_state_requested(&mut self, now: Duration) {
        self.asked = Some(now);
    }

    /// The replica that was asked is lost.
    pub fn note_source_lost(&mut self) {
        self.asked = None;
    }

    /// Whether a state that was asked for may still come.
    pub fn is_pending(&self, now: Duration) -> bool {
        self.asked.is_some_and(|asked| now < asked + PATIENCE)
    }

    /// Whether a replica should be asked now; `is_preferred` tells whether this gateway would choose it among all that
    /// are named.
    pub fn may_request(&self, now: Duration, is_preferred: bool) -> bool {
        let waited = |first: Duration| now >= first + CHOICE_WAIT;
        !self.is_pending(now) && (is_preferred || self.first_word.is_some_and(waited))
    }
}
