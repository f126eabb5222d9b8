//! Estimates how long bytes wait for this machine's network link, and rejects requests when it is too long.
//!
//! A gateway on a narrow link can't observe the queue at the far end of it, so it estimates the queue. Each
//! admitted request adds the bytes that it will bring over the link, of itself and of its response, and the
//! link carries a fixed number of bytes a second. One estimate covers both directions, which carry about the
//! same, since everything that comes in is forwarded.
//!
//! Invariant: a request is rejected because of the link only when the estimated wait exceeds the bound for
//! its priority, so a gateway whose link has capacity rejects no request because of it.

use std::collections::HashMap;
use std::time::Duration;

use grebepin_directory::pacing::BYTES_PER_MEGABIT;

/// Fraction of the link available to requests and responses. The rest is for updates from the directory and
/// for opening and acknowledging connections.
const USABLE_FRACTION: f64 = 0.95;

/// Approximate bytes of the headers of a request and of its response together.
const HEAD_BYTES: f64 = 600.0;

/// Body size in bytes assumed for responses of a service that has not responded yet.
const ASSUMED_ANSWER_BYTES: f64 = 1_000.0;

/// Weight of a new response in the moving average of a service's response sizes.
const ANSWER_WEIGHT: f64 = 0.05;

/// Longest estimated wait at which a request of the lowest priority is admitted: about ten requests of 4.6 KB
/// at 2.2 Mbit/s, more than random arrivals usually queue while the link has capacity.
const LOWEST_PRIORITY_WAIT: Duration = Duration::from_millis(200);

/// Additional wait allowed for each level of priority above the lowest.
const WAIT_PER_PRIORITY_LEVEL: Duration = Duration::from_millis(75);

/// Estimated queue of this machine's link.
#[derive(Debug)]
pub struct LinkQueue {
    /// Bytes a second; `None` when the rate is unknown, in which case all requests are admitted.
    rate: Option<f64>,
    queued_bytes: f64,
    at: Duration,
    answer_bytes: HashMap<String, f64>,
}

impl LinkQueue {
    /// Queue of a link of `link_mbps` megabits a second.
    pub fn new(link_mbps: Option<f64>) -> Self {
        Self {
            rate: link_mbps.map(|mbps| mbps * BYTES_PER_MEGABIT * USABLE_FRACTION),
            queued_bytes: 0.0,
            at: Duration::ZERO,
            answer_bytes: HashMap::new(),
        }
    }

    /// Estimated time until the queued bytes are sent; zero when the rate is unknown.
    pub fn wait(&self, now: Duration) -> Duration {
        let Some(rate) = self.rate else {
            return Duration::ZERO;
        };
        Duration::from_secs_f64(self.queued(now, rate) / rate)
    }

    fn queued(&self, now: Duration, rate: f64) -> f64 {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        (self.queued_bytes - elapsed * rate).max(0.0)
    }

    /// Adds a request to the queue and returns true, or returns false if the estimated wait exceeds the bound
    /// for its priority. `priority_above_lowest` is the number of levels between its priority and the lowest
    /// one.
    pub fn admit(
        &mut self,
        now: Duration,
        service: &str,
        request_bytes: usize,
        priority_above_lowest: u32,
    ) -> bool {
        let Some(rate) = self.rate else {
            return true;
        };
        let allowed = LOWEST_PRIORITY_WAIT + WAIT_PER_PRIORITY_LEVEL * priority_above_lowest;
        if self.wait(now) > allowed {
            return false;
        }
        let answer_bytes = self.answer_bytes.get(service).copied();
        let bytes =
            request_bytes as f64 + answer_bytes.unwrap_or(ASSUMED_ANSWER_BYTES) + HEAD_BYTES;
        self.queued_bytes = self.queued(now, rate) + bytes;
        self.at = now;
        true
    }

    /// Adds the size of a response body to the moving average of its service.
    pub fn note_answer(&mut self, service: &str, bytes: usize) {
        let bytes = bytes as f64;
        match self.answer_bytes.get_mut(service) {
            Some(mean) => *mean += ANSWER_WEIGHT * (bytes - *mean),
            None => _ = self.answer_bytes.insert(service.to_owned(), bytes),
        }
    }
}
