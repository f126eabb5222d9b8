//! Turns by which all gateways together keep to a rate of requests at a server, without speaking to each other.
//!
//! Each gateway has one turn in a period of `gateways / rate`, at a place in it that a hash of the gateway and the
//! server decides, and sends at most one request in a turn.
//!
//! Invariants: a turn that was not used is lost, so that the requests of all gateways within a time are about as many as
//! turns fall into it, whatever waits; two requests of one gateway are a period apart but for the length of a turn,
//! also while the rate or the number of gateways changes, since a turn is reckoned from the one before.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use grebepin_catalog::InstanceId;

use crate::hashing::unit_interval;

/// How often a gateway has a turn at a server, and for how long.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TurnTiming {
    /// Time from one turn to the next.
    period: Duration,
    /// Time for which a turn is open.
    open: Duration,
}

impl TurnTiming {
    /// Turns of one of `gateways` that send `per_second` requests together, each open for `open` at most.
    pub fn shared(per_second: f64, gateways: u32, open: Duration) -> Self {
        let seconds = f64::from(gateways.max(1)) / per_second;
        let period = Duration::try_from_secs_f64(seconds).unwrap_or(LONGEST_PERIOD);
        let period = period.min(LONGEST_PERIOD);
        Self {
            period,
            open: open.min(period),
        }
    }
}

/// Longest period, so that sums of times stay in range.
const LONGEST_PERIOD: Duration = Duration::from_secs(24 * 60 * 60);

/// Turns at one server.
#[derive(Clone, Copy, Debug)]
enum Schedule {
    /// None was used since this time, from which places are reckoned.
    Since(Duration),
    /// The next begins at this time.
    Next(Duration),
}

/// The turns of one gateway.
#[derive(Debug)]
pub struct RateTurns {
    gateway: String,
    schedules: HashMap<InstanceId, Schedule>,
}

impl RateTurns {
    /// Turns of a gateway of this name.
    pub fn new(gateway: &str) -> Self {
        Self {
            gateway: gateway.to_owned(),
            schedules: HashMap::new(),
        }
    }

    /// Turns at a server begin now, unless they have begun.
    pub fn begin(&mut self, id: &InstanceId, now: Duration) {
        if !self.schedules.contains_key(id) {
            self.schedules.insert(id.clone(), Schedule::Since(now));
        }
    }

    /// Whether turns at a server have begun.
    pub fn has_begun(&self, id: &InstanceId) -> bool {
        self.schedules.contains_key(id)
    }

    /// Forgets turns at all servers but these.
    pub fn retain(&mut self, is_wanted: impl Fn(&InstanceId) -> bool) {
        self.schedules.retain(|id, _| is_wanted(id));
    }

    /// Whether a turn at a server is open now; `true` where none have begun.
    pub fn is_open(&self, id: &InstanceId, now: Duration, length: TurnTiming) -> bool {
        let start = self.present_or_next(id, now, length);
        start.is_none_or(|start| start <= now)
    }

    /// Uses up the present turn at a server.
    pub fn consume(&mut self, id: &InstanceId, now: Duration, length: TurnTiming) {
        if let Some(start) = self.present_or_next(id, now, length) {
            let next = Schedule::Next(start + length.period);
            self.schedules.insert(id.clone(), next);
        }
    }

    /// Start of the turn that is open now, or of the next.
    fn present_or_next(
        &self,
        id: &InstanceId,
        now: Duration,
        length: TurnTiming,
    ) -> Option<Duration> {
        let start = match *self.schedules.get(id)? {
            Schedule::Since(since) => since + length.period.mul_f64(self.place(id)),
            // A period that became shorter ends the wait that the longer one began.
            Schedule::Next(next) => next.min(now + length.period),
        };
        let end = start + length.open;
        if now < end {
            return Some(start);
        }
        let late = (now - end).as_secs_f64();
        let missed = (late / length.period.as_secs_f64()).floor() + 1.0;
        Some(start + length.period.mul_f64(missed))
    }

    /// Place of this gateway's turns in the period, from 0 to 1.
    fn place(&self, id: &InstanceId) -> f64 {
        let mut hasher = DefaultHasher::new();
        self.gateway.hash(&mut hasher);
        id.hash(&mut hasher);
        unit_interval(hasher.finish())
    }
}
