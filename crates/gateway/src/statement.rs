//! What a server states about itself in the header fields of a response, whether it serves its request,
//! rejects it or belongs to another request. All such fields are parsed here.
//!
//! A field that is present twice or has an unusable value is ignored, as if it were absent.

use std::time::Duration;

use grebepin_reactor::http::{Fields, Response};

use crate::headers::HeaderNames;

/// Standard field with the time in seconds after which a client may retry.
const RETRY_AFTER: &str = "Retry-After";

/// Standard field with the time in whole seconds after which the server closes an idle connection.
const KEEP_ALIVE: &str = "Keep-Alive";

/// Parameter of `Keep-Alive` with that time.
const KEEP_ALIVE_TIMEOUT: &str = "timeout";

/// Longest accepted time; a longer one is taken for a mistake and ignored.
const MAX_STATED_TIME: Duration = Duration::from_secs(86_400);

/// Largest accepted rate in requests a second, above that of any server; a larger one is taken for a mistake
/// and ignored.
const MAX_STATED_RATE: f64 = 1e9;

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
    /// Time after which the server closes the connection of this response while it is idle.
    pub idle_timeout: Option<Duration>,
    /// Names of fields that were present but unusable.
    pub unusable: Vec<&'static str>,
}

impl ServerStatement {
    /// Parses the fields of a response.
    pub fn of(response: &Response, names: &HeaderNames) -> Self {
        let mut unusable = Vec::new();
        let longest = MAX_STATED_TIME.as_secs_f64();
        let retry_after = match response.status {
            429 | 503 => number(&response.fields, RETRY_AFTER, longest, &mut unusable),
            _ => None,
        };
        let rate = rate(response, names, &mut unusable);
        Self {
            retry_after: retry_after.map(Duration::from_secs_f64),
            is_leaving: is_leaving(&response.fields, names, &mut unusable),
            rate,
            idle_timeout: idle_timeout(&response.fields, &mut unusable),
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
    match number(
        &response.fields,
        names.stated_rate,
        MAX_STATED_RATE,
        unusable,
    ) {
        Some(rate) => RateStatement::PerSecond(rate),
        None if has_run && !is_present => RateStatement::Unbounded,
        None => RateStatement::Unspecified,
    }
}

/// The parameter `timeout` of `Keep-Alive`, which may be missing beside others.
fn idle_timeout(fields: &Fields, unusable: &mut Vec<&'static str>) -> Option<Duration> {
    let mut values = fields.all(KEEP_ALIVE);
    let text = std::str::from_utf8(values.next()?).unwrap_or_default();
    let parameters = text.split(',').filter_map(|part| part.split_once('='));
    let mut timeouts = parameters
        .filter(|(name, _)| name.trim().eq_ignore_ascii_case(KEEP_ALIVE_TIMEOUT))
        .map(|(_, value)| value.trim().parse().map(Duration::from_secs));
    let timeout = match timeouts.next()? {
        Ok(timeout) if timeout <= MAX_STATED_TIME => Some(timeout),
        _ => None,
    };
    let timeout = timeout.filter(|_| timeouts.next().is_none() && values.next().is_none());
    if timeout.is_none() {
        unusable.push(KEEP_ALIVE);
    }
    timeout
}

/// Parses a number from 0 to `largest` from a field that is present once. Adds the field to `unusable` if
/// that fails.
fn number(
    fields: &Fields,
    name: &'static str,
    largest: f64,
    unusable: &mut Vec<&'static str>,
) -> Option<f64> {
    let mut values = fields.all(name);
    let value = values.next()?;
    let text = std::str::from_utf8(value).ok();
    let number = text.and_then(|text| text.trim().parse::<f64>().ok());
    let number = number.filter(|number| (0.0..=largest).contains(number));
    let number = number.filter(|_| values.next().is_none());
    if number.is_none() {
        unusable.push(name);
    }
    number
}
