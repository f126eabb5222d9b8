//! Rate limits that overloaded servers state in their responses, in requests a second from all gateways
//! together.
//!
//! No gateway may use the whole of a stated rate alone. For the owners of keys the leader grants permits, see
//! [`crate::permits`]; at other servers, and without contact with a leader, the gateways that know the rate
//! take turns, see [`crate::rate_turns`].

use std::collections::HashMap;
use std::time::Duration;

use grebepin_catalog::InstanceId;
use grebepin_grants::{MIN_STATED_RATE, STATED_RATE_FRACTION};

use crate::rate_turns::{RateTurns, TurnTiming};
use crate::statement::RateStatement;

/// Bound on the requests to a server that states a rate: in any window, at most the rate times the window
/// times `WINDOW_FACTOR`, plus `WINDOW_SLACK` requests.
const WINDOW: Duration = Duration::from_secs(4);
const WINDOW_FACTOR: f64 = 1.5;
const WINDOW_SLACK: f64 = 5.0;

/// Number of standard deviations by which the requests in a window may exceed their mean, since turns are at
/// random offsets.
const DEVIATIONS: f64 = 3.0;

/// Minimum length of a turn, so that a gateway with several requests a second has one to send during it.
const MINIMUM_OPEN: Duration = Duration::from_millis(250);

/// Change of a server's stated rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateChange {
    /// Rate before the change; `None` when the server stated none.
    pub before: Option<f64>,
    /// Rate after the change; `None` when the server no longer states one.
    pub rate: Option<f64>,
}

/// The rate that one server states.
#[derive(Clone, Copy, Debug)]
struct StatedRate {
    per_second: f64,
    /// When it was last stated.
    stated: Duration,
    /// Until when the leader refuses permits.
    refused_until: Duration,
}

/// The rates that servers currently state, and this gateway's turns at these servers.
#[derive(Debug)]
pub struct StatedRates {
    rates: HashMap<InstanceId, StatedRate>,
    turns: RateTurns,
}

impl StatedRates {
    /// Starts without rates, for the gateway `gateway`, whose name determines its turns.
    pub fn new(gateway: &str) -> Self {
        Self {
            rates: HashMap::new(),
            turns: RateTurns::new(gateway),
        }
    }

    /// Updates a server's rate from a response to a request that was sent at `sent`; returns the change, if
    /// any.
    pub fn note(
        &mut self,
        id: &InstanceId,
        now: Duration,
        sent: Duration,
        statement: RateStatement,
    ) -> Option<RateChange> {
        let known = self.rates.get(id).copied();
        let before = known.map(|known| known.per_second);
        match (statement, known) {
            (RateStatement::PerSecond(per_second), _) => {
                let stated = StatedRate {
                    per_second,
                    stated: now,
                    refused_until: known.map_or(Duration::ZERO, |known| known.refused_until),
                };
                self.rates.insert(id.clone(), stated);
                self.turns.begin(id, now);
                let rate = Some(per_second);
                (before != rate).then_some(RateChange { before, rate })
            }
            // Ignored for a request sent before the rate was stated: the server may have responded before
            // that.
            (RateStatement::Unbounded, Some(known)) if sent >= known.stated => {
                self.rates.remove(id);
                self.forget_turns();
                Some(RateChange { before, rate: None })
            }
            _ => None,
        }
    }

    /// Rate that a server states, in requests a second from all gateways together; `None` if it states none.
    pub fn rate(&self, id: &InstanceId) -> Option<f64> {
        self.rates.get(id).map(|known| known.per_second)
    }

    /// Whether this gateway may send a request to a server now: the server states no rate, or a turn is open.
    /// `gateways` is the number of gateways that share the rate; while it is unknown (`None`), nothing is
    /// sent to servers that state one.
    pub fn is_open(&self, id: &InstanceId, now: Duration, gateways: Option<u32>) -> bool {
        let Some(rate) = self.rate(id) else {
            return true;
        };
        gateways.is_some_and(|gateways| self.turns.is_open(id, now, turn_timing(rate, gateways)))
    }

    /// Uses a turn for a request that is sent to a server. Returns false if the server states no rate.
    pub fn note_sent(&mut self, id: &InstanceId, now: Duration, gateways: u32) -> bool {
        let Some(rate) = self.rate(id) else {
            return false;
        };
        self.turns.consume(id, now, turn_timing(rate, gateways));
        true
    }

    /// Records that the leader refuses permits for a server until `until`.
    pub fn note_permit_refused(&mut self, id: &InstanceId, until: Duration) {
        if let Some(known) = self.rates.get_mut(id) {
            known.refused_until = until;
        }
    }

    /// Remaining time for which the leader refuses permits for a server; `None` when it is over or unknown.
    pub fn permit_refused_for(&self, id: &InstanceId, now: Duration) -> Option<Duration> {
        let until = self.rates.get(id)?.refused_until;
        (now < until).then(|| until - now)
    }

    /// Mean time between two requests at the rate that a server states, after which a client may retry;
    /// `None` if it states none.
    pub fn capacity_after(&self, id: &InstanceId) -> Option<Duration> {
        let rate = self.rate(id)?;
        Some(Duration::from_secs_f64(1.0 / rate.max(MIN_STATED_RATE)))
    }

    /// Number of servers that state a rate.
    pub fn len(&self) -> usize {
        self.rates.len()
    }

    /// Whether no server states a rate.
    pub fn is_empty(&self) -> bool {
        self.rates.is_empty()
    }

    /// Drops servers that are not live.
    pub fn retain(&mut self, is_live: impl Fn(&InstanceId) -> bool) {
        self.rates.retain(|id, _| is_live(id));
        self.forget_turns();
    }

    fn forget_turns(&mut self) {
        let rates = &self.rates;
        self.turns.retain(|id| rates.contains_key(id));
    }
}

/// Turns of one of `gateways` that share a stated rate. Their length is the largest with which a sudden load
/// at every gateway still keeps to the bound on the requests in a window.
fn turn_timing(rate: f64, gateways: u32) -> TurnTiming {
    let used = rate.max(MIN_STATED_RATE) * STATED_RATE_FRACTION;
    let allowed = rate * WINDOW_FACTOR * WINDOW.as_secs_f64() + WINDOW_SLACK;
    let seconds =
        open_with_few_gateways(used, allowed, gateways).max(open_with_many_gateways(used, allowed));
    let open = Duration::try_from_secs_f64(seconds).unwrap_or_default();
    TurnTiming::shared(used, gateways, open.max(MINIMUM_OPEN))
}

/// Largest length of turns in seconds with which no window can contain more than each gateway's share of
/// turns, whatever their offsets. This is the larger bound with few gateways.
fn open_with_few_gateways(used: f64, allowed: f64, gateways: u32) -> f64 {
    let gateways = f64::from(gateways.max(1));
    let turns_of_each = (allowed / gateways).floor();
    turns_of_each * gateways / used - WINDOW.as_secs_f64()
}

/// Largest length of turns in seconds for many gateways, whose turns are at random offsets: the number of
/// turns that are open at some time in a window rarely exceeds its mean by more than [`DEVIATIONS`].
fn open_with_many_gateways(used: f64, allowed: f64) -> f64 {
    let root_of_mean = ((DEVIATIONS.powi(2) + 4.0 * allowed).sqrt() - DEVIATIONS) / 2.0;
    root_of_mean.powi(2) / used - WINDOW.as_secs_f64()
}
