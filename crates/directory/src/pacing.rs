//! Limits the bandwidth and frequency of bulk transfers on a shared link, so that they never delay urgent
//! messages.

use std::time::Duration;

/// Bytes per second of a link with a capacity of one megabit per second.
pub const BYTES_PER_MEGABIT: f64 = 125_000.0;

/// Period whose allowance may accumulate while nothing is sent.
const BURST: Duration = Duration::from_millis(100);

/// Token bucket that counts bytes. One message may overdraw it.
#[derive(Clone, Copy, Debug)]
pub struct Pacer {
    bytes_per_second: f64,
    allowance: f64,
    refilled_at: Duration,
}

impl Pacer {
    /// Starts with an empty bucket.
    pub fn new(bytes_per_second: f64) -> Self {
        Self {
            bytes_per_second,
            allowance: 0.0,
            refilled_at: Duration::ZERO,
        }
    }

    /// Whether a message may be sent now.
    pub fn allows(&mut self, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        let max_allowance = self.bytes_per_second * BURST.as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.allowance = (self.allowance + elapsed * self.bytes_per_second).min(max_allowance);
        self.allowance > 0.0
    }

    /// Deducts the bytes of a message that was sent.
    pub fn spend(&mut self, bytes: usize) {
        self.allowance -= bytes as f64;
    }
}

/// A gateway's connection, and what was sent on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FedLink<T> {
    /// Identifies the connection.
    pub token: T,
    /// Log index up to which the gateway was sent entries; 0 for one that needs the complete state.
    pub fed_index: u64,
}

/// Order in which gateways are sent updates: those that lack most entries go first, since an allowance that ends a
/// round early would otherwise leave out the same gateways in each round. Complete states go last: they are large,
/// and gateways that start serve nothing yet.
pub fn feed_order<T>(mut links: Vec<FedLink<T>>) -> impl Iterator<Item = T> {
    links.sort_by_key(|link| (link.fed_index == 0, link.fed_index));
    links.into_iter().map(|link| link.token)
}

/// Pause after a complete round, per gateway that follows: each round may write to every one of them.
const PAUSE_PER_GATEWAY: Duration = Duration::from_micros(1_500);

/// Pause before a round continues that ran out of allowance; the allowance of 10 ms accumulates in the
/// meantime. The pause of a complete round would leave part of the link unused with 66 gateways or more,
/// since at most a tenth of a second of allowance accumulates.
const RESUME_PAUSE: Duration = Duration::from_millis(10);

/// How a round of sending updates to gateways ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoundEnd {
    /// Every gateway was sent what it lacked.
    Complete,
    /// The allowance ran out first.
    AllowanceExhausted,
}

/// Schedules the rounds in which gateways are sent updates.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoundSchedule {
    next_at: Duration,
}

impl RoundSchedule {
    /// Whether a round may start or continue.
    pub fn is_due(&self, now: Duration) -> bool {
        now >= self.next_at
    }

    /// Records how a round over this number of gateways ended and schedules the next one.
    pub fn record_end(&mut self, now: Duration, gateways: usize, end: RoundEnd) {
        let pause = match end {
            RoundEnd::Complete => PAUSE_PER_GATEWAY * gateways as u32,
            RoundEnd::AllowanceExhausted => RESUME_PAUSE,
        };
        self.next_at = now + pause;
    }
}
