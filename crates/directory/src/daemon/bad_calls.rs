//! Calls that can't be read: counted, and told in few lines however many come.

use std::time::Duration;

use grebepin_telemetry::{event, DirectoryMetrics, Event};

use crate::dialect::BadCall;

/// Least time between two lines: one program that goes on sending what can't be read shows, and fills no log.
const LINE_EVERY: Duration = Duration::from_secs(1);

/// Longest part of a call's target that a line shows, in characters.
const SHOWN_TARGET: usize = 120;

/// What was not told yet.
#[derive(Debug, Default)]
pub(super) struct BadCalls {
    next_line: Duration,
    untold: u64,
}

impl BadCalls {
    /// Counts a call that can't be read; `target` is its path and query.
    pub(super) fn note(
        &mut self,
        now: Duration,
        target: &str,
        error: &BadCall,
        metrics: &DirectoryMetrics,
    ) {
        metrics.note_bad_call(error.cause());
        self.untold += 1;
        let Some(calls) = self.take_due(now) else {
            return;
        };
        let target: String = target.chars().take(SHOWN_TARGET).collect();
        event!(
            Event::CallUnreadable,
            target = target,
            cause = error.cause(),
            error = error,
            calls = calls
        );
    }

    /// How many calls the next line stands for; `None` while it is too early for one.
    fn take_due(&mut self, now: Duration) -> Option<u64> {
        if now < self.next_line {
            return None;
        }
        self.next_line = now + LINE_EVERY;
        Some(std::mem::take(&mut self.untold))
    }
}

#[cfg(test)]
mod tests;
