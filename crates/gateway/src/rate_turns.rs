//! Turns by which all gateways together keep to a rate of requests at a server without communicating with
//! each other.
//!
//! Each gateway has one turn in each period of `gateways / rate`, at an offset given by a hash of the gateway
//! and the server, and sends at most one request in a turn.
//!
//! Invariants: a turn that is not used is lost, so that the number of requests of all gateways in a time is
//! about the number of turns in it, however many requests are queued. Two requests of one gateway are a
//! period apart, give or take the length of a turn, also while the rate or the number of gateways changes,
//! because each turn is computed from the previous one.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use grebepin_catalog::InstanceId;

use crate::hashing::unit_interval;

/// How often a gateway has a turn at a server, and how long a turn lasts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TurnTiming {
    /// Time between the starts of two turns.
    period: Duration,
    /// Length of a turn.
    open: Duration,
}

impl TurnTiming {
    /// Turns of one of `gateways` that together send `per_second` requests a second. A turn is open for
    /// `open`, but no longer than its period.
    pub fn shared(per_second: f64, gateways: u32, open: Duration) -> Self {
        let seconds = f64::from(gateways.max(1)) / per_second;
        let period = Duration::try_from_secs_f64(seconds).unwrap_or(MAX_PERIOD);
        let period = period.clamp(MIN_PERIOD, MAX_PERIOD);
        Self {
            period,
            open: open.min(period),
        }
    }
}

/// Shortest period, so that a number of periods stays finite. A gateway never sends a million requests a second
/// to one server.
const MIN_PERIOD: Duration = Duration::from_micros(1);

/// Longest period, so that sums of times stay in range.
const MAX_PERIOD: Duration = Duration::from_secs(24 * 60 * 60);

/// State of the turns at one server.
#[derive(Clone, Copy, Debug)]
enum Schedule {
    /// No turn was used since this time, at which the first period starts.
    UnusedSince(Duration),
    /// The next turn starts at this time.
    NextAt(Duration),
}

/// The turns of one gateway.
#[derive(Debug)]
pub struct RateTurns {
    gateway: String,
    schedules: HashMap<InstanceId, Schedule>,
}

impl RateTurns {
    /// Turns of the gateway `gateway`. Its name determines its offsets.
    pub fn new(gateway: &str) -> Self {
        Self {
            gateway: gateway.to_owned(),
            schedules: HashMap::new(),
        }
    }

    /// Starts the turns at a server now, unless they have started.
    pub fn begin(&mut self, id: &InstanceId, now: Duration) {
        if !self.schedules.contains_key(id) {
            self.schedules
                .insert(id.clone(), Schedule::UnusedSince(now));
        }
    }

    /// Whether turns at a server have started.
    pub fn has_begun(&self, id: &InstanceId) -> bool {
        self.schedules.contains_key(id)
    }

    /// Drops the turns at all servers but these.
    pub fn retain(&mut self, is_wanted: impl Fn(&InstanceId) -> bool) {
        self.schedules.retain(|id, _| is_wanted(id));
    }

    /// Whether a turn at a server is open now; always true if the turns there have not started.
    pub fn is_open(&self, id: &InstanceId, now: Duration, timing: TurnTiming) -> bool {
        let start = self.current_or_next(id, now, timing);
        start.is_none_or(|start| start <= now)
    }

    /// Uses the current turn at a server, or the next if none is open.
    pub fn consume(&mut self, id: &InstanceId, now: Duration, timing: TurnTiming) {
        if let Some(start) = self.current_or_next(id, now, timing) {
            let next = Schedule::NextAt(start + timing.period);
            self.schedules.insert(id.clone(), next);
        }
    }

    /// Start of the turn that is open now, or else of the next.
    fn current_or_next(
        &self,
        id: &InstanceId,
        now: Duration,
        timing: TurnTiming,
    ) -> Option<Duration> {
        let start = match *self.schedules.get(id)? {
            Schedule::UnusedSince(since) => since + timing.period.mul_f64(self.offset(id)),
            // If the period has become shorter since the last turn, the wait becomes shorter as well.
            Schedule::NextAt(next) => next.min(now + timing.period),
        };
        let end = start + timing.open;
        if now < end {
            return Some(start);
        }
        let late = (now - end).as_secs_f64();
        let missed = (late / timing.period.as_secs_f64()).floor() + 1.0;
        Some(start + timing.period.mul_f64(missed))
    }

    /// Offset of this gateway's turns in the period, as a fraction from 0 to 1.
    fn offset(&self, id: &InstanceId) -> f64 {
        let mut hasher = DefaultHasher::new();
        self.gateway.hash(&mut hasher);
        id.hash(&mut hasher);
        unit_interval(hasher.finish())
    }
}
