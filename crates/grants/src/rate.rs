//! Rates of events with exponential decay.

use std::time::Duration;

/// Time constant of the decay: the age at which an event's weight has fallen to 1/e.
pub(crate) const RATE_TIME_CONSTANT: Duration = Duration::from_millis(4_000);

/// Shorter time constant, for a rate that has to follow sudden changes.
const FAST_TIME_CONSTANT: Duration = Duration::from_millis(1_000);

/// Standard deviations by which the fast rate must differ from the steady one to replace it.
const MIN_CHANGE_DEVIATIONS: f64 = 4.0;

/// Event rate with exponential decay.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DecayingRate {
    time_constant: Duration,
    events: f64,
    at: Duration,
}

impl DecayingRate {
    /// Rate without events yet; the weight of an event falls to 1/e within `time_constant`.
    pub(crate) fn new(time_constant: Duration) -> Self {
        Self {
            time_constant,
            events: 0.0,
            at: Duration::ZERO,
        }
    }

    fn decayed(self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.events * (-age / self.time_constant.as_secs_f64()).exp()
    }

    pub(crate) fn add(&mut self, now: Duration, events: f64) {
        self.events = self.decayed(now) + events;
        self.at = now;
    }

    /// Events per second.
    pub(crate) fn per_second(self, now: Duration) -> f64 {
        self.decayed(now) / self.time_constant.as_secs_f64()
    }
}

/// Rate that ignores random variation but follows sudden changes: a fast rate replaces the steady one
/// when they differ by more than random variation explains.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AdaptiveRate {
    steady: DecayingRate,
    fast: DecayingRate,
}

impl Default for AdaptiveRate {
    fn default() -> Self {
        Self {
            steady: DecayingRate::new(RATE_TIME_CONSTANT),
            fast: DecayingRate::new(FAST_TIME_CONSTANT),
        }
    }
}

impl AdaptiveRate {
    pub(crate) fn add(&mut self, now: Duration, events: f64) {
        self.steady.add(now, events);
        self.fast.add(now, events);
    }

    /// Events per second by the steady rate alone.
    pub(crate) fn steady_per_second(self, now: Duration) -> f64 {
        self.steady.per_second(now)
    }

    /// Events per second; a change of less than `min_change` is ignored.
    pub(crate) fn per_second(self, now: Duration, min_change: f64) -> f64 {
        let steady = self.steady.per_second(now);
        let fast = self.fast.per_second(now);
        if (fast - steady).abs() < min_change {
            return steady;
        }
        // A rate with this time constant rests on the events of about `2 * time_constant` seconds. The
        // standard deviation of their number is its square root.
        let deviation = (steady.max(fast) / (2.0 * FAST_TIME_CONSTANT.as_secs_f64())).sqrt();
        match (fast - steady).abs() > MIN_CHANGE_DEVIATIONS * deviation {
            true => fast,
            false => steady,
        }
    }
}

#[cfg(test)]
mod tests;
