//! Rates that servers in need state in their answers: requests a second that one takes from all gateways together.

use std::collections::HashMap;
use std::time::Duration;

use grebepin_catalog::InstanceId;
use grebepin_reactor::http::Response;

use crate::headers::HeaderNames;

/// What an answer says of the rate that its server takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RateStatement {
    /// Requests a second, from all gateways together.
    PerSecond(f64),
    /// The server ran the request and states no rate.
    Unbounded,
    /// Nothing: the server did not run the request, or what it states can't be read.
    Silent,
}

impl RateStatement {
    /// Reads an answer.
    pub fn of(response: &Response, names: &HeaderNames) -> Self {
        let stated = response.fields.get(names.stated_rate);
        let is_signed = response.fields.get(names.signature).is_some();
        match stated.map(str::parse::<f64>) {
            Some(Ok(rate)) if rate.is_finite() && rate >= 0.0 => Self::PerSecond(rate),
            Some(_) => Self::Silent,
            None if is_signed => Self::Unbounded,
            None => Self::Silent,
        }
    }
}

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
}

/// The rates that servers state at present.
#[derive(Debug, Default)]
pub struct StatedRates {
    rates: HashMap<InstanceId, StatedRate>,
}

impl StatedRates {
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
                };
                self.rates.insert(id.clone(), stated);
                let rate = Some(per_second);
                (before != rate).then_some(RateChange { before, rate })
            }
            // An answer to an older request may have left the server before it stated the rate.
            (RateStatement::Unbounded, Some(known)) if sent >= known.stated => {
                self.rates.remove(id);
                Some(RateChange { before, rate: None })
            }
            _ => None,
        }
    }

    /// Requests a second that a server takes from all gateways together, where it states that.
    pub fn rate(&self, id: &InstanceId) -> Option<f64> {
        self.rates.get(id).map(|known| known.per_second)
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
    }
}
