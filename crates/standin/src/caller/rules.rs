//! The outcome rules, which decide what a caller does after an attempt, as a pure function.
//!
//! Invariants: a request that may not be repeated keeps its id until it is known not to have run;
//! after `not-run` it is sent as a new request with a new id.

use std::time::Duration;

use grebepin_schema::{Outcome, RequestId};

use super::{AfterUnknown, Args};

/// Pause before the next attempt if the answer states none.
const DEFAULT_PAUSE: Duration = Duration::from_millis(200);

/// Upper bound on the pause that an answer can ask for.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// Result of one attempt.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AttemptResult {
    /// Outcome that the answer states; `None` without an answer.
    pub outcome: Option<Outcome>,
    /// Request id that the answer names.
    pub answer_for: Option<RequestId>,
    /// Whether the answer was received completely and is valid: the body of an answered request names the
    /// request and its key, and that of a rejection is a `Reject`.
    pub whole: bool,
    /// Kind of rejection that the router states.
    pub rejected: Option<String>,
    /// Time until the next attempt that the answer states.
    pub retry_after: Option<Duration>,
}

/// Next step of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// The request is finished.
    Done,
    /// Send the request again after the pause, with the same id and the next attempt number.
    Resend(Duration),
    /// The request was not run: send it after the pause as a new request with a new id.
    NewRequest(Duration),
    /// Look its outcome up after the pause.
    LookUp(Duration),
}

/// Settings of the outcome rules.
#[derive(Clone, Copy, Debug)]
pub struct RepeatRules {
    /// Maximum number of attempts of one request.
    pub attempts: u32,
    /// Reaction to an unknown outcome of a request that may not be repeated.
    pub after_unknown: AfterUnknown,
}

impl RepeatRules {
    /// Takes the settings from the flags.
    pub fn new(arguments: &Args) -> Self {
        Self {
            attempts: arguments.attempts,
            after_unknown: arguments.after_unknown,
        }
    }
}

/// Returns the next step after attempt number `sent` of a request, where 1 is the first.
pub fn next_step(
    rules: RepeatRules,
    sent: u32,
    repeatable: bool,
    result: &AttemptResult,
) -> NextStep {
    let pause = result.retry_after.unwrap_or(DEFAULT_PAUSE).min(MAX_PAUSE);
    let more = sent < rules.attempts;
    match result.outcome {
        Some(Outcome::Answered) => NextStep::Done,
        Some(Outcome::NotRun) if more => NextStep::NewRequest(pause),
        Some(Outcome::NotRun) => NextStep::Done,
        Some(Outcome::Unknown) | None => match rules.after_unknown {
            _ if more && repeatable => NextStep::Resend(pause),
            AfterUnknown::Resend if more => NextStep::Resend(pause),
            AfterUnknown::LookUp if !repeatable => NextStep::LookUp(pause),
            _ => NextStep::Done,
        },
    }
}
