//! Rates of events that forget.

use std::time::Duration;

/// Time in which an old rate loses most of its weight.
pub(crate) const RATE_MEMORY: Duration = Duration::from_millis(4_000);

/// The same for a rate that must show a sudden change.
const QUICK_MEMORY: Duration = Duration::from_millis(1_000);

/// Standard deviations by which a quick rate must differ from the steady one to count in its place.
const CHANGE_DEVIATIONS: f64 = 4.0;

/// A rate that forgets.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rate {
    memory: Duration,
    events: f64,
    at: Duration,
}

impl Rate {
    /// No events yet; old ones lose most of their weight in `memory`.
    pub(crate) fn new(memory: Duration) -> Self {
        Self {
            memory,
            events: 0.0,
            at: Duration::ZERO,
        }
    }

    fn decayed(self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.events * (-age / self.memory.as_secs_f64()).exp()
    }

    /// Takes events in.
    pub(crate) fn add(&mut self, now: Duration, events: f64) {
        self.events = self.decayed(now) + events;
        self.at = now;
    }

    /// Events a second.
    pub(crate) fn per_second(self, now: Duration) -> f64 {
        self.decayed(now) / self.memory.as_secs_f64()
    }
}

/// A rate that is steady under chance and yet follows a sudden change: a quick one counts in its place
/// once both differ by more than chance explains.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AlertRate {
    steady: Rate,
    quick: Rate,
}

impl Default for AlertRate {
    fn default() -> Self {
        Self {
            steady: Rate::new(RATE_MEMORY),
            quick: Rate::new(QUICK_MEMORY),
        }
    }
}

impl AlertRate {
    /// Takes events in.
    pub(crate) fn add(&mut self, now: Duration, events: f64) {
        self.steady.add(now, events);
        self.quick.add(now, events);
    }

    /// Events a second by the steady rate alone.
    pub(crate) fn steady_per_second(self, now: Duration) -> f64 {
        self.steady.per_second(now)
    }

    /// Events a second, where a change of less than `least` is none.
    pub(crate) fn per_second(self, now: Duration, least: f64) -> f64 {
        let steady = self.steady.per_second(now);
        let quick = self.quick.per_second(now);
        if (quick - steady).abs() < least {
            return steady;
        }
        // A rate with this memory rests on about `2 * memory` seconds of events, whose number varies
        // with its root.
        let chance = (steady.max(quick) / (2.0 * QUICK_MEMORY.as_secs_f64())).sqrt();
        match (quick - steady).abs() > CHANGE_DEVIATIONS * chance {
            true => quick,
            false => steady,
        }
    }
}

#[cfg(test)]
mod tests;
