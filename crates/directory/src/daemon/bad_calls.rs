//! Counts calls that cannot be parsed and limits the rate of their log lines.

use std::time::Duration;

use grebepin_telemetry::{event, DirectoryMetrics, Event};

use crate::dialect::BadCall;

/// Minimum interval between two log lines: a client that keeps sending unreadable calls is visible without
/// filling the log.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of characters of a call's target in a log line.
const MAX_LOGGED_TARGET: usize = 120;

/// Calls that no log line covers yet.
#[derive(Debug, Default)]
pub(super) struct BadCalls {
    next_line: Duration,
    unlogged: u64,
}

impl BadCalls {
    /// Counts a call that cannot be parsed; `target` is its path and query.
    pub(super) fn record(
        &mut self,
        now: Duration,
        target: &str,
        error: &BadCall,
        metrics: &DirectoryMetrics,
    ) {
        metrics.note_bad_call(error.cause());
        self.unlogged += 1;
        let Some(calls) = self.take_due_count(now) else {
            return;
        };
        let target: String = target.chars().take(MAX_LOGGED_TARGET).collect();
        event!(
            Event::CallUnreadable,
            target = target,
            cause = error.cause(),
            error = error,
            calls = calls
        );
    }

    /// Number of calls that the next log line covers; `None` if the previous line is too recent.
    fn take_due_count(&mut self, now: Duration) -> Option<u64> {
        if now < self.next_line {
            return None;
        }
        self.next_line = now + LOG_INTERVAL;
        Some(std::mem::take(&mut self.unlogged))
    }
}

#[cfg(test)]
mod tests;
