//! How many requests this gateway may have at one server, learnt from the server's answers.
//!
//! All gateways together settle near what a server can take without telling each other: each adds to
//! its limit after good answers and cuts it when the server sheds, stays silent or is late.
//!
//! Invariants: a limit grows only while it holds requests back, so that a quiet server's limit says
//! nothing about what it can take; a limit below one allows one request at a time with pauses between
//! them, since many gateways share a server with few slots.

use std::time::Duration;

/// The least and the largest limit.
const LEAST_LIMIT: f64 = 0.2;
const LARGEST_LIMIT: f64 = 32.0;

/// Requests for each of its slots that all gateways together may have at a server of which nothing
/// is known yet.
const FIRST_PER_SLOT: f64 = 6.0;

/// Largest first limit of one gateway.
const LARGEST_FIRST_LIMIT: f64 = 4.0;

/// Growth of a limit for a round of good answers.
const ROUND_GROWTH: f64 = 0.5;

/// Growth for each good answer of a limit below one, as a factor.
const PACED_GROWTH: f64 = 1.3;

/// What a late answer and an overload leave of a limit.
const LATE_FACTOR: f64 = 0.85;
const OVERLOAD_FACTOR: f64 = 0.6;

/// Least time between two cuts of a limit, so that one burst of failures counts once.
const CUT_PAUSE: Duration = Duration::from_millis(100);

/// The first limit of one of `gateways` on its requests at a server with so many slots.
pub fn initial_limit(slots: u32, gateways: u32) -> f64 {
    let total = FIRST_PER_SLOT * f64::from(slots);
    (total / f64::from(gateways.max(1))).clamp(1.0, LARGEST_FIRST_LIMIT)
}

/// One gateway's limit on its requests at one server.
#[derive(Clone, Debug, PartialEq)]
pub struct ConcurrencyLimit {
    limit: f64,
    running: u32,
    /// End of the pause after the last request, for a limit below one.
    pause_until: Duration,
    cut_at: Option<Duration>,
}

impl ConcurrencyLimit {
    /// A limit of which nothing is known yet.
    pub fn new(first: f64) -> Self {
        Self {
            limit: first,
            running: 0,
            pause_until: Duration::ZERO,
            cut_at: None,
        }
    }

    /// Requests at the server.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Whether another request may go to the server now.
    pub fn has_room(&self, now: Duration) -> bool {
        match self.limit >= 1.0 {
            true => f64::from(self.running) + 1.0 <= self.limit,
            false => self.running == 0 && now >= self.pause_until,
        }
    }

    /// When the pause that holds requests back is over; `None` when it is not a pause that does.
    pub fn opens_at(&self, now: Duration) -> Option<Duration> {
        let pauses = self.limit < 1.0 && self.running == 0 && now < self.pause_until;
        pauses.then_some(self.pause_until)
    }

    /// A request went to the server.
    pub fn begin(&mut self) {
        self.running += 1;
    }

    /// A request left the server, where the next is expected to take `expected`.
    pub fn end(&mut self, now: Duration, expected: Duration) {
        self.running = self.running.saturating_sub(1);
        if self.limit < 1.0 {
            self.pause_until = now + expected.mul_f64(1.0 / self.limit - 1.0);
        }
    }

    /// A request that has just ended was answered well in time.
    pub fn answered_fast(&mut self) {
        let held_back = f64::from(self.running) + 2.0 > self.limit;
        if !held_back {
            return;
        }
        let grown = match self.limit >= 1.0 {
            true => self.limit + ROUND_GROWTH / self.limit,
            false => self.limit * PACED_GROWTH,
        };
        self.limit = grown.min(LARGEST_LIMIT);
    }

    /// A request was answered late.
    pub fn answered_late(&mut self, now: Duration) {
        self.cut(now, LATE_FACTOR);
    }

    /// The server shed a request or left it without an answer.
    pub fn overloaded(&mut self, now: Duration) {
        self.cut(now, OVERLOAD_FACTOR);
    }

    /// The server asked for no requests for a time: after it one request at a time shows whether the server takes them.
    pub fn reset(&mut self) {
        self.limit = 1.0;
        self.pause_until = Duration::ZERO;
    }

    fn cut(&mut self, now: Duration, factor: f64) {
        if self.cut_at.is_some_and(|at| now < at + CUT_PAUSE) {
            return;
        }
        self.cut_at = Some(now);
        self.limit = (self.limit * factor).max(LEAST_LIMIT);
    }
}
