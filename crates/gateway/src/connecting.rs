//! How long an attempt to connect to a replica or relay goes on.
//!
//! On a link with a long queue a handshake takes as long as the queue in both directions. Attempts that were
//! abandoned and begun again would never be established there, so an attempt that takes long goes on while others
//! are begun beside it: at other addresses, and at the same one, since the packets of the first may be lost.

use std::time::Duration;

/// Time after which another attempt is begun beside one that is not established.
const RETRY_AFTER: Duration = Duration::from_millis(400);

/// Time after which an attempt is abandoned: a queue of 1.5 s in each direction.
const TIMEOUT: Duration = Duration::from_millis(3_000);

/// Progress of an attempt that is not established.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptState {
    /// It may be established any moment; no other one is needed.
    Recent,
    /// Another attempt should be begun beside it.
    Late,
    /// It should be abandoned.
    TimedOut,
}

/// Progress of an attempt that was begun at `opened_at`.
pub fn attempt_state(now: Duration, opened_at: Duration) -> AttemptState {
    let age = now.saturating_sub(opened_at);
    match age {
        age if age > TIMEOUT => AttemptState::TimedOut,
        age if age > RETRY_AFTER => AttemptState::Late,
        _ => AttemptState::Recent,
    }
}
