//! What a server states about itself in the header fields of a response, whether it serves its request,
//! rejects it or belongs to another request. All such fields are parsed here.
//!
//! A field that is present twice or has an unusable value is ignored, as if it were absent.

use std::time::Duration;

use grebepin_reactor::http::{Fields, Response};

use crate::headers::HeaderNames;

/// Standard field with the time in seconds after which a client may retry.
const RETRY_AFTER: &str = "Retry-After";

/// Longest accepted value; a longer one is taken for a mistake and ignored.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(86_400);

/// What a response states about the rate limit of its server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RateStatement {
    /// A limit in requests a second from all gateways together.
    PerSecond(f64),
    /// The server ran the request and states no limit.
    Unbounded,
    /// Nothing: the server did not run the request, or the field is unusable.
    Unspecified,
}

/// What a response states about its server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerStatement {
    /// Cooldown for which the server wants no requests of this gateway; read from 429 and 503 responses only.
    pub retry_after: Option<Duration>,
    /// Whether the server is about to stop.
    pub is_leaving: bool,
    /// Rate limit of the server.
    pub rate: RateStatement,
    /// Names of fields that were present but unusable.
    pub unusable: Vec<&'static str>,
}

impl ServerStatement {
    /// Parses the fields of a response.
    pub fn of(response: &Response, names: &HeaderNames) -> Self {
        let mut unusable = Vec::new();
        let retry_after = match response.status {
            429 | 503 => number(&response.fields, RETRY_AFTER, &mut unusable),
            _ => None,
        };
        let retry_after = retry_after.and_then(|seconds| {
            let time = Duration::try_from_secs_f64(seconds).ok();
            let time = time.filter(|time| *time <= MAX_RETRY_AFTER);
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
    let is_present = response.fields.all(names.stated_rate).next().is_some();
    let has_run = response.fields.get(names.signature).is_some();
    match number(&response.fields, names.stated_rate, unusable) {
        Some(rate) => RateStatement::PerSecond(rate),
        None if has_run && !is_present => RateStatement::Unbounded,
        None => RateStatement::Unspecified,
    }
}

/// Parses a finite, non-negative number from a field that is present once. Adds the field to `unusable` if
/// that fails.
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
