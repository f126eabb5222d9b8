//! What a caller does after an attempt: the outcome rules, as a pure function.
//!
//! Invariants: a request that may not be repeated keeps its id until it is known not to have run;
//! after `not-run` it becomes a new request with a new id.

use std::time::Duration;

use grebepin_schema::{Outcome, RequestId};

use super::{AfterUnknown, Args};

/// Pause before another attempt where the answer names none.
const DEFAULT_PAUSE: Duration = Duration::from_millis(200);

/// Longest pause that a caller keeps to.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// How one attempt ended.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AttemptResult {
    /// `None` without an answer.
    pub outcome: Option<Outcome>,
    /// Request that the answer names.
    pub answer_for: Option<RequestId>,
    /// Whether the answer was whole.
    pub whole: bool,
    /// Kind of rejection, as the router's answer states it.
    pub rejected: Option<String>,
    /// When to come back, as the answer states it.
    pub retry_after: Option<Duration>,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// The request is over.
    Done,
    /// Send it again with the same id, as the next attempt.
    Resend(Duration),
    /// It was not run: make it anew, with a new id.
    Anew(Duration),
    /// Ask for its outcome.
    LookUp(Duration),
}

/// What the rules depend on.
#[derive(Clone, Copy, Debug)]
pub struct RepeatRules {
    /// Most attempts of one request.
    pub attempts: u32,
    /// What to do when the outcome is not known.
    pub after_unknown: AfterUnknown,
}

impl RepeatRules {
    /// The rules of the flags.
    pub fn new(arguments: &Args) -> Self {
        Self {
            attempts: arguments.attempts,
            after_unknown: arguments.after_unknown,
        }
    }
}

/// What to do after attempt `sent` (1 for the first) of a request.
pub fn next_step(
    rules: RepeatRules,
    sent: u32,
    repeatable: bool,
    result: &AttemptResult,
) -> NextStep {
    let pause = result
        .retry_after
        .unwrap_or(DEFAULT_PAUSE)
        .min(LONGEST_PAUSE);
    let more = sent < rules.attempts;
    match result.outcome {
        Some(Outcome::Answered) => NextStep::Done,
        Some(Outcome::NotRun) if more => NextStep::Anew(pause),
        Some(Outcome::NotRun) => NextStep::Done,
        Some(Outcome::Unknown) | None => match rules.after_unknown {
            _ if more && repeatable => NextStep::Resend(pause),
            AfterUnknown::Resend if more => NextStep::Resend(pause),
            AfterUnknown::LookUp if !repeatable => NextStep::LookUp(pause),
            _ => NextStep::Done,
        },
    }
}
