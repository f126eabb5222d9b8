//! Rates that servers in need state in their answers: requests a second that one takes from all gateways together.
//!
//! No gateway may use a stated rate alone: the leader gives permits for the owners of keys, see [`crate::permits`]; at
//! other servers, and without a leader, the gateways that were told take turns, see [`crate::rate_turns`].

use std::collections::HashMap;
use std::time::Duration;

use grebepin_catalog::InstanceId;
use grebepin_grants::{MIN_STATED_RATE, STATED_RATE_FRACTION};

use crate::rate_turns::{RateTurns, TurnLength};
use crate::statement::RateStatement;

/// Over which time what a server gets must keep to its rate, and how far it may pass it.
const WINDOW: Duration = Duration::from_secs(4);
const WINDOW_FACTOR: f64 = 1.5;
const WINDOW_SLACK: f64 = 5.0;

/// Standard deviations that the requests of a window may lie above their mean: places of turns are random.
const DEVIATIONS: f64 = 3.0;

/// Least time for which a turn is open, so that a gateway with several requests a second meets it.
const LEAST_OPEN: Duration = Duration::from_millis(250);

/// A change of what is known of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateChange {
    /// Rate that was known before.
    pub before: Option<f64>,
    /// Rate that is known now; `None` when the server no longer states one.
    pub rate: Option<f64>,
}

/// One server's rate.
#[derive(Clone, Copy, Debug)]
struct StatedRate {
    per_second: f64,
    /// When it was last stated.
    stated: Duration,
    /// Until when the leader gives no permit.
    refused_until: Duration,
}

/// The rates that servers state at present, and this gateway's turns at them.
#[derive(Debug)]
pub struct StatedRates {
    rates: HashMap<InstanceId, StatedRate>,
    turns: RateTurns,
}

impl StatedRates {
    /// No rates yet, at a gateway of this name.
    pub fn new(gateway: &str) -> Self {
        Self {
            rates: HashMap::new(),
            turns: RateTurns::new(gateway),
        }
    }

    /// Takes in what an answer says, whose request was sent at `sent`; what changed, if anything did.
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
            // An answer to an older request may have left the server before it stated the rate.
            (RateStatement::Unbounded, Some(known)) if sent >= known.stated => {
                self.rates.remove(id);
                self.forget_turns();
                Some(RateChange { before, rate: None })
            }
            _ => None,
        }
    }

    /// Requests a second that a server takes from all gateways together, where it states that.
    pub fn rate(&self, id: &InstanceId) -> Option<f64> {
        self.rates.get(id).map(|known| known.per_second)
    }

    /// Whether a server may get a request from here now, as far as the rate it states bounds that. `gateways` is `None`
    /// while it is not known how many share the rate: then none is sent.
    pub fn is_open(&self, id: &InstanceId, now: Duration, gateways: Option<u32>) -> bool {
        let Some(rate) = self.rate(id) else {
            return true;
        };
        gateways.is_some_and(|gateways| self.turns.is_open(id, now, turn_length(rate, gateways)))
    }

    /// Notes that a request goes to a server, which uses up the present turn if it states a rate; whether it does.
    pub fn note_sent(&mut self, id: &InstanceId, now: Duration, gateways: u32) -> bool {
        let Some(rate) = self.rate(id) else {
            return false;
        };
        self.turns.use_up(id, now, turn_length(rate, gateways));
        true
    }

    /// Notes that the leader gives no permit for a server before a time.
    pub fn note_refused(&mut self, id: &InstanceId, until: Duration) {
        if let Some(known) = self.rates.get_mut(id) {
            known.refused_until = until;
        }
    }

    /// For how long the leader gives no permit for a server, where that was told.
    pub fn refused_for(&self, id: &InstanceId, now: Duration) -> Option<Duration> {
        let until = self.rates.get(id)?.refused_until;
        (now < until).then(|| until - now)
    }

    /// Mean time between two requests that a server takes, where it states a rate: a place for another caller.
    pub fn place_after(&self, id: &InstanceId) -> Option<Duration> {
        let rate = self.rate(id)?;
        Some(Duration::from_secs_f64(1.0 / rate.max(MIN_STATED_RATE)))
    }

    /// How many servers state a rate.
    pub fn len(&self) -> usize {
        self.rates.len()
    }

    /// Whether no server states a rate.
    pub fn is_empty(&self) -> bool {
        self.rates.is_empty()
    }

    /// Forgets servers that have ended.
    pub fn retain(&mut self, is_live: impl Fn(&InstanceId) -> bool) {
        self.rates.retain(|id, _| is_live(id));
        self.forget_turns();
    }

    fn forget_turns(&mut self) {
        let rates = &self.rates;
        self.turns.retain(|id| rates.contains_key(id));
    }
}

/// Turns of one of `gateways` that share a stated rate. They are open for as long as a sudden crowd at every gateway
/// stays within what may come in a window.
fn turn_length(rate: f64, gateways: u32) -> TurnLength {
    let used = rate.max(MIN_STATED_RATE) * STATED_RATE_FRACTION;
    let allowed = rate * WINDOW_FACTOR * WINDOW.as_secs_f64() + WINDOW_SLACK;
    let seconds = open_of_few(used, allowed, gateways).max(open_of_many(used, allowed));
    let open = Duration::try_from_secs_f64(seconds).unwrap_or_default();
    TurnLength::shared(used, gateways, open.max(LEAST_OPEN))
}

/// Seconds for which turns may be open so that, wherever they fall, no window holds more than its part of each gateway's.
fn open_of_few(used: f64, allowed: f64, gateways: u32) -> f64 {
    let gateways = f64::from(gateways.max(1));
    let turns_of_each = (allowed / gateways).floor();
    turns_of_each * gateways / used - WINDOW.as_secs_f64()
}

/// The same for many gateways, whose turns fall at random: those that begin in a window and those that were open
/// before are seldom more than their mean and some deviations.
fn open_of_many(used: f64, allowed: f64) -> f64 {
    let root_of_mean = ((DEVIATIONS.powi(2) + 4.0 * allowed).sqrt() - DEVIATIONS) / 2.0;
    root_of_mean.powi(2) / used - WINDOW.as_secs_f64()
}
