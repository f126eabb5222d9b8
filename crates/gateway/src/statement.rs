//! What a server states of itself in an answer, read here and nowhere else: from any answer, whether it serves its request,
//! turns it away or belongs to another one.
//!
//! A field that is given twice or holds no usable value states nothing, and the answer is used as if it were absent.

use std::time::Duration;

use grebepin_reactor::http::{Fields, Response};

use crate::headers::HeaderNames;

/// Standard field of the time after which a server may be asked again, in seconds.
const RETRY_AFTER: &str = "Retry-After";

/// Longest time that a server may ask for: a longer one is taken for a mistake.
const LONGEST_RETRY_AFTER: Duration = Duration::from_secs(86_400);

/// What an answer says of the rate that its server takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RateStatement {
    /// Requests a second, from all gateways together.
    PerSecond(f64),
    /// The server ran the request and states no rate.
    Unbounded,
    /// Nothing: the server did not run the request, or what it states can't be read.
    Unspecified,
}

/// What one answer states of its server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerStatement {
    /// Time for which the server takes no more requests of this gateway.
    pub retry_after: Option<Duration>,
    /// Whether it is about to end.
    pub is_leaving: bool,
    /// The rate of requests that it takes from all gateways.
    pub rate: RateStatement,
    /// Fields that can't be used.
    pub unusable: Vec<&'static str>,
}

impl ServerStatement {
    /// Reads an answer.
    pub fn of(response: &Response, names: &HeaderNames) -> Self {
        let mut unusable = Vec::new();
        let retry_after = match response.status {
            429 | 503 => number(&response.fields, RETRY_AFTER, &mut unusable),
            _ => None,
        };
        let retry_after = retry_after.and_then(|seconds| {
            let time = Duration::try_from_secs_f64(seconds).ok();
            let time = time.filter(|time| *time <= LONGEST_RETRY_AFTER);
            if time.is_none() {
                unusable.push(RETRY_AFTER);
            }
            time
        });
        let rate = rate(response, names, &mut unusable);
        Self {
            retry_after,
            is_leaving: is_leaving(&response.fields, names, &mut unusable),
            rate,
            unusable,
        }
    }
}

fn is_leaving(fields: &Fields, names: &HeaderNames, unusable: &mut Vec<&'static str>) -> bool {
    let mut values = fields.all(names.leaving);
    let Some(value) = values.next() else {
        return false;
    };
    let is_leaving = value.trim_ascii() == b"1" && values.next().is_none();
    if !is_leaving {
        unusable.push(names.leaving);
    }
    is_leaving
}

fn rate(
    response: &Response,
    names: &HeaderNames,
    unusable: &mut Vec<&'static str>,
) -> RateStatement {
    let is_given = response.fields.all(names.stated_rate).next().is_some();
    let has_run = response.fields.get(names.signature).is_some();
    match number(&response.fields, names.stated_rate, unusable) {
        Some(rate) => RateStatement::PerSecond(rate),
        None if has_run && !is_given => RateStatement::Unbounded,
        None => RateStatement::Unspecified,
    }
}

/// A finite number that is not negative, from a field that is given once.
fn number(fields: &Fields, name: &'static str, unusable: &mut Vec<&'static str>) -> Option<f64> {
    let mut values = fields.all(name);
    let value = values.next()?;
    let text = std::str::from_utf8(value).ok();
    let number = text.and_then(|text| text.trim().parse::<f64>().ok());
    let number = number.filter(|number| number.is_finite() && *number >= 0.0);
    let number = number.filter(|_| values.next().is_none());
    if number.is_none() {
        unusable.push(name);
    }
    number
}
