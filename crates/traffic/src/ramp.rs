//! Slow start of a cold server.
//!
//! Invariant: a cold server gets at least one request at a time and never more than its slots.

use std::time::Duration;

/// Time a cold server needs until it may use all its slots.
pub const RAMP_TIME: Duration = Duration::from_secs(3);

/// Rises from one slot to all of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ramp {
    started: Option<Duration>,
}

impl Ramp {
    /// A server that is warm already.
    pub fn warm() -> Self {
        Self { started: None }
    }

    /// A server that is cold at `now`.
    pub fn cold(now: Duration) -> Self {
        Self { started: Some(now) }
    }

    /// Requests at once that the server may get at `now`, of its `slots`.
    pub fn limit(&self, now: Duration, slots: u32) -> u32 {
        let Some(started) = self.started else {
            return slots;
        };
        let age = now.saturating_sub(started);
        if age >= RAMP_TIME {
            return slots;
        }
        let part = f64::from(slots) * age.as_secs_f64() / RAMP_TIME.as_secs_f64();
        (part as u32).clamp(1, slots.max(1))
    }
}
