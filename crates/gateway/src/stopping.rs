//! Graceful shutdown: from the request to stop to the exit of the process.
//!
//! Invariant: the gateway reports at once that it is not ready, and still serves the clients that connect
//! until no more clients are directed to it.

use std::time::Duration;

/// Time until no more clients are directed to a gateway that has reported that it is not ready.
const NOTICE_TIME: Duration = Duration::from_millis(2_600);

/// Safety margin before the process would be killed.
const KILL_MARGIN: Duration = Duration::from_millis(400);

/// Times of the shutdown of a gateway that was asked to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stopping {
    began: Duration,
    grace: Duration,
}

impl Stopping {
    /// The request to stop came at `began`, and the process is killed after `grace`.
    pub fn new(began: Duration, grace: Duration) -> Self {
        Self { began, grace }
    }

    /// Whether idle client connections are closed by now.
    pub fn closes_idle(&self, now: Duration) -> bool {
        now >= self.began + NOTICE_TIME.min(self.grace / 2)
    }

    /// Whether a request whose deadline is `expires` ends before the process exits. Others must be refused at
    /// once, because their connections would be closed before the response.
    pub fn can_finish(&self, expires: Duration) -> bool {
        expires < self.exit_deadline()
    }

    /// Latest exit of the process.
    fn exit_deadline(&self) -> Duration {
        self.began + self.grace.saturating_sub(KILL_MARGIN)
    }

    /// Whether the process exits now. `flights` is the number of requests in flight, `clients` of client
    /// connections.
    pub fn is_over(&self, now: Duration, flights: usize, clients: usize) -> bool {
        now >= self.exit_deadline() || (self.closes_idle(now) && flights == 0 && clients == 0)
    }
}
