//! Since when input that is read now may have waited, after the process stood still.
//!
//! Requests arrive while a process is frozen or its machine suspended, and their clients' time passes. The moment at
//! which they are read does not show that, so all that may have waited counts as if it had arrived when the
//! standstill began.

use std::time::Duration;

/// A standstill whose waiting input is not read completely.
#[derive(Clone, Copy, Debug)]
struct Backlog {
    since: Duration,
    /// Number of polls after which all that waited has been returned, however much arrives meanwhile.
    polls_left: usize,
}

/// The last standstill, as long as input may have waited for its end.
#[derive(Debug, Default)]
pub struct Standstill {
    backlog: Option<Backlog>,
}

impl Standstill {
    /// Records that the process stood still from `since` until now; each poll returns events of up to `per_poll` of its
    /// `sockets`.
    pub fn note(&mut self, since: Duration, sockets: usize, per_poll: usize) {
        let since = self.waiting_since().unwrap_or(since);
        self.backlog = Some(Backlog {
            since,
            polls_left: sockets / per_poll + 2,
        });
    }

    /// Records that the events of a poll were handled; `is_complete` if it returned everything that was ready. A poll that
    /// began before the standstill was noted does not count.
    pub fn end_turn(&mut self, is_complete: bool) {
        if let Some(backlog) = &mut self.backlog {
            backlog.polls_left -= 1;
            if is_complete || backlog.polls_left == 0 {
                self.backlog = None;
            }
        }
    }

    /// Since when input that is read now may have waited; `None` if it has just arrived.
    pub fn waiting_since(&self) -> Option<Duration> {
        self.backlog.map(|backlog| backlog.since)
    }
}
