//! Slow start of a cold server.
//!
//! Invariant: the limit of a cold server is at least one request and never above its slots.

use std::time::Duration;

/// Time after which a cold server may use all its slots.
pub const RAMP_TIME: Duration = Duration::from_secs(3);

/// Concurrency limit that rises linearly from one slot to all slots of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ramp {
    started: Option<Duration>,
}

impl Ramp {
    /// A warm server: all slots are usable at once.
    pub fn warm() -> Self {
        Self { started: None }
    }

    /// A cold server whose ramp starts at `now`.
    pub fn cold(now: Duration) -> Self {
        Self { started: Some(now) }
    }

    /// Maximum number of concurrent requests at `now` for a server with `slots` slots.
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
