//! This gateway's concurrency limit at one server, adapted to the server's responses.
//!
//! The limits of all gateways settle near the capacity of the server without any communication between them:
//! each gateway raises its limit after fast responses and cuts it when the server sheds, times out or
//! responds late.
//!
//! Invariants: a limit grows only while it holds requests back, because the limit of a lightly used server
//! says nothing about its capacity. A limit below one allows one request at a time with pauses between them,
//! because many gateways may share a server with few slots.

use std::time::Duration;

/// Bounds of a limit.
const MINIMUM_LIMIT: f64 = 0.2;
const MAX_LIMIT: f64 = 32.0;

/// Requests for each slot that all gateways together may have at a server that has not responded yet.
const INITIAL_PER_SLOT: f64 = 6.0;

/// Largest initial limit of one gateway.
const MAX_INITIAL_LIMIT: f64 = 4.0;

/// Increase of a limit of at least one after as many fast responses as the limit allows requests at once.
const GROWTH_PER_ROUND: f64 = 0.5;

/// Factor on a limit below one for each fast response.
const GROWTH_BELOW_ONE: f64 = 1.3;

/// Factors on a limit for a late response and for a shed or timed-out request.
const LATE_FACTOR: f64 = 0.85;
const OVERLOAD_FACTOR: f64 = 0.6;

/// Minimum time between two cuts of a limit, so that a burst of failures counts once.
const CUT_INTERVAL: Duration = Duration::from_millis(100);

/// Initial limit of one of `gateways` at a server with `slots` slots, which all gateways share.
pub fn initial_limit(slots: u32, gateways: u32) -> f64 {
    let total = INITIAL_PER_SLOT * f64::from(slots);
    (total / f64::from(gateways.max(1))).clamp(1.0, MAX_INITIAL_LIMIT)
}

/// One gateway's concurrency limit at one server.
#[derive(Clone, Debug, PartialEq)]
pub struct ConcurrencyLimit {
    limit: f64,
    running: u32,
    /// End of the pause after the last request, for a limit below one.
    pause_until: Duration,
    cut_at: Option<Duration>,
}

impl ConcurrencyLimit {
    /// Starts with the limit `initial`.
    pub fn new(initial: f64) -> Self {
        Self {
            limit: initial,
            running: 0,
            pause_until: Duration::ZERO,
            cut_at: None,
        }
    }

    /// Requests in flight at the server.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Whether the limit allows another request to the server now.
    pub fn has_room(&self, now: Duration) -> bool {
        match self.limit >= 1.0 {
            true => f64::from(self.running) + 1.0 <= self.limit,
            false => self.running == 0 && now >= self.pause_until,
        }
    }

    /// End of the pause between two requests; `None` if no pause holds requests back.
    pub fn opens_at(&self, now: Duration) -> Option<Duration> {
        let pauses = self.limit < 1.0 && self.running == 0 && now < self.pause_until;
        pauses.then_some(self.pause_until)
    }

    /// Counts a request that is sent to the server.
    pub fn begin(&mut self) {
        self.running += 1;
    }

    /// Counts the end of a request. With a limit below one, the next must wait so that requests, expected to
    /// take `expected` each, are in flight for the fraction `limit` of the time.
    pub fn end(&mut self, now: Duration, expected: Duration) {
        self.running = self.running.saturating_sub(1);
        if self.limit < 1.0 {
            self.pause_until = now + expected.mul_f64(1.0 / self.limit - 1.0);
        }
    }

    /// Records a fast response to a request that has just ended.
    pub fn answered_fast(&mut self) {
        let held_back = f64::from(self.running) + 2.0 > self.limit;
        if !held_back {
            return;
        }
        let grown = match self.limit >= 1.0 {
            true => self.limit + GROWTH_PER_ROUND / self.limit,
            false => self.limit * GROWTH_BELOW_ONE,
        };
        self.limit = grown.min(MAX_LIMIT);
    }

    /// Records a response later than the target latency.
    pub fn answered_late(&mut self, now: Duration) {
        self.cut(now, LATE_FACTOR);
    }

    /// Records that the server shed a request or did not respond before the deadline.
    pub fn overloaded(&mut self, now: Duration) {
        self.cut(now, OVERLOAD_FACTOR);
    }

    /// Sets the limit to one request at a time, to probe the server after a cooldown that it asked for.
    pub fn reset(&mut self) {
        self.limit = 1.0;
        self.pause_until = Duration::ZERO;
    }

    fn cut(&mut self, now: Duration, factor: f64) {
        if self.cut_at.is_some_and(|at| now < at + CUT_INTERVAL) {
            return;
        }
        self.cut_at = Some(now);
        self.limit = (self.limit * factor).max(MINIMUM_LIMIT);
    }
}
