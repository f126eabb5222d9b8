//! How much may be sent over a shared link and how often, so that bulk never holds up what is urgent.

use std::time::Duration;

/// Bytes a second of a link of one megabit a second.
pub const BYTES_PER_MEGABIT: f64 = 125_000.0;

/// Time whose allowance may be saved up.
const BURST: Duration = Duration::from_millis(100);

/// An allowance of bytes that grows with time. It may be overdrawn by one message.
#[derive(Clone, Copy, Debug)]
pub struct Pacer {
    bytes_per_second: f64,
    allowance: f64,
    refilled: Duration,
}

impl Pacer {
    /// Nothing is allowed before time has passed.
    pub fn new(bytes_per_second: f64) -> Self {
        Self {
            bytes_per_second,
            allowance: 0.0,
            refilled: Duration::ZERO,
        }
    }

    /// Whether a message may be sent now.
    pub fn allows(&mut self, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.refilled).as_secs_f64();
        let most = self.bytes_per_second * BURST.as_secs_f64();
        self.refilled = self.refilled.max(now);
        self.allowance = (self.allowance + elapsed * self.bytes_per_second).min(most);
        self.allowance > 0.0
    }

    /// Counts a message that was sent.
    pub fn spend(&mut self, bytes: usize) {
        self.allowance -= bytes as f64;
    }
}

/// Pause between two whole rounds, for each gateway that follows: each round is a write to every one.
const PAUSE_PER_GATEWAY: Duration = Duration::from_micros(1_500);

/// Pause before a round that the allowance cut short goes on: a hundredth of a second of the allowance fills by then.
/// A whole round's pause would waste what the link may carry from 66 gateways on, since an allowance saves up a tenth
/// of a second only.
const RESUME_PAUSE: Duration = Duration::from_millis(10);

/// How a round of feeding ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoundEnd {
    /// Every gateway has what it lacked.
    Whole,
    /// The allowance was spent before.
    CutShort,
}

/// When gateways are fed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rounds {
    next: Duration,
}

impl Rounds {
    /// Whether a round may begin, or go on.
    pub fn is_due(&self, now: Duration) -> bool {
        now >= self.next
    }

    /// Notes how a round ended, of so many gateways.
    pub fn ended(&mut self, now: Duration, gateways: usize, end: RoundEnd) {
        let pause = match end {
            RoundEnd::Whole => PAUSE_PER_GATEWAY * gateways as u32,
            RoundEnd::CutShort => RESUME_PAUSE,
        };
        self.next = now + pause;
    }
}
