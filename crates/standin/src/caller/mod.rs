//! Simulated callers: an open-loop load generator whose start times don't depend on the answers.
//!
//! Invariants: the latency of a request counts from its intended start, so that a stall shows in
//! full; a request is resent only as the outcome rules of `docs/INTERFACES.md` allow.

mod arguments;
mod client;
mod plan;
mod rules;
mod summary;
mod worker;

use std::io;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use grebepin_telemetry::{event, Event};

pub use arguments::{AfterUnknown, Args, Arrivals, ClassSpec, ClassSpecError};
pub use plan::{Plan, PlannedRequest};
pub use rules::{next_step, AttemptResult, NextStep, RepeatRules};
pub use summary::{AnswerCounts, LatencySummary, RequestSummary, ServiceSummary, Summary};

use crate::history::HistoryWriter;
use worker::Workers;

/// Maximum interval between two checks of the stop flag.
const STOP_CHECK: Duration = Duration::from_millis(50);

/// Reasons why the callers could not run.
#[derive(Debug, thiserror::Error)]
pub enum CallerError {
    /// No class of requests was given.
    #[error("no --class was given")]
    NoClass,
    /// The rate is not a number above zero.
    #[error("--rate must be above 0")]
    Rate,
    /// The number of keys is 0.
    #[error("--keys must be above 0")]
    Keys,
    /// The history file can't be opened.
    #[error("cannot open the history file: {0}")]
    History(#[source] io::Error),
    /// A thread can't be started.
    #[error("cannot start a thread: {0}")]
    Thread(#[source] io::Error),
    /// The summary can't be written.
    #[error("cannot write the summary to {path}: {source}")]
    Summary {
        /// Path from the flags.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The summary can't be encoded as JSON.
    #[error("cannot encode the summary: {0}")]
    Encode(#[from] serde_json::Error),
}

/// Runs the callers for the duration in the flags, then writes and returns the summary.
///
/// # Errors
/// Fails if the flags are invalid, a file can't be opened or written, or a thread can't be started.
pub fn run(arguments: &Args) -> Result<Summary, CallerError> {
    let summary = run_until(arguments, &AtomicBool::new(false))?;
    let text = serde_json::to_string_pretty(&summary)?;
    match &arguments.summary {
        Some(path) => std::fs::write(path, text).map_err(|source| CallerError::Summary {
            path: path.clone(),
            source,
        })?,
        None => println!("{text}"),
    }
    Ok(summary)
}

/// Runs the callers for the duration in the flags or until `stop` is set. Requests in flight are
/// finished first.
///
/// # Errors
/// Fails as [`run`] does.
pub fn run_until(arguments: &Args, stop: &AtomicBool) -> Result<Summary, CallerError> {
    let plan = Plan::new(arguments)?;
    let history =
        HistoryWriter::open(arguments.history.as_deref()).map_err(CallerError::History)?;
    let started = Instant::now();
    let workers = Workers::start(arguments, history, started).map_err(CallerError::Thread)?;
    event!(
        Event::CallerStarted,
        rate = arguments.rate,
        threads = arguments.threads
    );
    for intended in plan {
        if !sleep_until(started + intended.at, stop) {
            break;
        }
        workers.call(intended);
    }
    let summary = workers.finish();
    event!(Event::CallerFinished, requests = summary.requests);
    Ok(summary)
}

/// Sleeps until `at`. Returns `false` if `stop` was set first.
fn sleep_until(at: Instant, stop: &AtomicBool) -> bool {
    loop {
        if stop.load(Ordering::SeqCst) {
            return false;
        }
        let left = at.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return true;
        }
        std::thread::sleep(left.min(STOP_CHECK));
    }
}
